//! The life of a request, from its arrival to its one final answer.

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

/// The client counts its wait from its own send: answers are due this much earlier here.
const ANSWER_MARGIN: Micros = 5_000;

/// What becomes of the attempts that have begun when their request is closed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BegunAttempts {
    /// They run to their end, whose outcome the router still learns from.
    Continue,
    /// They are cancelled.
    Cancel,
}

impl Broker {
    /// Takes a request that a client connection has read: answers it at once where it is invalid, over budget or
    /// known from the negative cache, and hands it to the router otherwise.
    pub(super) fn on_client_request(&mut self, received: ClientRequest) {
        // The client disconnected or cancelled before the request got here: it has its answer, or needs none.
        if !received.response_writer.is_awaited(received.number) {
            return;
        }
        let Some(class) = self.class_id(&received.class) else {
            received
                .response_writer
                .respond(received.number, FinalResponse::Malformed("the class is not in the settings"));
            return;
        };
        // Members tell requests apart by their ids: a second one would be taken for a copy of the first.
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

    /// The request as the router takes it.
    fn router_request(&self, now: Micros, class: ClassId, received: &ClientRequest) -> Request {
        let arrived_at = self.clock.to_micros(received.arrived_at);
        Request {
            id: request_id(received.number, &received.id),
            class,
            group: GroupId(received.group),
            session: received.session_key.as_ref().map(|key| SessionKey(fnv1a(key.as_bytes()))),
            // The wait runs from the request's last byte, however long it was queued behind others.
            deadline: arrived_at + (Micros::from(received.timeout_ms) * 1000 - ANSWER_MARGIN).max(1),
            may_have_run: self.gossip.may_have_run(now, &received.id),
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
            touched_key,
            arrived_at: self.clock.to_micros(received.arrived_at),
            attempt_outcomes: Vec::new(),
        };
        self.requests.insert(request.id, open);
    }

    /// Hands an open request to the router, unless a budget denies it or the negative cache settles it.
    fn admit(&mut self, now: Micros, request: Request, min_position_ms: Option<i64>) {
        if self.is_over_budget(request.group) {
            return self.notify_router_at(now, routing::Event::RequestOverQuota(request));
        }
        if self.answer_from_negative_cache(request.id, now, min_position_ms) {
            return;
        }
        self.note_sessions_of_peer(now);
        // The age of the session's write counts from the very time that the router takes the request at:
        // a later one would ask for a position some microseconds past the commit.
        self.notify_router_at(now, routing::Event::Request(request));
        // A request taken after shutdown has given up the others is answered all the same.
        if self.lifecycle.has_given_up() {
            self.notify_router(routing::Event::Shutdown);
        }
    }

    /// A client cancelled a request, which its connection has answered: none of its attempts continues.
    pub(super) fn on_request_cancelled(&mut self, number: RequestNumber) {
        let Some(id) = self.requests.id_of(number) else { return };
        self.count_request(id, Disposition::Failed, "cancelled");
        let attempts = self.finish(id, &FinalResponse::Cancelled).map_or(0, |request| request.attempts);
        let begun = match self.attempt_policy.may_cancel {
            true => BegunAttempts::Cancel,
            false => BegunAttempts::Continue,
        };
        self.withdraw_attempts(id, attempts, begun);
        self.notify_router(routing::Event::ClientDisconnected(id));
    }

    /// A client disconnected: its request needs no answer any more.
    pub(super) fn on_client_disconnected(&mut self, number: RequestNumber) {
        let Some(id) = self.requests.id_of(number) else { return };
        self.note_abandoned_write(id);
        let attempts = self.close(id).map_or(0, |request| request.attempts);
        self.withdraw_attempts(id, attempts, BegunAttempts::Continue);
        self.notify_router(routing::Event::ClientDisconnected(id));
    }

    /// Reports to gossip a request whose client disconnected while its last attempt was in flight: it may still run.
    fn note_abandoned_write(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let last_attempt = AttemptKey::new(id, request.attempts.saturating_sub(1));
        if self.attempts.contains(last_attempt) || self.streaming.contains(last_attempt) {
            self.gossip.on_request_abandoned(self.clock.now(), id, request.class, &request.client_id);
        }
    }

    /// Called when an attempt has ended. Where its client has disconnected and the event that says so is still queued,
    /// that event is handled first, so that nothing more is sent or looked up.
    pub(super) fn notice_client_left(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if request.responses.is_disconnected() {
            self.on_client_disconnected(request.number);
        }
    }

    /// Closes a request whose attempt was not sent since its client has disconnected.
    pub(super) fn close_if_client_left(&mut self, id: RequestId) {
        if self.requests.get(id).is_some_and(|request| request.responses.is_disconnected()) {
            self.close(id);
        }
    }

    /// Ends the attempts of a request that needs no answer any more. One that is queued for a connection never begins;
    /// `begun` says what becomes of the others.
    fn withdraw_attempts(&mut self, id: RequestId, attempts: u32, begun: BegunAttempts) {
        for number in 0..attempts {
            let key = AttemptKey::new(id, number);
            match self.attempts.stage(key) {
                Some(AttemptStage::Queued) => self.end_attempt(key, AttemptOutcome::NotSent),
                Some(AttemptStage::Writing | AttemptStage::Written) if begun == BegunAttempts::Cancel => {
                    self.end_attempt(key, AttemptOutcome::Cancelled);
                }
                _ => {}
            }
        }
    }

    /// Removes a request from the tables without an answer.
    fn close(&mut self, id: RequestId) -> Option<OpenRequest> {
        self.requests.remove(id)
    }

    /// Gives a request its one final answer.
    pub(super) fn answer(&mut self, id: RequestId, answer: FinalResponse) {
        if let Some(request) = self.finish(id, &answer) {
            request.responses.respond(request.number, answer);
        }
    }

    /// Counts the one final answer of an open request, and removes the request from the tables.
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

/// The router's id of a request: the request number, which keeps equal ids of several clients apart, and the client's
/// id.
fn request_id(number: RequestNumber, client_id: &str) -> RequestId {
    const NUMBER_DIGITS: usize = 16;
    let mut bytes = [b'.'; 36];
    bytes[..NUMBER_DIGITS].copy_from_slice(format!("{:016x}", number.0).as_bytes());
    let client_id = &client_id.as_bytes()[..client_id.len().min(MAX_ID_BYTES)];
    bytes[NUMBER_DIGITS..NUMBER_DIGITS + client_id.len()].copy_from_slice(client_id);
    RequestId(bytes)
}
