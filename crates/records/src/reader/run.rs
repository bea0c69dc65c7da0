//! The runs of a store: one for each process that wrote to it.

use crate::record::Micros;
use rusqlite::{Connection, Row};

/// The time after which a run without an end counts as killed. Each flush records that the run is alive.
pub const MAX_SILENCE: Micros = 5_000_000;

/// The state of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The process shut down gracefully.
    Ended,
    /// The process was killed: it stopped flushing without recording an end.
    Killed,
    /// The process is still running.
    Running,
}

/// One process of a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The name of the proxy.
    pub proxy: String,
    /// The number of the run in the store.
    pub id: i64,
    /// The time at which the process started.
    pub started_at: Micros,
    /// The last time at which the process is known to have been alive.
    pub last_alive_at: Micros,
    /// The time at which the process shut down gracefully, if it did.
    pub ended_at: Option<Micros>,
}

impl Run {
    /// Returns the state of the run at a time.
    pub fn state(&self, now: Micros) -> RunState {
        match self.ended_at {
            Some(_) => RunState::Ended,
            None if now - self.last_alive_at > MAX_SILENCE => RunState::Killed,
            None => RunState::Running,
        }
    }
}

/// Reads the runs of a store in the order in which they started.
pub(super) fn read_runs(connection: &Connection) -> Result<Vec<Run>, rusqlite::Error> {
    let mut statement =
        connection.prepare("SELECT proxy, run, started, alive, ended FROM runs ORDER BY run")?;
    let run = |row: &Row<'_>| {
        Ok(Run {
            proxy: row.get(0)?,
            id: row.get(1)?,
            started_at: row.get(2)?,
            last_alive_at: row.get(3)?,
            ended_at: row.get(4)?,
        })
    };
    let rows = statement.query_map([], run)?;
    rows.collect()
}
