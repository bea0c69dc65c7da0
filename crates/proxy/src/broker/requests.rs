//! The lifecycle of a request, from its arrival to its single final response.

use super::attempt_table::AttemptKey;
use super::endpoint_table::fnv1a;
use super::request_log::Disposition;
use super::request_table::OpenRequest;
use super::Broker;
use wharfplank_admin::ReplyStatus;
use wharfplank_protocol::pipeline::{FinalResponse, RequestNumber};
use wharfplank_protocol::request_comment::MAX_ID_BYTES;
use wharfplank_routing::{
    self as routing, AttemptOutcome, ClassId, GroupId, Micros, Request, RequestId, SessionKey,
};
use wharfplank_transport::member_pool::AttemptStage;
use wharfplank_transport::ClientRequest;

/// The safety margin before a request's deadline: the client measures its timeout from the time of its own
/// send.
const ANSWER_MARGIN: Micros = 5_000;

/// How attempts that have started are handled when their request is closed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StartedAttempts {
    /// They run to completion, so that the router learns from their outcome.
    Continue,
    /// They are cancelled.
    Cancel,
}

impl Broker {
    /// Handles a request that a client connection has read: responds at once if it is invalid, over budget or
    /// answered by the negative cache, and passes it to the router otherwise.
    pub(super) fn on_client_request(&mut self, received: ClientRequest) {
        // The client disconnected or cancelled the request while it was queued: no response is needed.
        if !received.response_writer.is_awaited(received.number) {
            return;
        }
        let Some(class) = self.class_id(&received.class) else {
            received
                .response_writer
                .respond(received.number, FinalResponse::Malformed("the class is not in the settings"));
            return;
        };
        // Members identify requests by their ids and would treat the second one as a duplicate of the first.
        if !self.requests.reserve_client_id(&received.id) {
            received.response_writer.respond(
                received.number,
                FinalResponse::Malformed("the id is in use by another open request"),
            );
            return;
        }
        let now = self.clock.now();
        let min_position_ms = received.min_position_ms;
        let request = self.router_request(now, class, &received);
        self.open_request(&request, received);
        self.admit(now, request, min_position_ms);
    }

    fn class_id(&self, name: &str) -> Option<ClassId> {
        self.parameters.class_names.iter().position(|known| known == name).map(ClassId)
    }

    /// Converts a received request to the router's representation.
    fn router_request(&mut self, now: Micros, class: ClassId, received: &ClientRequest) -> Request {
        let arrived_at = self.clock.to_micros(received.arrived_at);
        Request {
            id: request_id(received.number, &received.id),
            class,
            group: GroupId(received.group),
            session: received.session_key.as_ref().map(|key| SessionKey(fnv1a(key.as_bytes()))),
            // The timeout counts from the arrival of the last byte, including the time queued behind other
            // requests.
            deadline: arrived_at + (Micros::from(received.timeout_ms) * 1000 - ANSWER_MARGIN).max(1),
            may_have_run: self.sent_writes.contains(now, &received.id, received.number)
                || self.gossip.may_have_run(now, &received.id),
            last_write_age: received.min_position_ms.map(|ms| now - ms.saturating_mul(1000)),
        }
    }

    fn open_request(&mut self, request: &Request, received: ClientRequest) {
        let touched_key = self.negative_cache.lookup_for(
            request.class,
            request.group,
            received.session_key.as_deref(),
            &received.statement,
        );
        let open = OpenRequest {
            number: received.number,
            client_id: received.id,
            statement: received.statement,
            responses: received.response_writer,
            attempts: 0,
            class: request.class,
            group: request.group,
            session: request.session,
            touched_key,
            arrived_at: self.clock.to_micros(received.arrived_at),
            deadline: request.deadline,
            is_claimed: false,
            attempt_outcomes: Vec::new(),
        };
        self.requests.insert(request.id, open);
    }

    /// Passes an open request to the router, unless a budget denies it or the negative cache answers it.
    fn admit(&mut self, now: Micros, request: Request, min_position_ms: Option<i64>) {
        if self.is_over_budget(request.group) {
            return self.notify_router_at(now, routing::Event::RequestOverQuota(request));
        }
        if self.answer_from_negative_cache(request.id, now, min_position_ms) {
            return;
        }
        self.report_peer_sessions(now);
        // `last_write_age` is relative to `now`. A later time here would make the router require a position
        // some microseconds past the commit.
        self.notify_router_at(now, routing::Event::Request(request));
        // A request accepted after the shutdown has aborted the others must be answered too.
        if self.lifecycle.has_aborted_requests() {
            self.notify_router(routing::Event::Shutdown);
        }
    }

