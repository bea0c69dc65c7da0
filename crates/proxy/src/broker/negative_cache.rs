//! The negative cache in the request path: answers reads of missing keys, and rejects writes without a lease.

use super::request_log::Disposition;
use super::Broker;
use wharfplank_protocol::member_response::MemberResponse;
use wharfplank_protocol::pipeline::FinalResponse;
use wharfplank_routing::{Micros, RequestId};

/// The Retry-After of a write that was rejected for lack of a lease, in milliseconds. A lease server that
/// does not answer within this time is down.
const LEASE_RETRY_AFTER_MS: i64 = 500;

impl Broker {
    /// Answers a newly opened request if the negative cache has the answer to a read or holds no lease for a
    /// write. Returns whether the request has been answered.
    pub(super) fn answer_from_negative_cache(
        &mut self,
        id: RequestId,
        now: Micros,
        min_position_ms: Option<i64>,
    ) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let class = request.class;
        let key = request.touched_key.as_ref();
        let cached = key.and_then(|key| self.negative_cache.answer(now, class, key, min_position_ms));
        if let Some(messages) = cached {
            self.count_request_result(id, Disposition::Served, "missing");
            self.record_request(id, |recorder, request| recorder.record_served(request));
            self.answer(id, FinalResponse::Served(messages));
            return true;
        }
        if self.negative_cache.may_send(now, class) {
            return false;
        }
        self.count_request_result(id, Disposition::Rejected, "no_leave");
        self.answer(id, FinalResponse::Rejected { retry_after_ms: LEASE_RETRY_AFTER_MS });
        true
    }

    /// Updates the cache with a member's complete response to a read of a key. `position_at_send` is the
    /// newest known log position of the member at the time of sending.
    pub(super) fn update_negative_cache(
        &self,
        id: RequestId,
        position_at_send: Option<Micros>,
        answer: &MemberResponse,
    ) {
        let Some(request) = self.requests.get(id) else { return };
        let Some(key) = &request.touched_key else { return };
        self.negative_cache.on_read_answered(self.clock.now(), request.class, key, position_at_send, answer);
    }
}
