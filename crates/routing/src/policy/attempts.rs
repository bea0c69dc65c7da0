//! Evaluates the result of an attempt, and continues or ends its request.

use super::member::AttemptInFlight;
use super::outliers::{FaultKind, CONNECT_FAILED_SCORE, OVERLOADED_SCORE, RESET_SCORE};
use super::probes::OVERLOADED_PRESSURE;
use super::{AttemptOutcome, AttemptResult, Consistency, GroupId, HostId, Role, Router, StreamedState};

/// The weight of one answer in the typical latency of its class.
const TYPICAL_LATENCY_WEIGHT: f64 = 0.02;
/// The minimum typical latency, in µs.
pub(super) const MIN_TYPICAL_LATENCY: f64 = 1e3;
/// The maximum of a relative latency, also used for rejections for overload.
const MAX_RELATIVE_LATENCY: f64 = 8.0;
/// The load pressure shown by an attempt without an answer, in latency objectives. Not all missing answers
/// are due to load.
const LOST_PRESSURE: f64 = 0.7;

/// An attempt that has just ended, with the values that the evaluation steps share. They are computed before
/// the first step.
struct FinishedAttempt<'a> {
    result: &'a AttemptResult,
    attempt: AttemptInFlight,
    group: GroupId,
    /// The member's role as the router knew it.
    role: Role,
    is_write: bool,
    /// Whether the latency is meaningful. It is not if the router stalled after the send.
    is_timed: bool,
    typical_latency: f64,
    /// The latency as a fraction of the class's latency objective.
    objective_fraction: f64,
    /// The latency as a multiple of the class's typical one.
    relative_latency: f64,
    /// The number of the group's answers within the last second.
    group_answers: f64,
    /// The fraction of the demand for the member's role that is admitted.
    admitted_fraction: f64,
}

impl FinishedAttempt<'_> {
    fn host(&self) -> HostId {
        self.result.host
    }

    fn is_served(&self) -> bool {
        self.result.outcome == AttemptOutcome::Ok
    }

    /// Whether a member rejected a write because it is not the primary. The member is not tried again in this
    /// round of the search, but the rejection does not count as a failure of the request there.
    fn is_misrouted_write(&self) -> bool {
        self.is_write && self.result.outcome == AttemptOutcome::Misrouted
    }

    /// The load pressure that the attempt shows, in latency objectives; `None` if it shows none.
    fn load_pressure(&self) -> Option<f64> {
        match self.result.outcome {
            AttemptOutcome::Ok if self.is_timed => Some(self.objective_fraction),
            AttemptOutcome::Timeout | AttemptOutcome::Cancelled if self.is_timed => Some(LOST_PRESSURE),
            AttemptOutcome::Overloaded => Some(OVERLOADED_PRESSURE),
            _ => None,
        }
    }

    fn fault_kind(&self) -> FaultKind {
        match self.result.outcome {
            AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => FaultKind::Connection,
            _ => FaultKind::Silence,
        }
    }
}

impl Router {
    /// Handles the end of an attempt.
    pub(super) fn on_attempt_finished(&mut self, result: &AttemptResult) {
        let Some(finished) = self.take_finished(result) else { return };
        self.record_role_and_position(&finished);
        self.record_faults(&finished);
        self.record_load(&finished);
        self.record_answer(&finished);
        self.record_primary_search(&finished);
        self.record_session_write(&finished.attempt, finished.result);
        self.evaluate_suspicion(finished.host(), finished.fault_kind());
        self.continue_request(&finished);
        self.dispatch_queued(finished.group);
    }

    /// Records what a member stated in an answer that was streamed. The transfer may take long, and the
    /// member may have stated its role at any time during it.
    pub(super) fn on_stream_finished(&mut self, state: &StreamedState) {
        let now = self.now;
        self.member_clock.observe(state.position, now);
        let is_write = self.settings.classes[state.class.0].consistency == Consistency::Write;
        let Some(member) = self.members.get_mut(&state.host) else { return };
        // Newer evidence that the member is a replica outweighs what it stated as a primary before, while
        // evidence that it is a replica counts from now on.
        let role_at = if state.role == Some(Role::Primary) { state.started_at } else { now };
        member.roles.observe(state.role, role_at);
        let position = match state.role {
            Some(Role::Primary) if !is_write => Some(state.sent_at),
            _ => state.position,
        };
        if let Some(position) = position {
            member.position.raise_to(position, now);
        }
        let group = member.group;
        let session = self.remembered_session(state.class, state.session);
        if let Some((session, commit)) = session.zip(state.position) {
            self.session_writes.record_commit(session, commit);
        }
        self.dispatch_queued(group);
    }

