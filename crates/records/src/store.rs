//! The store of one proxy: an SQLite file in write-ahead mode, so that others read while it is written.
//!
//! Records go in whole flushes: one row holds a flush as one checked block, and the sums of its answers by window and
//! class are added in the same transaction. A flush is there whole or not at all, however the process ends.

use crate::record::{Micros, Outcome, Record};
use rusqlite::{params, Connection, OptionalExtension};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The version of the format. An older one is set aside, since nothing converts it yet; a newer one is not touched.
pub const FORMAT: i64 = 1;
/// The window of sums.
pub const WINDOW: Micros = 10_000_000;
/// Blocks that one step of retirement removes at most, so that a step stays short.
const RETIRE: usize = 512;

/// What opening a store brought about beside the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A file that could not be used was moved here.
    SetAside(PathBuf, String),
}

/// An open store.
#[derive(Debug)]
pub struct Store {
    file: Connection,
    run: i64,
    /// Bytes past which the oldest blocks go, and for how long blocks and sums are kept.
    limits: Limits,
}

/// Bounds of a store.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of the file.
    pub bytes: u64,
    /// How long blocks are kept.
    pub blocks: Micros,
    /// How long sums and runs are kept.
    pub sums: Micros,
}

/// A key of sums: window, class, outcome as its code.
pub type Key = (Micros, u16, i64);

const SCHEMA: &str = "
    CREATE TABLE runs (run INTEGER PRIMARY KEY, proxy TEXT NOT NULL, version TEXT NOT NULL, pid INTEGER NOT NULL,
        started INTEGER NOT NULL, alive INTEGER NOT NULL, ended INTEGER);
    CREATE TABLE blocks (id INTEGER PRIMARY KEY, run INTEGER NOT NULL, since INTEGER NOT NULL, until INTEGER NOT NULL,
        count INTEGER NOT NULL, refusals INTEGER NOT NULL, crc INTEGER NOT NULL, data BLOB NOT NULL);
    CREATE INDEX blocks_until ON blocks (until);
    CREATE TABLE names (run INTEGER NOT NULL, kind TEXT NOT NULL, number INTEGER NOT NULL, name TEXT NOT NULL,
        more TEXT NOT NULL, PRIMARY KEY (run, kind, number)) WITHOUT ROWID;
    CREATE TABLE sums (run INTEGER NOT NULL, window INTEGER NOT NULL, class INTEGER NOT NULL, outcome INTEGER NOT NULL,
        count INTEGER NOT NULL, attempts INTEGER NOT NULL, took INTEGER NOT NULL, most INTEGER NOT NULL,
        PRIMARY KEY (run, window, class, outcome)) WITHOUT ROWID;
";

/// The code of an outcome in the store: 0 served, 1 late, 100 and more refused, 200 and more failed.
pub fn code(outcome: Outcome) -> i64 {
    let place = |reason| crate::record::Reason::ALL.iter().position(|r| *r == reason).unwrap_or(0) as i64;
    match outcome {
        Outcome::Served => 0,
        Outcome::Late => 1,
        Outcome::Refused(reason) => 100 + place(reason),
        Outcome::Failed(reason) => 200 + place(reason),
    }
}

/// The outcome of a code; `None` for one that this version does not know.
pub fn outcome(code: i64) -> Option<Outcome> {
    let reason = |code: i64| crate::record::Reason::ALL.get(usize::try_from(code).ok()?).copied();
    match code {
        0 => Some(Outcome::Served),
        1 => Some(Outcome::Late),
        100..=199 => reason(code - 100).map(Outcome::Refused),
        200..=299 => reason(code - 200).map(Outcome::Failed),
        _ => None,
    }
}

/// The file of a proxy in a directory. Only letters, digits, `-`, `_` and `.` of its name are kept.
pub fn path(directory: &Path, proxy: &str) -> PathBuf {
    let plain = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '_' };
    directory.join(format!("{}.wharfplank", proxy.chars().map(plain).collect::<String>()))
}

