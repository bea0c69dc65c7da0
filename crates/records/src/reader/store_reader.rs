//! Read access to the store of one proxy.

use super::names::{read_names, Name, NameKey, NameKind};
use super::run::{read_runs, Run};
use super::{Gap, GapCause, ReadError};
use crate::record::{Micros, Record, TimedRecord};
use crate::store::{FORMAT, SUMMARY_WINDOW};
use rusqlite::{params, Connection, ErrorCode, OpenFlags, Row};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The time that a statement waits for the writer's lock.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// The size of `SQLite`'s page cache; negative values are in KiB.
const CACHE_SIZE: i64 = -8192;

/// The totals of the answers in one window, by class and outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowSummary {
    /// The number of the run.
    pub run: i64,
    /// The start of the window, which is [`SUMMARY_WINDOW`] long.
    pub window: Micros,
    /// The number of the class.
    pub class: u16,
    /// The code of the outcome, see [`Outcome::from_code`](crate::Outcome::from_code).
    pub outcome_code: i64,
    /// The number of answers.
    pub count: u64,
    /// The total number of attempts.
    pub attempts: u64,
    /// The total latency.
    pub took: Micros,
    /// The maximum latency.
    pub longest: Micros,
}

/// A filter on the blocks of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockFilter {
    /// All blocks.
    All,
    /// Blocks with at least one answer that was rejected or failed.
    WithFailures,
}

impl BlockFilter {
    /// Returns the minimum number of rejected and failed answers in a block that passes the filter.
    fn min_failures(self) -> i64 {
        match self {
            BlockFilter::All => 0,
            BlockFilter::WithFailures => 1,
        }
    }
}

/// A reader for the store of one proxy.
#[derive(Debug)]
pub struct StoreReader {
    /// The name of the proxy.
    pub proxy: String,
    /// The path of the file.
    pub path: PathBuf,
    /// The runs, in the order in which they started.
    pub runs: Vec<Run>,
    connection: Connection,
    names: BTreeMap<NameKey, Name>,
}

impl StoreReader {
    /// Opens a file, which may still be written to.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read.
    pub fn open(path: &Path) -> Result<StoreReader, ReadError> {
        let flags = OpenFlags::SQLITE_OPEN_READ_ONLY | OpenFlags::SQLITE_OPEN_URI;
        let connect = Connection::open_with_flags(path, flags).map_err(ReadError::from);
        match connect.and_then(|connection| Self::read(connection, path)) {
            // On a read-only medium SQLite cannot create the shared-memory index of the write-ahead log.
            // Nothing can change the file there, so it is opened as immutable.
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

    /// Returns the name that a number refers to in the records of a run.
    pub fn name(&self, run: i64, kind: NameKind, number: i64) -> Option<&Name> {
        self.names.get(&NameKey { run, kind, number })
    }

    /// Returns the gaps between runs. [`StoreReader::records`] may find further gaps.
    pub fn gaps(&self) -> Vec<Gap> {
        self.runs.windows(2).map(|pair| self.gap_between(&pair[0], &pair[1])).collect()
    }

    fn gap_between(&self, run: &Run, next: &Run) -> Gap {
        let was_clock_set_back = next.started_at < run.last_alive_at;
        let cause = match run.ended_at {
            _ if was_clock_set_back => GapCause::ClockBack,
            Some(_) => GapCause::Restart,
            None => GapCause::Killed,
        };
        let from = run.last_alive_at.min(next.started_at);
        let to = run.last_alive_at.max(next.started_at);
        Gap { proxy: self.proxy.clone(), from, to, cause, count: None }
    }

    /// Passes the records of a span to `each` in flush order, with the run and the time of each. Returns the
    /// gaps: records that were lost, and blocks that cannot be decoded.
    ///
    /// # Errors
    ///
    /// Returns an error from `SQLite`; some records may already have been passed to `each`.
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

    /// Returns the summaries of the windows in a span, ordered by run and window.
    ///
    /// # Errors
    ///
    /// Returns an error from `SQLite`.
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

    /// Returns the earliest time for which single records are stored, or `None` if there are none. Only
    /// summaries cover the time before.
    ///
    /// # Errors
    ///
    /// Returns an error from `SQLite`.
    pub fn records_from(&self) -> Result<Option<Micros>, ReadError> {
        Ok(self.connection.query_row("SELECT min(since) FROM blocks", [], |row| row.get(0))?)
    }

    /// Returns the size of the file without its free pages, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error from `SQLite`.
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

/// Decodes a block. Returns `None` if it is damaged.
fn decode_block(row: &Row<'_>) -> Result<Option<Vec<TimedRecord>>, rusqlite::Error> {
    let checksum: u32 = row.get(4)?;
    let data = row.get_ref(5)?.as_blob().unwrap_or_default();
    if crc32fast::hash(data) != checksum {
        return Ok(None);
    }
    Ok(postcard::from_bytes(data).ok())
}
