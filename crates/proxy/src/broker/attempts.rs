//! The lifecycle of an attempt: sending it, ending it locally, and handling the driver's report.

use super::attempt_table::{AttemptKey, FinishedAttempt, InFlightAttempt};
use super::health_checks::role;
use super::{Broker, MAX_POSITION_AHEAD};
use crate::activity_counts;
use crate::config::SEND_MARGIN;
use std::cell::Cell;
use std::rc::Rc;
use wharfplank_protocol::member_response::StatedState;
use wharfplank_protocol::pipeline::FinalResponse;
use wharfplank_routing::{
    self as routing, AttemptNo, AttemptOutcome, AttemptResult, HostId, Micros, RequestId,
};
use wharfplank_shared_state::ClaimDecision;
use wharfplank_transport::member_pool::{
    AttemptCompletion, AttemptLimits, AttemptReport, AttemptStage, MemberPool,
};
use wharfplank_transport::ProxyEvent;

/// The time before the end of [`SEND_MARGIN`] by which the last byte of a request must be written.
const WRITE_MARGIN: Micros = 500;

impl Broker {
    /// Sends an attempt that the router ordered at `now`, the time from which all its limits count. An
    /// attempt that may no longer be sent is reported as not sent.
    pub(super) fn send_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        host: HostId,
        timeout: Micros,
        send_deadline: Option<Micros>,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let key = AttemptKey::new(id, request.attempts);
        request.attempts += 1;
        let Some(member) = self.sendable_member(key, host) else {
            return self.report_not_sent(now, key, host);
        };
        let Some(request) = self.requests.get(id) else { return };
        let write =
            self.negative_cache.begin_attempt(now, key.into(), request.class, request.touched_key.as_ref());
        let Ok(write_until) = write else {
            return self.report_not_sent(now, key, host);
        };
        let bound = send_deadline.map(|until| until + SEND_MARGIN - WRITE_MARGIN);
        let last_byte = bound.into_iter().chain(write_until).min();
        let limits = AttemptLimits {
            deadline: self.clock.to_instant(now.saturating_add(timeout)),
            send_by: last_byte.map(|until| self.clock.to_instant(until)),
        };
        self.spawn_attempt(now, key, host, &member, limits);
    }

    /// Returns the member to which an attempt may be sent. Returns `None` if the request has reached its
    /// maximum number of attempts, a budget denies the retry, the client has disconnected, or the member has
    /// no connection pool.
    fn sendable_member(&self, key: AttemptKey, host: HostId) -> Option<Rc<MemberPool>> {
        let request = self.requests.get(key.request)?;
        let is_retry = key.number > 0;
        // A retry is charged to the budget even if it is then not sent for another reason.
        let is_denied =
            is_retry && self.pools.budgets.as_ref().is_some_and(|budgets| !budgets.try_spend_retry());
        let may_send = key.number < self.attempt_policy.max_attempts
            && !is_denied
            && request.responses.is_awaited(request.number);
        self.endpoints.members.get(&host).filter(|_| may_send).cloned()
    }

    fn report_not_sent(&mut self, now: Micros, key: AttemptKey, host: HostId) {
        self.attempts.push_finished(FinishedAttempt {
            key,
            host,
            sent_at: now,
            outcome: AttemptOutcome::NotSent,
        });
    }

    /// Spawns the task that runs an attempt and sends events when it, and its response stream if any, have
    /// ended.
    fn spawn_attempt(
        &mut self,
        now: Micros,
        key: AttemptKey,
        host: HostId,
        member: &Rc<MemberPool>,
        limits: AttemptLimits,
    ) {
        let claim = self.claim_write(now, key.request);
        let Some(request) = self.requests.get(key.request) else { return };
        let stage: Rc<Cell<AttemptStage>> = Rc::default();
        let responses = Rc::clone(&request.responses);
        let number = request.number;
        let is_awaited = move || responses.is_awaited_now(number);
        let work =
            Rc::clone(member).attempt(Rc::clone(&request.statement), Rc::clone(&stage), limits, is_awaited);
        let events = self.events.clone();
        let task_stage = Rc::clone(&stage);
        let AttemptKey { request: id, number: attempt } = key;
        let task = self.pools.executor.spawn(async move {
            if let Some(claim) = claim {
                let decision = claim.decision().await;
                if decision != ClaimDecision::Granted {
                    let _ = events.send(ProxyEvent::ClaimRefused { id, attempt, decision }).await;
                    return;
                }
            }
            let AttemptCompletion { report, forwarder } = work.await;
            task_stage.set(AttemptStage::Finished);
            let _ = events.send(ProxyEvent::AttemptFinished { id, attempt, report }).await;
            if let Some(forwarder) = forwarder {
                let report = forwarder.forward().await;
                let _ = events.send(ProxyEvent::StreamFinished { id, attempt, report }).await;
            }
        });
        let (class, session) = (request.class, request.session);
        let position_at_send = self.negative_cache.position(host);
        let attempt = InFlightAttempt { host, class, session, sent_at: now, position_at_send, stage, task };
        self.attempts.insert(key, attempt);
    }

    /// Ends an attempt locally by closing its connection. An attempt whose report is already queued
    /// continues, since its response has arrived. An attempt that was not completely written has not been
    /// executed.
    pub(super) fn end_attempt(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        let outcome = match self.attempts.stage(key) {
            Some(AttemptStage::Finished) => return,
            Some(AttemptStage::Queued | AttemptStage::Writing) => AttemptOutcome::NotSent,
            _ => outcome,
        };
        let Some(attempt) = self.attempts.remove(key) else { return };
        drop(attempt.task);
        self.counts.increment("attempt", activity_counts::outcome_name(outcome), "");
        self.report_attempt_end(key, outcome);
        self.attempts.push_finished(FinishedAttempt {
            key,
            host: attempt.host,
            sent_at: attempt.sent_at,
            outcome,
        });
    }

    /// Reports the outcome of an attempt to the negative cache: a write may now be settled or in doubt.
    pub(super) fn report_attempt_end(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        self.negative_cache.on_attempt_finished(self.clock.now(), key.into(), outcome);
    }

    /// Handles the driver's report of an attempt: a complete response, the start of a streamed one, or a
    /// failure.
    pub(super) fn on_attempt_report(&mut self, key: AttemptKey, report: AttemptReport) {
        if report.stream.is_some() {
            self.on_stream_started(key, report);
        } else {
            self.on_attempt_finished(key, report);
        }
    }

    fn on_attempt_finished(&mut self, key: AttemptKey, mut report: AttemptReport) {
        self.handle_client_disconnect(key.request);
        let Some(attempt) = self.attempts.remove(key) else { return };
        let outcome = report.outcome;
        self.report_attempt_end(key, outcome);
        self.report_attempt_latency(key.request, &attempt, outcome);
        if outcome == AttemptOutcome::Ok {
            self.serve_answer(key.request, &attempt, &mut report);
        }
        self.counts.increment("attempt", activity_counts::outcome_name(outcome), "");
        self.store_attempt_outcome(key.request, attempt.host, outcome);
        self.gossip.report_reachability(attempt.host, attempt.sent_at, outcome);
        let result = self.attempt_result(key, attempt.host, attempt.sent_at, &report);
        self.report_position(attempt.host, result.position);
        self.notify_router(routing::Event::AttemptFinished(result));
    }

    /// Reports an attempt's latency and outcome to the fleet's health evaluation and the rollout service.
    fn report_attempt_latency(&mut self, id: RequestId, attempt: &InFlightAttempt, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get(id) else { return };
        let now = self.clock.now();
        self.gossip.report_attempt_health(now, attempt.host, request.class, attempt.sent_at, outcome);
        self.rollout.on_attempt_finished(attempt.host, request.class, now - attempt.sent_at, outcome);
    }

    /// Responds to a request with the complete response of a member.
    fn serve_answer(&mut self, id: RequestId, attempt: &InFlightAttempt, report: &mut AttemptReport) {
        let Some(answer) = &mut report.response else { return };
        self.update_negative_cache(id, attempt.position_at_send, answer);
        self.record_served(id, attempt.host, answer.stated.primary);
        self.answer(id, FinalResponse::Served(std::mem::take(&mut answer.messages)));
    }

    /// Converts an attempt's report to the router's representation.
    pub(super) fn attempt_result(
        &self,
        key: AttemptKey,
        host: HostId,
        sent_at: Micros,
        report: &AttemptReport,
    ) -> AttemptResult {
        AttemptResult {
            id: key.request,
            attempt: AttemptNo(key.number),
            host,
            outcome: report.outcome,
            terminal: !self.requests.contains(key.request),
            latency: self.clock.now() - sent_at,
            role: report.stated.primary.map(role),
            position: self.stated_position(report.stated),
        }
    }

    /// Returns the position that a member stated, unless it is ahead of the clock.
    pub(super) fn stated_position(&self, stated: StatedState) -> Option<Micros> {
        let position = stated.applied_ms?.saturating_mul(1000);
        let valid_positions = 1..=self.clock.now() + MAX_POSITION_AHEAD;
        valid_positions.contains(&position).then_some(position)
    }

    /// Reports the position that a member stated in an answer to the components beside the router.
    pub(super) fn report_position(&mut self, host: HostId, position: Option<Micros>) {
        self.gossip.report_position(self.clock.now(), host, position);
        self.negative_cache.on_position(host, position);
    }
}
