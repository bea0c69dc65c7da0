//! Permit responses that wait until the ledger that they depend on is on disk.

use crate::PermitResponse;
use std::collections::VecDeque;

/// The number of responses that may wait; past that the oldest is dropped, and its controller requests again.
const MAX_RESPONSES: usize = 64;

/// A response that waits.
#[derive(Clone, Debug)]
pub(super) struct QueuedResponse {
    /// The ledger's revision that the response depends on.
    pub(super) ledger_revision: u64,
    /// The rank of the proxy that it goes to.
    pub(super) destination: u64,
    pub(super) response: PermitResponse,
}

/// A bounded queue of responses, in the order of the ledger's revisions.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseQueue {
    responses: VecDeque<QueuedResponse>,
}

impl ResponseQueue {
    pub(super) fn push(&mut self, response: QueuedResponse) {
        if self.responses.len() >= MAX_RESPONSES {
            self.responses.pop_front();
        }
        self.responses.push_back(response);
    }

    /// Takes the next response that depends on nothing later than this revision.
    pub(super) fn pop_durable(&mut self, durable_revision: u64) -> Option<QueuedResponse> {
        self.responses.pop_front_if(|queued| queued.ledger_revision <= durable_revision)
    }
}
