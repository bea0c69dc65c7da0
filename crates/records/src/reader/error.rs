//! Errors of reading a store.

use crate::store::FORMAT;
use std::path::PathBuf;

/// The reason why a store cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// `SQLite` reported an error.
    #[error(transparent)]
    Database(#[from] rusqlite::Error),
    /// The directory cannot be read.
    #[error(transparent)]
    Directory(#[from] std::io::Error),
    /// The file has another version of the format. The message is the same as in earlier releases, which
    /// operators know.
    #[error("Invalid parameter name: is of format {found}; this program reads format {FORMAT}")]
    UnknownFormat {
        /// The version of the format in the file.
        found: i64,
    },
}

/// A file or directory that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("{}: {error}", path.display())]
pub struct StoreProblem {
    /// The file or directory.
    pub path: PathBuf,
    /// The reason why it cannot be read.
    #[source]
    pub error: ReadError,
}
