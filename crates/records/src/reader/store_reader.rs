//! The store of one proxy, open to be read.

use super::{Gap, GapCause, ReadError};
use crate::record::{Micros, Record, TimedRecord};
use crate::store::{FORMAT, SUMMARY_WINDOW};
use rusqlite::{params, Connection, ErrorCode, OpenFlags, Row};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long a statement waits for the writer's lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// The size of SQLite's page cache; a negative number counts KiB.
const CACHE_SIZE: i64 = -8192;

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

/// What a number in the records of a run stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NameKind {
    /// A class of requests.
    Class,
    /// A member.
    Member,
    /// The proxy itself, with number 0.
    Proxy,
}

impl NameKind {
    /// The kind of a name in the store; `None` for one that this version does not know.
    fn from_stored(kind: &str) -> Option<NameKind> {
        match kind {
            "class" => Some(NameKind::Class),
            "member" => Some(NameKind::Member),
            "proxy" => Some(NameKind::Proxy),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct NameKey {
    run: i64,
    kind: NameKind,
    number: i64,
}

/// The name of a class, a member or a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name {
    /// The name; empty for the proxy itself.
    pub name: String,
    /// The latency objective of a class in microseconds; the zone of a member or proxy.
    pub detail: String,
}

/// The answers of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowSummary {
    /// The run.
    pub run: i64,
    /// The start of the window, which is [`SUMMARY_WINDOW`] long.
    pub window: Micros,
    /// The class.
    pub class: u16,
    /// The code of the outcome, see [`Outcome::from_code`](crate::Outcome::from_code).
    pub outcome_code: i64,
    /// How many answers.
    pub count: u64,
    /// The sum of their attempts.
    pub attempts: u64,
    /// The sum of their times.
    pub took: Micros,
    /// The longest of their times.
    pub longest: Micros,
}

/// Which blocks of a store are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockFilter {
    /// All blocks.
    All,
    /// Blocks with an answer that was rejected or failed.
    WithFailures,
}

impl BlockFilter {
    /// The least number of rejected and failed answers of a block that is read.
    fn min_failures(self) -> i64 {
        match self {
            BlockFilter::All => 0,
            BlockFilter::WithFailures => 1,
        }
    }
}

/// The store of one proxy, open to be read.
#[derive(Debug)]
pub struct StoreReader {
    /// The proxy.
    pub proxy: String,
    /// The file.
    pub path: PathBuf,
    /// The runs, in the order in which they began.
    pub runs: Vec<Run>,
    connection: Connection,
    names: BTreeMap<NameKey, Name>,
}

impl StoreReader {
    /// Opens a file. Its writer may go on meanwhile.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be read.
    pub fn open(path: &Path) -> Result<StoreReader, ReadError> {
        let flags = OpenFlags::SQLITE_OPEN_READ_ONLY | OpenFlags::SQLITE_OPEN_URI;
        let connect = Connection::open_with_flags(path, flags).map_err(ReadError::from);
        match connect.and_then(|connection| Self::read(connection, path)) {
            // On a read-only medium SQLite cannot create its index of the log. The file does not change there.
            Err(ReadError::Database(error)) if is_read_only_medium(&error) => {
                let uri = format!("file:{}?immutable=1", path.display());
                Self::read(Connection::open_with_flags(uri, flags)?, path)
            }
            result => result,
        }
    }

    fn read(connection: Connection, path: &Path) -> Result<StoreReader, ReadError> {
        connection.busy_timeout(LOCK_TIMEOUT)?;
        connection.pragma_update(None, "cache_size", CACHE_SIZE)?;
        let format: i64 = connection.query_row("PRAGMA user_version", [], |row| row.get(0))?;
        if format != FORMAT {
            return Err(ReadError::UnknownFormat { found: format });
        }
        let runs = read_runs(&connection)?;
        let names = read_names(&connection)?;
        let proxy = match runs.last() {
            Some(run) => run.proxy.clone(),
            None => path.file_stem().map_or(String::new(), |stem| stem.to_string_lossy().into_owned()),
        };
        Ok(StoreReader { proxy, path: path.to_path_buf(), runs, connection, names })
    }

    /// What a number stands for in the records of a run.
    pub fn name(&self, run: i64, kind: NameKind, number: i64) -> Option<&Name> {
        self.names.get(&NameKey { run, kind, number })
    }

    /// The gaps between runs. [`StoreReader::records`] may find further ones.
    pub fn gaps(&self) -> Vec<Gap> {
        self.runs.windows(2).map(|pair| self.gap_between(&pair[0], &pair[1])).collect()
    }

    fn gap_between(&self, run: &Run, next: &Run) -> Gap {
        let is_clock_back = next.started_at < run.last_alive_at;
        let cause = match run.ended_at {
            _ if is_clock_back => GapCause::ClockBack,
            Some(_) => GapCause::Restart,
            None => GapCause::Killed,
        };
        let from = run.last_alive_at.min(next.started_at);
        let to = run.last_alive_at.max(next.started_at);
        Gap { proxy: self.proxy.clone(), from, to, cause, count: None }
    }

