//! The store of one proxy: an SQLite file in write-ahead mode, so that others read it while it is written.
//!
//! Records are written in flushes. One row holds a flush as a block with a checksum, and the same transaction adds the
//! flush's answers to the summaries by window and class, so a flush is stored completely or not at all.

mod error;
mod retention;
mod schema;

pub use error::StoreError;
pub use schema::FORMAT;

use crate::record::{Micros, Record, TimedRecord};
use rusqlite::{params, Connection, Transaction};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The length of a window of summaries.
pub const SUMMARY_WINDOW: Micros = 10_000_000;

/// The bounds of a store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// The size of the file in bytes past which the oldest blocks are removed.
    pub max_bytes: u64,
    /// How long blocks are kept.
    pub block_retention: Micros,
    /// How long summaries, names and runs are kept.
    pub summary_retention: Micros,
}

/// A file that could not be used and was moved aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedFile {
    /// Where it is now.
    pub path: PathBuf,
    /// Why it could not be used.
    pub reason: String,
}

/// The result of [`Store::open`].
#[derive(Debug)]
pub struct OpenedStore {
    /// The store.
    pub store: Store,
    /// The file that stood in its place and could not be used.
    pub quarantined: Option<QuarantinedFile>,
}

/// A store that is open to be written.
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

/// The answers of one summary.
#[derive(Default)]
struct Summary {
    count: u64,
    attempts: u64,
    took: Micros,
    longest: Micros,
}

/// The file of a proxy in a directory. Characters of its name other than letters, digits, `-`, `_` and `.` become `_`.
pub fn path(directory: &Path, proxy: &str) -> PathBuf {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let stem: String = proxy.chars().map(|c| if is_plain(c) { c } else { '_' }).collect();
    directory.join(format!("{stem}.wharfplank"))
}

impl Store {
    /// Opens a proxy's store and begins a run in it.
    ///
    /// A file that is damaged or of another format is moved aside under a new name and never written to; what it holds
    /// stays readable as far as it is.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be opened, or why one that cannot be used could not be moved aside: there is no store
    /// then, since nothing is overwritten.
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
                quarantined = Some(move_aside(&path, now).map_err(|_| error)?);
                schema::open(&path)?
            }
            Err(error) => return Err(error),
        };
        let run = begin_run(&connection, proxy, now)?;
        Ok(OpenedStore { store: Store { connection, run, limits }, quarantined })
    }

    /// Appends a flush, and records that the process was alive at `now`. The flush is stored once this returns.
    ///
    /// # Errors
    ///
    /// Returns why the flush could not be stored; nothing of it is then.
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

    /// Ends the run in order.
    ///
    /// # Errors
    ///
    /// Returns why the end could not be stored; the run looks like one that was killed then.
    pub fn end_run(&mut self, now: Micros) -> Result<(), StoreError> {
        self.connection.execute(
            "UPDATE runs SET alive = max(alive, ?2), ended = ?2 WHERE run = ?1",
            params![self.run, now],
        )?;
        Ok(())
    }
}

/// Moves a file that cannot be used aside, with its log.
fn move_aside(path: &Path, now: Micros) -> std::io::Result<QuarantinedFile> {
    let aside = path.with_extension(format!("wharfplank-aside-{now}"));
    std::fs::rename(path, &aside)?;
    for suffix in ["-wal", "-shm"] {
        let with_suffix = |path: &Path| PathBuf::from(format!("{}{suffix}", path.display()));
        // There may be none.
        let _ = std::fs::rename(with_suffix(path), with_suffix(&aside));
    }
    Ok(QuarantinedFile { path: aside, reason: "damaged, or of another format".to_string() })
}

fn begin_run(connection: &Connection, proxy: &str, now: Micros) -> Result<i64, rusqlite::Error> {
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
