//! The errors of gathering the evidence of a store.

use thiserror::Error;
use wharfplank_records::reader::ReadError;

/// The reason why a store's evidence could not be gathered.
#[derive(Debug, Error)]
pub(super) enum GatherError {
    /// The store cannot be opened or read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The thread that read the store panicked.
    #[error("the thread that read the store panicked")]
    Panicked,
}
