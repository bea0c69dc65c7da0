//! The runs of a store: one for each process that wrote it.

use crate::record::Micros;
use rusqlite::{Connection, Row};

/// A run is recorded as alive with each flush. One that was not for this long, and has no end, was killed.
pub const MAX_SILENCE: Micros = 5_000_000;

/// The state of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It shut down in order.
    Ended,
    /// It was killed: it fell silent without an end.
    Killed,
    /// It goes on.
    Running,
}

/// One process of a proxy, as its records describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The proxy.
    pub proxy: String,
    /// The number of the run in the store.
    pub id: i64,
    /// When it started.
    pub started_at: Micros,
    /// The last time at which it is known to have been alive.
    pub last_alive_at: Micros,
    /// When it shut down in order, if it did.
    pub ended_at: Option<Micros>,
}

impl Run {
    /// The state of the run at a time.
    pub fn state(&self, now: Micros) -> RunState {
        match self.ended_at {
            Some(_) => RunState::Ended,
            None if now - self.last_alive_at > MAX_SILENCE => RunState::Killed,
            None => RunState::Running,
        }
    }
}

/// Reads the runs of a store in the order in which they began.
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
