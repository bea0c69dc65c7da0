//! The file format of a store, and the opening of the file.

use super::StoreError;
use rusqlite::{Connection, OptionalExtension};
use std::path::Path;
use std::time::Duration;

/// The version of the format. A file with another version is renamed and replaced, since there is no
/// conversion.
pub const FORMAT: i64 = 1;

/// The time that a statement waits for a reader's lock.
const LOCK_TIMEOUT: Duration = Duration::from_millis(200);
/// The size of `SQLite`'s page cache; negative values are in KiB.
const CACHE_SIZE: i64 = -1024;
/// The size to which the write-ahead log is truncated after a checkpoint, in bytes.
const LOG_SIZE_LIMIT: i64 = 4 << 20;

const TABLES: [&str; 4] = ["runs", "blocks", "names", "sums"];

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

/// Opens a file for writing, and creates the tables if the file is new.
pub(super) fn open(path: &Path) -> Result<Connection, StoreError> {
    let connection = Connection::open(path)?;
    connection.busy_timeout(LOCK_TIMEOUT)?;
    let format: i64 = connection.query_row("PRAGMA user_version", [], |row| row.get(0))?;
    let tables: i64 = connection.query_row("SELECT count(*) FROM sqlite_master", [], |row| row.get(0))?;
    if tables > 0 && format != FORMAT {
        return Err(StoreError::UnknownFormat { found: format });
    }
    configure(&connection)?;
    if tables == 0 {
        let create = format!("BEGIN; {SCHEMA} PRAGMA user_version = {FORMAT}; COMMIT;");
        connection.execute_batch(&create)?;
    }
    check_tables(&connection)?;
    Ok(connection)
}

/// Configures the connection so that killing the process never loses a committed flush, and a power failure
/// loses at most the latest flushes.
fn configure(connection: &Connection) -> Result<(), rusqlite::Error> {
    connection.pragma_update(None, "auto_vacuum", "INCREMENTAL")?;
    connection.pragma_update(None, "journal_mode", "WAL")?;
    connection.pragma_update(None, "synchronous", "NORMAL")?;
    connection.pragma_update(None, "cache_size", CACHE_SIZE)?;
    connection.pragma_update(None, "journal_size_limit", LOG_SIZE_LIMIT)
}

/// Reads one row of each table, so that damage there is found when the file is opened instead of during
/// operation.
fn check_tables(connection: &Connection) -> Result<(), rusqlite::Error> {
    for table in TABLES {
        connection.query_row(&format!("SELECT 1 FROM {table} LIMIT 1"), [], |_| Ok(())).optional()?;
    }
    Ok(())
}