impl Store {
    /// Opens a proxy's store and begins a run in it. A file that is damaged or of another format is set aside under
    /// a new name, never written to; what it holds stays readable as far as it is.
    pub fn open(
        directory: &Path,
        proxy: &str,
        limits: Limits,
        now: Micros,
    ) -> Result<(Store, Option<Note>), rusqlite::Error> {
        let path = path(directory, proxy);
        let mut note = None;
        let file = match Self::prepare(&path) {
            Ok(file) => file,
            Err(e) if unusable(&e) && path.exists() => {
                let aside = path.with_extension(format!("wharfplank-aside-{now}"));
                // Where it cannot be moved, there is no store: nothing is written over it.
                std::fs::rename(&path, &aside).map_err(|_| e)?;
                for end in ["-wal", "-shm"] {
                    let of = |p: &Path| PathBuf::from(format!("{}{end}", p.display()));
                    let _ = std::fs::rename(of(&path), of(&aside));
                }
                note = Some(Note::SetAside(aside, "damaged, or of another format".to_string()));
                Self::prepare(&path)?
            }
            Err(e) => return Err(e),
        };
        let version = env!("CARGO_PKG_VERSION");
        file.execute(
            "INSERT INTO runs (proxy, version, pid, started, alive) VALUES (?1, ?2, ?3, ?4, ?4)",
            params![proxy, version, std::process::id(), now],
        )?;
        let run = file.last_insert_rowid();
        Ok((Store { file, run, limits }, note))
    }

    fn prepare(path: &Path) -> Result<Connection, rusqlite::Error> {
        let file = Connection::open(path)?;
        file.busy_timeout(std::time::Duration::from_millis(200))?;
        let format: i64 = file.query_row("PRAGMA user_version", [], |row| row.get(0))?;
        let tables: i64 = file.query_row("SELECT count(*) FROM sqlite_master", [], |row| row.get(0))?;
        if tables > 0 && format != FORMAT {
            let code = rusqlite::ffi::Error::new(rusqlite::ffi::SQLITE_NOTADB);
            return Err(rusqlite::Error::SqliteFailure(
                code,
                Some(format!("format {format}, this is {FORMAT}")),
            ));
        }
        // A process may be killed at any moment; a power cut may cost the last flushes, never the file.
        file.pragma_update(None, "auto_vacuum", "INCREMENTAL")?;
        file.pragma_update(None, "journal_mode", "WAL")?;
        file.pragma_update(None, "synchronous", "NORMAL")?;
        file.pragma_update(None, "cache_size", -1024)?;
        file.pragma_update(None, "journal_size_limit", 4 << 20)?;
        if tables == 0 {
            let made = format!("BEGIN; {SCHEMA} PRAGMA user_version = {FORMAT}; COMMIT;");
            file.execute_batch(&made)?;
        }
        // Reads one row of each table: damage there shows now and not in the midst of a day.
        for table in ["runs", "blocks", "names", "sums"] {
            file.query_row(&format!("SELECT 1 FROM {table} LIMIT 1"), [], |_| Ok(())).optional()?;
        }
        Ok(file)
    }

