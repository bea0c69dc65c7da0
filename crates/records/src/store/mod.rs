//! The store of one proxy: an `SQLite` file in write-ahead mode, so that it can be read while it is written.
//!
//! Records are written in flushes. A flush is one row: a block of records with a checksum. The same
//! transaction adds the answers of the flush to the summaries by window, class and outcome, so a flush is
//! stored completely or not at all.

mod error;
mod retention;
mod schema;

pub use error::StoreError;
pub use schema::FORMAT;

use crate::record::{Micros, Record, TimedRecord};
use rusqlite::{params, Connection, Transaction};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The length of a summary window.
pub const SUMMARY_WINDOW: Micros = 10_000_000;

/// The limits on a store's size and retention.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// The file size in bytes above which the oldest blocks are removed.
    pub max_bytes: u64,
    /// The time for which blocks are kept.
    pub block_retention: Micros,
    /// The time for which summaries, names and runs are kept.
    pub summary_retention: Micros,
}

/// An unusable file that was renamed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedFile {
    /// The new path of the file.
    pub path: PathBuf,
    /// The reason why the file was unusable.
    pub reason: String,
}

/// The result of [`Store::open`].
#[derive(Debug)]
pub struct OpenedStore {
    /// The store.
    pub store: Store,
    /// The unusable file that the store replaces.
    pub quarantined: Option<QuarantinedFile>,
}

/// A store that is open for writing.
#[derive(Debug)]
pub struct Store {
    connection: Connection,
    run: i64,
    limits: StoreLimits,
}

/// The key of a summary.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SummaryKey {
    window: Micros,
    class: u16,
    outcome_code: i64,
}

/// The totals of the answers that share a [`SummaryKey`].
#[derive(Default)]
struct Summary {
    count: u64,
    attempts: u64,
    took: Micros,
    longest: Micros,
}

/// Returns the path of a proxy's store in a directory. Characters of the proxy's name other than ASCII
/// letters, digits, `-`, `_` and `.` are replaced with `_`.
pub fn path(directory: &Path, proxy: &str) -> PathBuf {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let stem: String = proxy.chars().map(|c| if is_plain(c) { c } else { '_' }).collect();
    directory.join(format!("{stem}.wharfplank"))
}

impl Store {
    /// Opens a proxy's store and starts a run in it.
    ///
    /// A file that is damaged or has another format is renamed and never written to, so its contents stay as
    /// readable as they are.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened, or if it is unusable and cannot be renamed: it is never
    /// overwritten.
    pub fn open(
        directory: &Path,
        proxy: &str,
        limits: StoreLimits,
        now: Micros,
    ) -> Result<OpenedStore, StoreError> {
        let path = path(directory, proxy);
        let mut quarantined = None;
        let connection = match schema::open(&path) {
            Ok(connection) => connection,
            Err(error) if error.is_file_unusable() && path.exists() => {
                quarantined = Some(quarantine(&path, now).map_err(|_| error)?);
                schema::open(&path)?
            }
            Err(error) => return Err(error),
        };
        let run = insert_run(&connection, proxy, now)?;
        Ok(OpenedStore { store: Store { connection, run, limits }, quarantined })
    }

    /// Appends a flush, and records that the process was alive at `now`. The flush is committed when this
    /// returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the flush could not be stored; no part of it is stored then.
    pub fn append(&mut self, records: &[TimedRecord], now: Micros) -> Result<(), StoreError> {
        let run = self.run;
        let transaction = self.connection.transaction()?;
        transaction
            .prepare_cached("UPDATE runs SET alive = max(alive, ?2) WHERE run = ?1")?
            .execute(params![run, now])?;
        insert_block(&transaction, run, records)?;
        insert_names(&transaction, run, records)?;
        add_to_summaries(&transaction, run, records)?;
        transaction.commit()?;
        Ok(())
    }

    /// Records the graceful end of the run.
    ///
    /// # Errors
    ///
    /// Returns an error if the end could not be stored; the run then looks as if it had been killed.
    pub fn end_run(&mut self, now: Micros) -> Result<(), StoreError> {
        self.connection.execute(
            "UPDATE runs SET alive = max(alive, ?2), ended = ?2 WHERE run = ?1",
            params![self.run, now],
        )?;
        Ok(())
    }
}