    /// Passes the records of a span to `each` in the order of their flushes, each with its run and its time. Returns the
    /// gaps: records that were lost, and blocks that cannot be decoded.
    ///
    /// # Errors
    ///
    /// Returns the error of SQLite; some records may have been passed on before.
    pub fn records(
        &self,
        span: RangeInclusive<Micros>,
        filter: BlockFilter,
        mut each: impl FnMut(i64, Micros, Record),
    ) -> Result<Vec<Gap>, ReadError> {
        let mut gaps = Vec::new();
        let mut statement = self.connection.prepare_cached(
            "SELECT run, since, until, count, crc, data FROM blocks
             WHERE until >= ?1 AND since <= ?2 AND refusals >= ?3 ORDER BY id",
        )?;
        let mut rows = statement.query(params![span.start(), span.end(), filter.min_failures()])?;
        while let Some(row) = rows.next()? {
            let run: i64 = row.get(0)?;
            let Some(records) = decode_block(row)? else {
                gaps.push(self.damaged_block(row)?);
                continue;
            };
            for (at, record) in records {
                if let Record::Lost { count, since } = record {
                    gaps.push(self.gap(since, at, GapCause::Lost, count));
                } else if span.contains(&at) {
                    each(run, at, record);
                }
            }
        }
        Ok(gaps)
    }

    fn damaged_block(&self, row: &Row<'_>) -> Result<Gap, rusqlite::Error> {
        let count: i64 = row.get(3)?;
        Ok(self.gap(row.get(1)?, row.get(2)?, GapCause::Damaged, count.max(0) as u64))
    }

    fn gap(&self, from: Micros, to: Micros, cause: GapCause, count: u64) -> Gap {
        Gap { proxy: self.proxy.clone(), from, to, cause, count: Some(count) }
    }

    /// The summaries of the windows of a span, by run.
    ///
    /// # Errors
    ///
    /// Returns the error of SQLite.
    pub fn summaries(&self, from: Micros, to: Micros) -> Result<Vec<WindowSummary>, ReadError> {
        let mut statement = self.connection.prepare_cached(
            "SELECT run, window, class, outcome, count, attempts, took, most FROM sums
             WHERE window >= ?1 AND window <= ?2 ORDER BY run, window",
        )?;
        let summary = |row: &Row<'_>| {
            Ok(WindowSummary {
                run: row.get(0)?,
                window: row.get(1)?,
                class: row.get(2)?,
                outcome_code: row.get(3)?,
                count: row.get::<_, i64>(4)? as u64,
                attempts: row.get::<_, i64>(5)? as u64,
                took: row.get(6)?,
                longest: row.get(7)?,
            })
        };
        let rows = statement.query_map(params![from - SUMMARY_WINDOW, to], summary)?;
        Ok(rows.collect::<Result<_, _>>()?)
    }

    /// The time from which on single records are stored; before it there are summaries only. `None` if there are none.
    ///
    /// # Errors
    ///
    /// Returns the error of SQLite.
    pub fn records_from(&self) -> Result<Option<Micros>, ReadError> {
        Ok(self.connection.query_row("SELECT min(since) FROM blocks", [], |row| row.get(0))?)
    }

    /// The size of the file without its free pages, in bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of SQLite.
    pub fn used_bytes(&self) -> Result<u64, ReadError> {
        let used_pages = self.pragma("page_count")? - self.pragma("freelist_count")?;
        Ok((used_pages * self.pragma("page_size")?).max(0) as u64)
    }

    fn pragma(&self, name: &str) -> Result<i64, rusqlite::Error> {
        self.connection.query_row(&format!("PRAGMA {name}"), [], |row| row.get(0))
    }
}

fn is_read_only_medium(error: &rusqlite::Error) -> bool {
    matches!(error.sqlite_error_code(), Some(ErrorCode::CannotOpen | ErrorCode::ReadOnly))
}

fn read_runs(connection: &Connection) -> Result<Vec<Run>, rusqlite::Error> {
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

fn read_names(connection: &Connection) -> Result<BTreeMap<NameKey, Name>, rusqlite::Error> {
    let mut statement = connection.prepare("SELECT run, kind, number, name, more FROM names")?;
    let mut rows = statement.query([])?;
    let mut names = BTreeMap::new();
    while let Some(row) = rows.next()? {
        let stored_kind: String = row.get(1)?;
        let Some(kind) = NameKind::from_stored(&stored_kind) else { continue };
        let key = NameKey { run: row.get(0)?, kind, number: row.get(2)? };
        names.insert(key, Name { name: row.get(3)?, detail: row.get(4)? });
    }
    Ok(names)
}

/// Decodes a block; `None` if it is damaged.
fn decode_block(row: &Row<'_>) -> Result<Option<Vec<TimedRecord>>, rusqlite::Error> {
    let checksum: u32 = row.get(4)?;
    let data = row.get_ref(5)?.as_blob().unwrap_or_default();
    if crc32fast::hash(data) != checksum {
        return Ok(None);
    }
    Ok(postcard::from_bytes(data).ok())
}
