//! What can be wrong with the settings.

use super::fields::LONGEST_SPAN;
use crate::api::Micros;
use thiserror::Error;

/// A field that cannot be used, and why.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("field {field}: {problem}")]
pub struct FieldError {
    field: String,
    problem: FieldProblem,
}

impl FieldError {
    /// An error of the field with this name.
    pub fn new(field: &str, problem: FieldProblem) -> Self {
        FieldError { field: field.to_string(), problem }
    }
}

/// Why a field cannot be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum FieldProblem {
    /// The field must be there.
    #[error("is missing")]
    Missing,
    /// A class has neither a latency objective nor a deadline.
    #[error("is missing, and DeadlineUs with it")]
    MissingWithDeadline,
    /// A `name=value` pair has no `=`.
    #[error("has no value")]
    NoValue,
    /// The name stands for an object, where a plain value belongs.
    #[error("is no plain value")]
    NotPlainValue,
    /// The name stands for a plain value, where an object belongs.
    #[error("is no group of fields: '{0}'")]
    NotSection(String),
    /// The text does not have the form of the value.
    #[error("cannot be read from '{0}'")]
    Unreadable(String),
    /// The number is infinite, or none.
    #[error("is not a finite number")]
    NotFinite,
    /// The number must not be negative.
    #[error("is negative: {0}")]
    Negative(f64),
    /// The number is too large.
    #[error("is over {most}: {value}")]
    TooLarge {
        /// The largest number that is accepted.
        most: f64,
        /// The number.
        value: f64,
    },
    /// The span must not be negative.
    #[error("is negative: {0}")]
    NegativeSpan(Micros),
    /// The span is longer than [`LONGEST_SPAN`].
    #[error("is over a year: {0}")]
    SpanTooLong(Micros),
    /// The text in a list of spans is no span.
    #[error("holds no span: '{0}'")]
    NotSpan(String),
    /// The time is too far from the epoch.
    #[error("is no time: {0}")]
    NotTime(Micros),
    /// The text must start with a letter.
    #[error("'{0}' is no word")]
    NotWord(String),
    /// There must be at least one.
    #[error("is 0: there is one at least")]
    Zero,
    /// The value is not one of those that the field may have.
    #[error("'{0}' is unknown")]
    Unknown(String),
    /// A list has not one entry for each class.
    #[error("names {given} classes of {count}")]
    WrongCount {
        /// The number of entries in the list.
        given: usize,
        /// The number of classes.
        count: usize,
    },
    /// Two classes have the same name.
    #[error("'{0}' is another class's name as well")]
    DuplicateClass(String),
}

/// Checks that a span is from 0 to [`LONGEST_SPAN`].
pub(super) fn check_span(field: &str, span: Micros) -> Result<Micros, FieldError> {
    match span {
        0..=LONGEST_SPAN => Ok(span),
        ..0 => Err(FieldError::new(field, FieldProblem::NegativeSpan(span))),
        _ => Err(FieldError::new(field, FieldProblem::SpanTooLong(span))),
    }
}