/// Renames an unusable file and its write-ahead log files.
fn quarantine(path: &Path, now: Micros) -> std::io::Result<QuarantinedFile> {
    let new_path = path.with_extension(format!("wharfplank-aside-{now}"));
    std::fs::rename(path, &new_path)?;
    for suffix in ["-wal", "-shm"] {
        let with_suffix = |path: &Path| PathBuf::from(format!("{}{suffix}", path.display()));
        // The file may not exist.
        let _ = std::fs::rename(with_suffix(path), with_suffix(&new_path));
    }
    Ok(QuarantinedFile { path: new_path, reason: "damaged, or of another format".to_string() })
}

fn insert_run(connection: &Connection, proxy: &str, now: Micros) -> Result<i64, rusqlite::Error> {
    let version = env!("CARGO_PKG_VERSION");
    connection.execute(
        "INSERT INTO runs (proxy, version, pid, started, alive) VALUES (?1, ?2, ?3, ?4, ?4)",
        params![proxy, version, std::process::id(), now],
    )?;
    Ok(connection.last_insert_rowid())
}

fn insert_block(transaction: &Transaction<'_>, run: i64, records: &[TimedRecord]) -> Result<(), StoreError> {
    let (Some((since, _)), Some((until, _))) = (records.first(), records.last()) else { return Ok(()) };
    let data = postcard::to_stdvec(records)?;
    let is_failure =
        |record: &Record| matches!(record, Record::Answer { outcome, .. } if outcome.is_failure());
    let failures = records.iter().filter(|(_, record)| is_failure(record)).count();
    transaction
        .prepare_cached(
            "INSERT INTO blocks (run, since, until, count, refusals, crc, data) VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7)",
        )?
        .execute(params![
            run,
            since,
            until,
            records.len() as i64,
            failures as i64,
            crc32fast::hash(&data),
            data
        ])?;
    Ok(())
}

fn insert_names(
    transaction: &Transaction<'_>,
    run: i64,
    records: &[TimedRecord],
) -> Result<(), rusqlite::Error> {
    for (_, record) in records {
        match record {
            Record::Class { class, name, latency_objective } => {
                transaction
                    .prepare_cached("INSERT OR REPLACE INTO names VALUES (?1, 'class', ?2, ?3, ?4)")?
                    .execute(params![run, class, name, latency_objective.to_string()])?;
            }
            Record::Proxy { zone } => {
                transaction
                    .prepare_cached("INSERT OR REPLACE INTO names VALUES (?1, 'proxy', 0, '', ?2)")?
                    .execute(params![run, zone])?;
            }
            Record::Member { member, name, zone } => {
                transaction
                    .prepare_cached("INSERT OR REPLACE INTO names VALUES (?1, 'member', ?2, ?3, ?4)")?
                    .execute(params![run, member, name, zone])?;
            }
            _ => {}
        }
    }
    Ok(())
}

fn add_to_summaries(
    transaction: &Transaction<'_>,
    run: i64,
    records: &[TimedRecord],
) -> Result<(), rusqlite::Error> {
    for (key, summary) in summarize(records) {
        transaction
            .prepare_cached(
                "INSERT INTO sums VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7, ?8)
                 ON CONFLICT DO UPDATE SET count = count + excluded.count, attempts = attempts + excluded.attempts,
                     took = took + excluded.took, most = max(most, excluded.most)",
            )?
            .execute(params![
                run,
                key.window,
                key.class,
                key.outcome_code,
                summary.count as i64,
                summary.attempts as i64,
                summary.took,
                summary.longest
            ])?;
    }
    Ok(())
}

fn summarize(records: &[TimedRecord]) -> BTreeMap<SummaryKey, Summary> {
    let mut summaries: BTreeMap<SummaryKey, Summary> = BTreeMap::new();
    for (at, record) in records {
        let Record::Answer { class, attempts, took, outcome, .. } = record else { continue };
        let window = at - at.rem_euclid(SUMMARY_WINDOW);
        let key = SummaryKey { window, class: *class, outcome_code: outcome.code() };
        let summary = summaries.entry(key).or_default();
        summary.count += 1;
        summary.attempts += u64::from(*attempts);
        summary.took += took;
        summary.longest = summary.longest.max(*took);
    }
    summaries
}
