//! What clients saw of their requests.

use crate::member_model::Micros;

/// What a client saw of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A value.
    Served,
    /// A refusal: 53300 or 57P03.
    Refused,
    /// Any other error.
    Failed,
    /// No connection came up.
    Unreachable,
    /// The connection ended without an answer.
    Broken,
    /// Nothing came in the client's time.
    Nothing,
}

/// One request, as its client saw it.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    /// The proxy's number.
    pub proxy: usize,
    /// The class.
    pub class: usize,
    /// The group.
    pub group: usize,
    /// The position that it had to see, in Unix milliseconds.
    pub after_ms: Option<i64>,
    /// When it was due.
    pub due: Micros,
    /// When its end was seen.
    pub at: Micros,
    /// What came.
    pub seen: Seen,
}
