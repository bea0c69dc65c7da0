//! Errors of opening and writing a store.

use super::FORMAT;
use rusqlite::ErrorCode::{DatabaseCorrupt, NotADatabase};

/// The reason why a store cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// `SQLite` reported an error.
    #[error(transparent)]
    Database(#[from] rusqlite::Error),
    /// Records could not be encoded.
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
    /// The file has another version of the format.
    #[error("format {found}, this is {FORMAT}")]
    UnknownFormat {
        /// The version of the format in the file.
        found: i64,
    },
}

impl StoreError {
    /// Returns whether the file itself is unusable, so that retries cannot help.
    pub(super) fn is_file_unusable(&self) -> bool {
        match self {
            StoreError::Database(error) => {
                matches!(error.sqlite_error_code(), Some(DatabaseCorrupt | NotADatabase))
            }
            StoreError::UnknownFormat { .. } => true,
            StoreError::Encoding(_) => false,
        }
    }
}
