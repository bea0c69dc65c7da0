//! Errors in the settings.

use super::fields::MAX_SPAN;
use crate::api::Micros;
use thiserror::Error;

/// An invalid field and its problem.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("field {field}: {problem}")]
pub struct FieldError {
    field: String,
    problem: FieldProblem,
}

impl FieldError {
    /// Creates an error for the field with this name.
    pub fn new(field: &str, problem: FieldProblem) -> Self {
        FieldError { field: field.to_string(), problem }
    }
}

/// The problem with a field.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum FieldProblem {
    /// A required field is missing.
    #[error("is missing")]
    Missing,
    /// A class has neither a latency objective nor a deadline.
    #[error("is missing, and so is DeadlineUs")]
    MissingWithDeadline,
    /// A `name=value` pair has no `=`.
    #[error("has no value")]
    NoValue,
    /// The field is an object where a plain value is expected.
    #[error("is an object, expected a plain value")]
    NotPlainValue,
    /// The field is a plain value where an object is expected.
    #[error("is not an object: '{0}'")]
    NotSection(String),
    /// The text cannot be parsed as the expected type.
    #[error("cannot be parsed: '{0}'")]
    Unreadable(String),
    /// The number is infinite or NaN.
    #[error("is not a finite number")]
    NotFinite,
    /// The number is negative.
    #[error("is negative: {0}")]
    Negative(f64),
    /// The number exceeds the maximum.
    #[error("is larger than {max}: {value}")]
    TooLarge {
        /// The maximum.
        max: f64,
        /// The number.
        value: f64,
    },
    /// The span is negative.
    #[error("is negative: {0}")]
    NegativeSpan(Micros),
    /// The span is longer than [`MAX_SPAN`].
    #[error("is longer than a year: {0}")]
    SpanTooLong(Micros),
    /// An entry in a list of spans is not an integer.
    #[error("contains an invalid span: '{0}'")]
    NotSpan(String),
    /// The time is out of range.
    #[error("is out of range: {0}")]
    NotTime(Micros),
    /// The text does not start with a letter.
    #[error("does not start with a letter: '{0}'")]
    NotWord(String),
    /// The number is 0 but must be at least 1.
    #[error("is 0, must be at least 1")]
    Zero,
    /// The value is not one of those that the field accepts.
    #[error("has an unknown value: '{0}'")]
    Unknown(String),
    /// A list does not have one entry per class.
    #[error("has {given} entries for {count} classes")]
    WrongCount {
        /// The number of entries in the list.
        given: usize,
        /// The number of classes.
        count: usize,
    },
    /// Two classes have the same name.
    #[error("duplicates the name of another class: '{0}'")]
    DuplicateClass(String),
}

/// Checks that a span is from 0 to [`MAX_SPAN`].
pub(super) fn check_span(field: &str, span: Micros) -> Result<Micros, FieldError> {
    match span {
        0..=MAX_SPAN => Ok(span),
        ..0 => Err(FieldError::new(field, FieldProblem::NegativeSpan(span))),
        _ => Err(FieldError::new(field, FieldProblem::SpanTooLong(span))),
    }
}