    /// Appends a flush, and says that the process lived at `now`. It is there whole once this returns.
    pub fn append(&mut self, records: &[(Micros, Record)], now: Micros) -> Result<(), rusqlite::Error> {
        let run = self.run;
        let work = self.file.transaction()?;
        work.prepare_cached("UPDATE runs SET alive = max(alive, ?2) WHERE run = ?1")?
            .execute(params![run, now])?;
        if let (Some((since, _)), Some((until, _))) = (records.first(), records.last()) {
            let data = postcard::to_stdvec(records)
                .map_err(|e| rusqlite::Error::ToSqlConversionFailure(Box::new(e)))?;
            let refused = |r: &&(Micros, Record)| {
                matches!(r.1, Record::Answer { outcome: Outcome::Refused(_) | Outcome::Failed(_), .. })
            };
            let refusals = records.iter().filter(refused).count();
            work.prepare_cached("INSERT INTO blocks (run, since, until, count, refusals, crc, data) VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7)")?
                .execute(params![run, since, until, records.len() as i64, refusals as i64, crc32fast::hash(&data), data])?;
        }
        let mut sums: BTreeMap<Key, (u64, u64, i64, i64)> = BTreeMap::new();
        for (at, record) in records {
            let window = at - at.rem_euclid(WINDOW);
            match record {
                Record::Answer { class, attempts, took, outcome, .. } => {
                    let sum = sums.entry((window, *class, code(*outcome))).or_default();
                    *sum = (sum.0 + 1, sum.1 + u64::from(*attempts), sum.2 + took, sum.3.max(*took));
                }
                Record::Class { class, name, aim } => {
                    work.prepare_cached("INSERT OR REPLACE INTO names VALUES (?1, 'class', ?2, ?3, ?4)")?
                        .execute(params![run, class, name, aim.to_string()])?;
                }
                Record::Proxy { zone } => {
                    work.prepare_cached("INSERT OR REPLACE INTO names VALUES (?1, 'proxy', 0, '', ?2)")?
                        .execute(params![run, zone])?;
                }
                Record::Name { member, name, zone } => {
                    work.prepare_cached("INSERT OR REPLACE INTO names VALUES (?1, 'member', ?2, ?3, ?4)")?
                        .execute(params![run, member, name, zone])?;
                }
                _ => {}
            }
        }
        for ((window, class, outcome), (count, attempts, took, most)) in sums {
            work.prepare_cached(
                "INSERT INTO sums VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7, ?8)
                 ON CONFLICT DO UPDATE SET count = count + excluded.count, attempts = attempts + excluded.attempts,
                     took = took + excluded.took, most = max(most, excluded.most)",
            )?
            .execute(params![run, window, class, outcome, count as i64, attempts as i64, took, most])?;
        }
        work.commit()
    }

    /// Ends the run in order.
    pub fn end(&mut self, now: Micros) -> Result<(), rusqlite::Error> {
        self.file.execute(
            "UPDATE runs SET alive = max(alive, ?2), ended = ?2 WHERE run = ?1",
            params![self.run, now],
        )?;
        Ok(())
    }

    /// Removes what is too old or too much, in one short step; true when there is more to remove.
    pub fn retire(&mut self, now: Micros) -> Result<bool, rusqlite::Error> {
        let page: i64 = self.file.query_row("PRAGMA page_size", [], |row| row.get(0))?;
        let pages =
            |name: &str| self.file.query_row(&format!("PRAGMA {name}"), [], |row| row.get::<_, i64>(0));
        let used = (pages("page_count")? - pages("freelist_count")?) * page;
        let over = u64::try_from(used).unwrap_or(0) > self.limits.bytes;
        let old = now - self.limits.blocks;
        let gone = self.file.execute(
            "DELETE FROM blocks WHERE id IN (SELECT id FROM blocks WHERE until < ?1 OR ?2 ORDER BY until LIMIT ?3)",
            params![old, over, if over { RETIRE as i64 / 8 } else { RETIRE as i64 }],
        )?;
        let sums = now - self.limits.sums;
        self.file.execute("DELETE FROM sums WHERE window < ?1", [sums])?;
        self.file
            .execute("DELETE FROM names WHERE run IN (SELECT run FROM runs WHERE alive < ?1)", [sums])?;
        self.file.execute("DELETE FROM runs WHERE alive < ?1 AND run != ?2", params![sums, self.run])?;
        if gone > 0 {
            self.file.execute_batch(&format!("PRAGMA incremental_vacuum({})", RETIRE * 4))?;
        }
        Ok(gone == RETIRE || (over && gone > 0))
    }
}

/// Whether an error means that the file itself cannot be used.
fn unusable(error: &rusqlite::Error) -> bool {
    use rusqlite::ErrorCode::{DatabaseCorrupt, NotADatabase};
    matches!(error.sqlite_error_code(), Some(DatabaseCorrupt | NotADatabase))
}
