//! The requests of the load and their outcomes, as clients observed them.

use crate::member_model::Micros;
use std::fmt;

/// The outcome of a request, as its client observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The client received a value.
    Served,
    /// The request was rejected: SQLSTATE 53300 or 57P03.
    Rejected,
    /// The client received any other error.
    Failed,
    /// No connection to the proxy could be opened.
    Unreachable,
    /// The connection ended without an answer.
    ConnectionLost,
    /// No answer came before the client's timeout.
    TimedOut,
}

impl fmt::Display for ClientOutcome {
    /// Writes the name that stored results and printed reports have.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ClientOutcome::Served => "Served",
            ClientOutcome::Rejected => "Refused",
            ClientOutcome::Failed => "Failed",
            ClientOutcome::Unreachable => "Unreachable",
            ClientOutcome::ConnectionLost => "Broken",
            ClientOutcome::TimedOut => "Nothing",
        })
    }
}

/// A finished request, as its client observed it.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// The index of the proxy.
    pub proxy: usize,
    /// The index of the class in [`CLASSES`](crate::member_model::CLASSES).
    pub class: usize,
    /// The group.
    pub group: usize,
    /// The position that its data had to include, in Unix milliseconds.
    pub min_position_ms: Option<i64>,
    /// The time at which the request was due, in µs of Unix time.
    pub due_at: Micros,
    /// The time at which it ended for its client, in µs of Unix time.
    pub finished_at: Micros,
    /// The outcome.
    pub outcome: ClientOutcome,
}

impl RequestRecord {
    /// Returns whether the request is of a class and ended with an outcome.
    pub(super) fn is(&self, class: usize, outcome: ClientOutcome) -> bool {
        self.class == class && self.outcome == outcome
    }
}