    /// Handles a cancellation by the client, whose connection has already responded: stops its attempts,
    /// except for started ones if the settings do not allow cancellation.
    pub(super) fn on_request_cancelled(&mut self, number: RequestNumber) {
        let Some(id) = self.requests.id_of(number) else { return };
        self.count_request_result(id, Disposition::Failed, "cancelled");
        self.settle_abandoned_write(id);
        let attempts = self.finish(id, &FinalResponse::Cancelled).map_or(0, |request| request.attempts);
        let started = match self.attempt_policy.may_cancel {
            true => StartedAttempts::Cancel,
            false => StartedAttempts::Continue,
        };
        self.stop_attempts(id, attempts, started);
        self.notify_router(routing::Event::ClientDisconnected(id));
    }

    /// Handles the disconnection of a client: its request needs no response any more.
    pub(super) fn on_client_disconnected(&mut self, number: RequestNumber) {
        let Some(id) = self.requests.id_of(number) else { return };
        self.settle_abandoned_write(id);
        let attempts = self.close(id).map_or(0, |request| request.attempts);
        self.stop_attempts(id, attempts, StartedAttempts::Continue);
        self.notify_router(routing::Event::ClientDisconnected(id));
    }

    /// Closes the request of a finished attempt if its client has disconnected. The event for the
    /// disconnection may still be queued; handling it now ensures that nothing more is sent or looked up for
    /// the request.
    pub(super) fn handle_client_disconnect(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if request.responses.is_disconnected() {
            self.on_client_disconnected(request.number);
        }
    }

    /// Closes a request whose attempt was not sent because its client has disconnected.
    pub(super) fn close_if_client_disconnected(&mut self, id: RequestId) {
        if self.requests.get(id).is_some_and(|request| request.responses.is_disconnected()) {
            self.close(id);
        }
    }

    /// Stops the attempts of a request that needs no response any more. Attempts that are queued for a
    /// connection are not started; `started` determines how the others are handled.
    fn stop_attempts(&mut self, id: RequestId, attempts: u32, started: StartedAttempts) {
        for number in 0..attempts {
            let key = AttemptKey::new(id, number);
            match self.attempts.stage(key) {
                Some(AttemptStage::Queued) => self.end_attempt(key, AttemptOutcome::NotSent),
                Some(AttemptStage::Writing | AttemptStage::Written) if started == StartedAttempts::Cancel => {
                    self.end_attempt(key, AttemptOutcome::Cancelled);
                }
                _ => {}
            }
        }
    }

    /// Removes a request from the tables without responding to it.
    fn close(&mut self, id: RequestId) -> Option<OpenRequest> {
        self.requests.remove(id)
    }

    /// Sends the final response to a request.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalResponse) {
        if let Some(request) = self.finish(id, &answer) {
            request.responses.respond(request.number, answer);
        }
    }

    /// Counts the final response to an open request, and removes the request from the tables.
    pub(super) fn finish(&mut self, id: RequestId, answer: &FinalResponse) -> Option<OpenRequest> {
        self.gossip.count_answer(self.clock.now(), answer);
        let request = self.close(id)?;
        let status = match answer {
            FinalResponse::Served(_) => ReplyStatus::Success,
            FinalResponse::Rejected { .. } => ReplyStatus::Overload,
            FinalResponse::Failed | FinalResponse::Cancelled | FinalResponse::Malformed(_) => {
                ReplyStatus::Error
            }
        };
        self.pools.metrics.record_reply(request.class.0, status);
        Some(request)
    }
}

/// The router's id of a request: the request number, which distinguishes equal ids of different clients,
/// followed by the client's id.
fn request_id(number: RequestNumber, client_id: &str) -> RequestId {
    const NUMBER_DIGITS: usize = 16;
    let mut bytes = [b'.'; 36];
    bytes[..NUMBER_DIGITS].copy_from_slice(format!("{:016x}", number.0).as_bytes());
    let client_id = &client_id.as_bytes()[..client_id.len().min(MAX_ID_BYTES)];
    bytes[NUMBER_DIGITS..NUMBER_DIGITS + client_id.len()].copy_from_slice(client_id);
    RequestId(bytes)
}
