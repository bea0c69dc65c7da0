//! Progress and result of an attempt.

use super::StreamForwarder;
use crate::response_stream::ResponseStream;
use wharfplank_protocol::member_response::{MemberResponse, StatedState};
use wharfplank_routing::AttemptOutcome;

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptReport {
    /// The outcome, as classified for the router.
    pub outcome: AttemptOutcome,
    /// The member's complete response, if it sent one.
    pub response: Option<MemberResponse>,
    /// What the member stated about itself, so far if its response has only started.
    pub stated: StatedState,
    /// A successful response that has started. It is streamed to the client, and a second report follows when
    /// it ends.
    pub stream: Option<ResponseStream>,
}

impl AttemptReport {
    /// Creates the report of an attempt that ended without a response.
    pub fn without_response(outcome: AttemptOutcome) -> Self {
        AttemptReport { outcome, response: None, stated: StatedState::default(), stream: None }
    }
}

/// The completion of an attempt, or the start of its streamed response.
pub struct AttemptCompletion {
    /// The result, or the start of a streamed response.
    pub report: AttemptReport,
    /// Forwards the rest of a streamed response; to be run after the report was delivered.
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

/// The progress of an attempt. The drain time limit applies from its first byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptStage {
    /// Nothing has been written yet.
    #[default]
    Queued,
    /// The statement is partly written. If the connection is closed now, the statement is never executed.
    Writing,
    /// The statement is completely written and may have been executed.
    Written,
    /// The attempt has ended, and its report is being delivered.
    Finished,
}
