//! Writes whose clients disconnected while an attempt was in flight.

use std::collections::HashMap;
use wharfplank_protocol::pipeline::RequestNumber;
use wharfplank_routing::{AttemptOutcome, RequestId};
use wharfplank_shared_state::WriteOutcome;

/// A write whose client does not wait for the response any more.
#[derive(Clone, Copy)]
pub(super) struct AbandonedWrite {
    /// The hash of the request id that the client assigned.
    pub(super) write: u64,
    /// The number of the request, under which the write is claimed.
    pub(super) number: RequestNumber,
}

/// The outcome of a write that was in doubt.
pub(super) struct SettledWrite {
    pub(super) write: u64,
    pub(super) number: RequestNumber,
    pub(super) outcome: WriteOutcome,
}

/// The abandoned writes whose attempts are in flight; bounded by the number of attempts.
#[derive(Default)]
pub(super) struct AbandonedWrites {
    writes: HashMap<RequestId, AbandonedWrite>,
}

impl AbandonedWrites {
    pub(super) fn insert(&mut self, id: RequestId, write: AbandonedWrite) {
        self.writes.insert(id, write);
    }

    /// Removes the write of a request whose attempt has ended, and returns its outcome if it is known.
    pub(super) fn on_attempt_finished(
        &mut self,
        id: RequestId,
        outcome: AttemptOutcome,
    ) -> Option<SettledWrite> {
        let AbandonedWrite { write, number } = self.writes.remove(&id)?;
        let outcome = match outcome {
            AttemptOutcome::Ok => WriteOutcome::Executed,
            AttemptOutcome::Overloaded
            | AttemptOutcome::Misrouted
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::NotSent => WriteOutcome::NotExecuted,
            AttemptOutcome::Error
            | AttemptOutcome::Timeout
            | AttemptOutcome::Reset
            | AttemptOutcome::Cancelled => return None,
        };
        Some(SettledWrite { write, number, outcome })
    }
}
