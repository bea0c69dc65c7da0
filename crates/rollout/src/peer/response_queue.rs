//! Permit responses that wait until the ledger revision on which they depend is on disk.

use crate::PermitResponse;
use std::collections::VecDeque;

/// The maximum number of waiting responses. Beyond that the oldest is dropped, and its controller sends
/// the request again.
const MAX_RESPONSES: usize = 64;

/// A response that waits for the ledger.
#[derive(Clone, Debug)]
pub(super) struct QueuedResponse {
    /// The ledger revision on which the response depends.
    pub(super) ledger_revision: u64,
    /// The rank of the proxy to which the response is sent.
    pub(super) destination: u64,
    pub(super) response: PermitResponse,
}

/// A bounded queue of responses, ordered by ledger revision.
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

    /// Removes and returns the next response if the ledger revision on which it depends is durable.
    pub(super) fn pop_durable(&mut self, durable_revision: u64) -> Option<QueuedResponse> {
        self.responses.pop_front_if(|queued| queued.ledger_revision <= durable_revision)
    }
}
