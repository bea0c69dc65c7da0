//! Claims of writes: the serving thread's wait for a decision, and the worker's replies.

use super::driver::Driver;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use std::collections::HashMap;
use std::time::Duration;
use wharfplank_routing::Micros;
use wharfplank_shared_state::{ClaimDecision, CLAIM_TIMEOUT};

/// The time after which a decision of the worker is not waited for any more. The worker decides within
/// [`CLAIM_TIMEOUT`] unless it is stalled.
const MAX_DECISION_TIME: Duration = Duration::from_micros(3 * CLAIM_TIMEOUT as u64 / 2);

/// A claim or a release that the worker has been asked for.
#[derive(Clone, Debug)]
pub(super) struct ClaimRequest {
    pub(super) at: Micros,
    pub(super) write: u64,
    /// The number of the request that claims the write.
    pub(super) request: u64,
    pub(super) reply: Sender<ClaimDecision>,
}

/// A claim or a release whose decision is awaited.
pub struct PendingClaim {
    pub(super) decision: Receiver<ClaimDecision>,
}

impl PendingClaim {
    /// Creates a request to the worker and the wait for its decision.
    pub(super) fn request(at: Micros, write: u64, request: u64) -> (ClaimRequest, PendingClaim) {
        let (reply, decision) = async_channel::bounded(1);
        (ClaimRequest { at, write, request, reply }, PendingClaim { decision })
    }

    /// Waits for the decision. It is unavailable if the worker has ended, dropped the request or does not
    /// decide in time.
    pub async fn decision(self) -> ClaimDecision {
        let decision = async { self.decision.recv().await.unwrap_or(ClaimDecision::Unavailable) };
        let timeout = async {
            Timer::after(MAX_DECISION_TIME).await;
            ClaimDecision::Unavailable
        };
        future::or(decision, timeout).await
    }
}

/// The replies that the worker owes, by the number of the request: one for each pending claim.
#[derive(Default)]
pub(super) struct ClaimReplies {
    replies: HashMap<u64, Sender<ClaimDecision>>,
}

impl Driver {
    /// Passes a claim to the shared state.
    pub(super) fn claim_write(&mut self, claim: ClaimRequest) {
        let Some(shared_state) = &mut self.worker.shared_state else { return };
        shared_state.claim_write(claim.at + self.worker.clock_offset, claim.write, claim.request);
        self.claim_replies.replies.insert(claim.request, claim.reply);
    }

    /// Passes the release of a claim to the shared state.
    pub(super) fn release_write(&mut self, claim: ClaimRequest) {
        let Some(shared_state) = &mut self.worker.shared_state else { return };
        shared_state.release_write(claim.at + self.worker.clock_offset, claim.write, claim.request);
        self.claim_replies.replies.insert(claim.request, claim.reply);
    }

    /// Replies to the claims that have been decided.
    pub(super) fn reply_to_claims(&mut self) {
        let Some(shared_state) = &mut self.worker.shared_state else { return };
        for (request, decision) in shared_state.take_claim_decisions() {
            if let Some(reply) = self.claim_replies.replies.remove(&request) {
                // The request may not be waiting any more.
                let _ = reply.try_send(decision);
            }
        }
    }
}
