//! Writes whose clients disconnected while an attempt was in flight.

use std::collections::HashMap;
use wharfplank_routing::{AttemptOutcome, RequestId};
use wharfplank_shared_state::WriteOutcome;

/// The outcome of a write that was in doubt.
pub(super) struct SettledWrite {
    /// The hash of the request id that the client assigned.
    pub(super) write: u64,
    pub(super) outcome: WriteOutcome,
}

/// The abandoned writes whose attempts are in flight; bounded by the number of attempts.
#[derive(Default)]
pub(super) struct AbandonedWrites {
    writes: HashMap<RequestId, u64>,
}

impl AbandonedWrites {
    pub(super) fn insert(&mut self, id: RequestId, write: u64) {
        self.writes.insert(id, write);
    }

    /// Removes the write of a request whose attempt has ended, and returns its outcome if it is known.
    pub(super) fn on_attempt_finished(
        &mut self,
        id: RequestId,
        outcome: AttemptOutcome,
    ) -> Option<SettledWrite> {
        let write = self.writes.remove(&id)?;
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
        Some(SettledWrite { write, outcome })
    }
}
