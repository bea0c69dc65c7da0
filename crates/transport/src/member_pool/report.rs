//! The progress and the result of an attempt.

use super::StreamForwarder;
use crate::response_stream::ResponseStream;
use wharfplank_protocol::member_response::MemberResponse;
use wharfplank_routing::AttemptOutcome;

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptReport {
    /// The outcome as the router classifies it.
    pub outcome: AttemptOutcome,
    /// The member's complete response, if it sent one.
    pub response: Option<MemberResponse>,
    /// A successful response that has only begun. It is streamed to the client, and a second report follows at its
    /// end.
    pub stream: Option<ResponseStream>,
}

impl AttemptReport {
    /// The report of an attempt that ended without a response.
    pub fn without_response(outcome: AttemptOutcome) -> Self {
        AttemptReport { outcome, response: None, stream: None }
    }
}

/// What an attempt led to.
pub struct AttemptCompletion {
    /// The result, or the beginning of a streamed response.
    pub report: AttemptReport,
    /// Forwards the rest of a streamed response once the report was delivered.
    pub forwarder: Option<StreamForwarder>,
}

impl From<AttemptReport> for AttemptCompletion {
    fn from(report: AttemptReport) -> Self {
        AttemptCompletion { report, forwarder: None }
    }
}

impl From<AttemptOutcome> for AttemptCompletion {
    fn from(outcome: AttemptOutcome) -> Self {
        AttemptReport::without_response(outcome).into()
    }
}

/// How far an attempt has come. The time limit of draining counts from its first byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptStage {
    /// Nothing is written yet.
    #[default]
    Queued,
    /// The statement is being written, but its last byte is not: if the connection is closed now, it never runs.
    Writing,
    /// The whole statement is written: it may have run.
    Written,
    /// The attempt has ended, and its report is on the way.
    Finished,
}
