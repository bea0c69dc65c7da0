//! The errors of a store that is written.

use super::FORMAT;
use rusqlite::ErrorCode::{DatabaseCorrupt, NotADatabase};

/// Why a store cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// SQLite failed.
    #[error(transparent)]
    Database(#[from] rusqlite::Error),
    /// Records could not be encoded.
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
    /// The file has another version of the format.
    #[error("format {found}, this is {FORMAT}")]
    UnknownFormat {
        /// The version of the file.
        found: i64,
    },
}

impl StoreError {
    /// Whether the file itself cannot be used, however often that is tried.
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
