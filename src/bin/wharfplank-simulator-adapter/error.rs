//! What can be wrong with the simulator's lines.

use thiserror::Error;
use wharfplank::routing::settings::{FieldError, FieldProblem};

/// A line that cannot be carried out.
#[derive(Debug, Error)]
pub enum LineError {
    #[error(transparent)]
    Field(#[from] FieldError),
    #[error("field message: '{0}' is unknown")]
    UnknownMessage(String),
    #[error("field BATCH: inside a batch")]
    NestedBatch,
    #[error("field BATCH: missing before this line")]
    OutsideBatch,
    #[error("field Members: counts more entries than follow")]
    TooFewEndpoints,
    #[error("field Page: names no list")]
    UnknownPage,
    #[error("field Who: names an instance that was not configured")]
    UnknownInstance,
    #[error("field Id: is not 36 characters long")]
    MalformedId,
    #[error("field Cls: '{0}' is not in the settings")]
    UnknownClass(String),
}

/// A run that ends early.
#[derive(Debug, Error)]
pub enum RunError {
    #[error("line {number}: not readable as text: {error}")]
    Unreadable { number: u64, error: std::io::Error },
    #[error("line {number}: {error}")]
    Line { number: u64, error: LineError },
    #[error("standard output: {0}")]
    Output(std::io::Error),
    #[error("end of input: COMMIT missing")]
    UnfinishedBatch,
}

/// A field whose value is not one of those that it may have.
pub fn unknown_value(field: &str, value: &str) -> LineError {
    FieldError::new(field, FieldProblem::Unknown(value.to_string())).into()
}

/// A field that must be there.
pub fn missing(field: &str) -> LineError {
    FieldError::new(field, FieldProblem::Missing).into()
}
