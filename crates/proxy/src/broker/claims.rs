//! Claims of writes that must not be executed twice: a write is claimed from the other proxies before it is
//! sent, and released if it was not executed.

use super::attempt_table::AttemptKey;
use super::Broker;
use async_io::Timer;
use futures_lite::future;
use wharfplank_protocol::pipeline::FinalResponse;
use wharfplank_routing::{AttemptOutcome, Micros, RejectReason, RequestId};
use wharfplank_shared_state::ClaimDecision;
use wharfplank_transport::gossip::PendingClaim;
use wharfplank_transport::member_pool::AttemptStage;

/// The Retry-After span of a write that could not be claimed. Peers that have ended leave the membership
/// within a few times this span.
const CLAIM_RETRY_AFTER: Micros = 500_000;

impl Broker {
    /// Records the write of a request that is about to be sent, and claims it from the other proxies; returns
    /// `None` if it needs no claim.
    pub(super) fn claim_write(&mut self, now: Micros, id: RequestId) -> Option<PendingClaim> {
        let request = self.requests.get_mut(id)?;
        self.sent_writes.insert(now, request.class, &request.client_id, request.number);
        let claim = self.gossip.claim_write(now, request.class, &request.client_id, request.number)?;
        request.is_claimed = true;
        Some(claim)
    }

    /// Handles an attempt that was not sent because the claim of its write was not granted. A write that may
    /// have been sent by another proxy fails. One of which that is not known is rejected.
    pub(super) fn on_claim_refused(&mut self, key: AttemptKey, decision: ClaimDecision) {
        if !self.attempts.contains(key) {
            return;
        }
        // The worker releases a claim that it does not grant.
        if let Some(request) = self.requests.get_mut(key.request) {
            request.is_claimed = false;
        }
        if decision == ClaimDecision::Denied {
            self.fail(key.request, RejectReason::MayHaveRun);
        } else {
            let retry_after = CLAIM_RETRY_AFTER.min(self.attempt_policy.max_retry_after);
            self.reject(key.request, retry_after, RejectReason::ClaimUnavailable);
        }
        self.end_attempt(key, AttemptOutcome::NotSent);
        self.report_finished_attempts();
    }

    /// Handles the write of a request whose client does not wait for the response any more. If its last
    /// attempt has been sent, the write may still be executed; otherwise it was not, and is released.
    pub(super) fn settle_abandoned_write(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let now = self.clock.now();
        let last_attempt = AttemptKey::new(id, request.attempts.saturating_sub(1));
        // A queued attempt is not sent any more.
        let is_in_flight =
            self.attempts.stage(last_attempt).is_some_and(|stage| stage != AttemptStage::Queued);
        if is_in_flight || self.streaming.contains(last_attempt) {
            self.gossip.on_request_abandoned(now, request.class, &request.client_id);
            return;
        }
        self.sent_writes.remove(&request.client_id, request.number);
        if request.is_claimed {
            self.gossip.release_write(now, &request.client_id, request.number);
        }
    }

    /// Sends a rejection. A claimed write is released first, so that the client can send it to another proxy
    /// at once; the wait for that ends by the deadline of the request.
    pub(super) fn answer_rejected(&mut self, id: RequestId, answer: FinalResponse) {
        let now = self.clock.now();
        let Some(request) = self.finish(id, &answer) else { return };
        self.sent_writes.remove(&request.client_id, request.number);
        let release = match request.is_claimed {
            true => self.gossip.release_write(now, &request.client_id, request.number),
            false => None,
        };
        match release {
            Some(release) if !self.lifecycle.is_shutting_down() => {
                let deadline = self.clock.to_instant(request.deadline);
                let respond_when_released = async move {
                    let timeout = async {
                        Timer::at(deadline).await;
                        ClaimDecision::Unavailable
                    };
                    future::or(release.decision(), timeout).await;
                    request.responses.respond(request.number, answer);
                };
                self.pools.executor.spawn(respond_when_released).detach();
            }
            _ => request.responses.respond(request.number, answer),
        }
    }
}