    /// Removes the attempt from those in flight; `None` if it is not one of them.
    fn take_finished<'a>(&mut self, result: &'a AttemptResult) -> Option<FinishedAttempt<'a>> {
        let group = self.members.get(&result.host)?.group;
        let role = self.role_of(result.host, group);
        let group_answers = self.group_answers(group);
        let admitted_fraction = (-self.groups.get(&group)?.shed_level(role, self.now)).exp();
        let member = self.members.get_mut(&result.host)?;
        let attempt = member.take_in_flight(result.id, result.attempt)?;
        let class = &self.settings.classes[attempt.class.0];
        let typical_latency = self.typical_latency[attempt.class.0];
        let latency = result.latency as f64;
        Some(FinishedAttempt {
            result,
            group,
            role,
            is_write: class.consistency == Consistency::Write,
            is_timed: attempt.sent_at >= self.resumed_at,
            typical_latency,
            objective_fraction: latency / class.latency_objective.max(1) as f64,
            relative_latency: match result.outcome {
                AttemptOutcome::Overloaded => MAX_RELATIVE_LATENCY,
                _ => (latency / typical_latency).min(MAX_RELATIVE_LATENCY),
            },
            group_answers,
            admitted_fraction,
            attempt,
        })
    }

    fn record_role_and_position(&mut self, finished: &FinishedAttempt) {
        let (now, result) = (self.now, finished.result);
        self.member_clock.observe(result.position, now);
        let Some(member) = self.members.get_mut(&finished.host()) else { return };
        member.roles.observe(result.role, now);
        if result.role == Some(Role::Replica) || (finished.is_write && finished.is_served()) {
            member.position.observe(result.position, now);
        } else if result.role == Some(Role::Primary) {
            // The member answered as primary at some time after the send, so its position is at least the
            // send time.
            member.position.observe(Some(finished.attempt.sent_at), now);
        }
    }

    fn record_faults(&mut self, finished: &FinishedAttempt) {
        let (now, resumed_at) = (self.now, self.resumed_at);
        let Some(member) = self.members.get_mut(&finished.host()) else { return };
        match finished.result.outcome {
            AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Misrouted => {
                if member.faults.clear(now) {
                    member.latency.reset();
                }
            }
            // Only the time without any answer counts: an attempt that timed out while others were answered
            // was just slow. Under load shedding, when answers are late at all members, a timeout says little
            // about this one and counts less.
            AttemptOutcome::Timeout => {
                let silence = member.faults.silence(&finished.attempt, now, resumed_at);
                member.faults.add(silence / finished.typical_latency * finished.admitted_fraction);
            }
            AttemptOutcome::Overloaded => member.faults.add(OVERLOADED_SCORE),
            AttemptOutcome::ConnectFailed => member.faults.add(CONNECT_FAILED_SCORE),
            AttemptOutcome::Reset => member.faults.add(RESET_SCORE),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    /// Adapts the member's concurrency limit and latency, and the shed level of its role.
    fn record_load(&mut self, finished: &FinishedAttempt) {
        let now = self.now;
        let Some(load_pressure) = finished.load_pressure() else { return };
        let Some(group) = self.groups.get_mut(&finished.group) else { return };
        let Some(member) = self.members.get_mut(&finished.host()) else { return };
        let others = member.in_flight.len();
        member.concurrency_limit.observe(load_pressure.max(finished.objective_fraction), others);
        group.shedder_mut(finished.role).observe(load_pressure, others, finished.group_answers, now);
        let is_slower = finished.relative_latency > member.latency.multiple();
        if finished.is_timed && (finished.is_served() || is_slower) {
            member.latency.observe(finished.relative_latency, now);
        }
    }

    /// Updates the member's answer rate and the typical latency of the class.
    fn record_answer(&mut self, finished: &FinishedAttempt) {
        if !finished.is_served() {
            return;
        }
        let class = finished.attempt.class;
        if finished.is_timed {
            self.request_work.record_answer(class, finished.result.latency as f64);
        }
        if let Some(member) = self.members.get_mut(&finished.host()) {
            member.answer_rate.record(self.now);
        }
        let typical_latency = &mut self.typical_latency[finished.attempt.class.0];
        let weight = if finished.is_timed { TYPICAL_LATENCY_WEIGHT } else { 0.0 };
        let difference = finished.result.latency as f64 - *typical_latency;
        *typical_latency = (*typical_latency + weight * difference).max(MIN_TYPICAL_LATENCY);
    }

    /// Updates the search for the primary.
    fn record_primary_search(&mut self, finished: &FinishedAttempt) {
        let Some(group) = self.groups.get_mut(&finished.group) else { return };
        group.discovery.end_search_by(finished.result.id);
        if finished.is_misrouted_write() {
            group.discovery.exclude(finished.host());
        }
    }

    /// Ends the request, or prepares it for a retry and dispatches it.
    fn continue_request(&mut self, finished: &FinishedAttempt) {
        let result = finished.result;
        if result.terminal || finished.is_served() {
            self.remove_pending(result.id);
            return;
        }
        let Some(pending) = self.pending.get_mut(&result.id) else { return };
        pending.in_flight_at = None;
        if !finished.is_misrouted_write() {
            pending.excluded.insert(result.host);
        }
        if !matches!(result.outcome, AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent) {
            pending.has_reached_member = true;
            if !matches!(result.outcome, AttemptOutcome::Overloaded | AttemptOutcome::Misrouted) {
                pending.may_have_run_since.get_or_insert(finished.attempt.sent_at);
            }
        }
        self.dispatch(result.id);
    }
}
