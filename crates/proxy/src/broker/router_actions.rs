//! Delivers events to the router and executes the actions that it returns.

use super::attempt_table::{AttemptKey, FinishedAttempt};
use super::request_log::Disposition;
use super::Broker;
use crate::activity_counts;
use crate::recording::record_reason;
use wharfplank_protocol::pipeline::FinalResponse;
use wharfplank_routing::{self as routing, Action, AttemptOutcome, Micros, RequestId};
use wharfplank_transport::member_pool::AttemptReport;

impl Broker {
    /// Delivers an event to the router, executes its actions, and reports the attempts that these end
    /// immediately.
    pub(super) fn notify_router(&mut self, event: routing::Event) {
        self.notify_router_at(self.clock.now(), event);
    }

    /// Like [`Broker::notify_router`], for an event observed at `now`.
    pub(super) fn notify_router_at(&mut self, now: Micros, event: routing::Event) {
        self.route(now, event);
        self.report_finished_attempts();
    }

    /// Delivers one event and executes its actions. Resulting outcomes stay queued.
    pub(super) fn route(&mut self, now: Micros, event: routing::Event) {
        let mut actions = Vec::new();
        self.update_retry_permission(now, &mut actions);
        self.router.handle(now, event, &mut actions);
        self.perform(now, actions);
    }

    /// Reports the queued outcomes to the router until none is left, including those that the reports
    /// produce.
    pub(super) fn report_finished_attempts(&mut self) {
        while let Some(finished) = self.attempts.pop_finished() {
            self.report_finished_attempt(&finished);
            self.report_denied_health_checks();
        }
        self.report_denied_health_checks();
    }

    fn report_finished_attempt(&mut self, finished: &FinishedAttempt) {
        let FinishedAttempt { key, host, sent_at, outcome } = *finished;
        self.store_attempt_outcome(key.request, host, outcome);
        self.gossip.report_reachability(host, sent_at, outcome);
        self.close_if_client_disconnected(key.request);
        let result = self.attempt_result(key, host, sent_at, &AttemptReport::without_response(outcome));
        self.route(self.clock.now(), routing::Event::AttemptFinished(result));
    }

    /// Executes the actions that the router ordered at `now`.
    pub(super) fn perform(&mut self, now: Micros, actions: Vec<Action>) {
        for action in actions {
            self.perform_action(now, action);
        }
    }

    fn perform_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { id, host, timeout, send_deadline } => {
                self.send_attempt(now, id, host, timeout, send_deadline);
            }
            Action::Reject { id, retry_after, reason } => self.reject(id, retry_after, reason),
            Action::Fail { id, reason } => self.fail(id, reason),
            Action::Cancel { id, attempt } => {
                self.end_attempt(AttemptKey::new(id, attempt.0), AttemptOutcome::Cancelled);
            }
            Action::Probe { host, purpose } => {
                self.counts.increment("probe", activity_counts::probe_purpose_name(purpose), "");
                self.start_health_check(host);
            }
            Action::SetTimer(delay) => self.timers.schedule_router_timer(self.clock.now() + delay),
            // The discovery watch is always running.
            Action::Subscribe => {}
        }
    }

    /// Rejects a request that the router sheds. The retry delay is rounded up to whole milliseconds.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Micros, reason: routing::RejectReason) {
        self.count_request_result(id, Disposition::Rejected, record_reason(reason).name());
        self.record_request(id, |recorder, request| recorder.record_rejected(request, reason));
        self.answer_rejected(id, FinalResponse::Rejected { retry_after_ms: (retry_after + 999) / 1000 });
    }

    /// Fails a request that the router cannot serve.
    pub(super) fn fail(&mut self, id: RequestId, reason: routing::RejectReason) {
        if let Some(request) = self.requests.get(id) {
            self.gossip.on_request_failed(
                self.clock.now(),
                request.class,
                request.attempts,
                &request.client_id,
            );
        }
        self.count_request_result(id, Disposition::Failed, record_reason(reason).name());
        self.record_request(id, |recorder, request| recorder.record_failed(request, reason));
        self.answer(id, FinalResponse::Failed);
    }
}
