//! Errors in the simulator's input.

use thiserror::Error;
use wharfplank::routing::settings::{FieldError, FieldProblem};

/// The reason why a line cannot be processed.
#[derive(Debug, Error)]
pub enum LineError {
    #[error(transparent)]
    Field(#[from] FieldError),
    #[error("field message: unknown message '{0}'")]
    UnknownMessage(String),
    #[error("field BATCH: not allowed within a batch")]
    NestedBatch,
    #[error("field BATCH: missing before this line")]
    OutsideBatch,
    #[error("field Members: greater than the number of entries that follow")]
    TooFewEndpoints,
    #[error("field Page: no ROSTER has this page number")]
    UnknownPage,
    #[error("field Who: this instance is not configured")]
    UnknownInstance,
    #[error("field Id: must be 36 bytes long")]
    MalformedId,
    #[error("field Cls: class '{0}' is not in the settings")]
    UnknownClass(String),
}

/// The reason why the adapter exits early.
#[derive(Debug, Error)]
pub enum RunError {
    #[error("line {number}: cannot read input: {error}")]
    Unreadable { number: u64, error: std::io::Error },
    #[error("line {number}: {error}")]
    Line { number: u64, error: LineError },
    #[error("standard output: {0}")]
    Output(std::io::Error),
    #[error("end of input: COMMIT missing")]
    UnfinishedBatch,
}

/// Returns the error for a field whose value is not one of the allowed ones.
pub fn unknown_value(field: &str, value: &str) -> LineError {
    FieldError::new(field, FieldProblem::Unknown(value.to_string())).into()
}

/// Returns the error for a required field that is missing.
pub fn missing(field: &str) -> LineError {
    FieldError::new(field, FieldProblem::Missing).into()
}
