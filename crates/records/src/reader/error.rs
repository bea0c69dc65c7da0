//! Why a store cannot be read.

use crate::store::FORMAT;
use std::path::PathBuf;

/// Why a store cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// SQLite failed.
    #[error(transparent)]
    Database(#[from] rusqlite::Error),
    /// The directory cannot be read.
    #[error(transparent)]
    Directory(#[from] std::io::Error),
    /// The file has another version of the format. The text is the one that operators know from earlier versions.
    #[error("Invalid parameter name: is of format {found}; this program reads format {FORMAT}")]
    UnknownFormat {
        /// The version of the file.
        found: i64,
    },
}

/// A file or a directory that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("{}: {error}", path.display())]
pub struct StoreProblem {
    /// The file or the directory.
    pub path: PathBuf,
    /// Why it cannot be read.
    #[source]
    pub error: ReadError,
}
