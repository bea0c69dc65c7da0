//! What is learned from the end of an attempt, and what becomes of its request.

use super::member::AttemptInFlight;
use super::outliers::{FaultKind, CONNECT_FAILED_SCORE, OVERLOADED_SCORE, RESET_SCORE};
use super::probes::OVERLOADED_STRAIN;
use super::{AttemptOutcome, AttemptResult, Consistency, GroupId, HostId, Role, Router};

/// Weight of one answer in the usual latency of its class.
const USUAL_LATENCY_WEIGHT: f64 = 0.02;
/// The least usual latency, in µs.
pub(super) const LEAST_USUAL_LATENCY: f64 = 1e3;
/// The largest relative latency that is counted; a member that is at capacity has it.
const LARGEST_RELATIVE_LATENCY: f64 = 8.0;
/// The strain of an attempt without an answer, in latency objectives. Not all of them are lost to load.
const LOST_STRAIN: f64 = 0.7;

/// An attempt that has just ended, with what the steps of its evaluation share. The values are those before
/// any of the steps.
struct FinishedAttempt<'a> {
    result: &'a AttemptResult,
    attempt: AttemptInFlight,
    group: GroupId,
    /// The role that the router took the member to have.
    role: Role,
    is_write: bool,
    /// Whether the latency means anything: not if the router stood still after the send.
    is_timed: bool,
    usual_latency: f64,
    /// The latency as a part of the class's latency objective.
    objective_part: f64,
    /// The latency as a multiple of the usual one.
    relative_latency: f64,
    /// The answers of the group within the last second.
    group_answers: f64,
    /// The part of the demand for the member's role that is admitted.
    admitted_part: f64,
}

impl FinishedAttempt<'_> {
    fn host(&self) -> HostId {
        self.result.host
    }

    fn is_served(&self) -> bool {
        self.result.outcome == AttemptOutcome::Ok
    }

    /// Whether a member that is not the primary rejected a write. It is not tried again in this round, but
    /// for the request it counts as no failure.
    fn is_misrouted_write(&self) -> bool {
        self.is_write && self.result.outcome == AttemptOutcome::Misrouted
    }

    /// What the attempt shows about the load, in latency objectives; `None` if nothing.
    fn strain(&self) -> Option<f64> {
        match self.result.outcome {
            AttemptOutcome::Ok if self.is_timed => Some(self.objective_part),
            AttemptOutcome::Timeout | AttemptOutcome::Cancelled if self.is_timed => Some(LOST_STRAIN),
            AttemptOutcome::Overloaded => Some(OVERLOADED_STRAIN),
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
    /// An attempt ended.
    pub(super) fn on_attempt_finished(&mut self, result: &AttemptResult) {
        let Some(finished) = self.take_finished(result) else { return };
        self.record_role_and_position(&finished);
        self.record_faults(&finished);
        self.record_load(&finished);
        self.record_answer(&finished);
        self.record_primary_search(&finished);
        self.record_commit(&finished);
        self.evaluate_suspicion(finished.host(), finished.fault_kind());
        self.continue_request(&finished);
        self.dispatch_queued(finished.group);
    }

    /// Takes the attempt from those in flight; `None` if it is not one of them.
    fn take_finished<'a>(&mut self, result: &'a AttemptResult) -> Option<FinishedAttempt<'a>> {
        let group = self.members.get(&result.host)?.group;
        let role = self.role_of(result.host, group);
        let group_answers = self.group_answers(group);
        let admitted_part = (-self.groups.get(&group)?.shed_level(role, self.now)).exp();
        let member = self.members.get_mut(&result.host)?;
        let attempt = member.take_in_flight(result.id, result.attempt)?;
        let class = &self.settings.classes[attempt.class.0];
        let usual_latency = self.usual_latency[attempt.class.0];
        let latency = result.latency as f64;
        Some(FinishedAttempt {
            result,
            group,
            role,
            is_write: class.consistency == Consistency::Write,
            is_timed: attempt.sent_at >= self.resumed_at,
            usual_latency,
            objective_part: latency / class.latency_objective.max(1) as f64,
            relative_latency: match result.outcome {
                AttemptOutcome::Overloaded => LARGEST_RELATIVE_LATENCY,
                _ => (latency / usual_latency).min(LARGEST_RELATIVE_LATENCY),
            },
            group_answers,
            admitted_part,
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
            // It was the primary when it answered, at some time after the send.
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
            // Only silence counts: an attempt that timed out while others were answered was merely long. And
            // where answers are late everywhere, a late one says little about its member.
            AttemptOutcome::Timeout => {
                let silence = member.faults.silence(&finished.attempt, now, resumed_at);
                member.faults.add(silence / finished.usual_latency * finished.admitted_part);
            }
            AttemptOutcome::Overloaded => member.faults.add(OVERLOADED_SCORE),
            AttemptOutcome::ConnectFailed => member.faults.add(CONNECT_FAILED_SCORE),
            AttemptOutcome::Reset => member.faults.add(RESET_SCORE),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
        }
    }

    /// Adapts the member's concurrency limit and latency, and how much load of its role is shed.
    fn record_load(&mut self, finished: &FinishedAttempt) {
        let now = self.now;
        let Some(strain) = finished.strain() else { return };
        let Some(group) = self.groups.get_mut(&finished.group) else { return };
        let Some(member) = self.members.get_mut(&finished.host()) else { return };
        let others = member.in_flight.len();
        member.concurrency_limit.observe(strain.max(finished.objective_part), others);
        group.shedder_mut(finished.role).observe(strain, others, finished.group_answers, now);
        let is_slower = finished.relative_latency > member.latency.multiple();
        if finished.is_timed && (finished.is_served() || is_slower) {
            member.latency.observe(finished.relative_latency, now);
        }
    }

    /// Adapts the member's rate of answers and the usual latency of the class.
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
        let usual_latency = &mut self.usual_latency[finished.attempt.class.0];
        let weight = if finished.is_timed { USUAL_LATENCY_WEIGHT } else { 0.0 };
        let difference = finished.result.latency as f64 - *usual_latency;
        *usual_latency = (*usual_latency + weight * difference).max(LEAST_USUAL_LATENCY);
    }

    /// Ends the attempt's part in the search for the primary.
    fn record_primary_search(&mut self, finished: &FinishedAttempt) {
        let Some(group) = self.groups.get_mut(&finished.group) else { return };
        group.discovery.end_trial_write(finished.result.id);
        if finished.is_misrouted_write() {
            group.discovery.exclude(finished.host());
        }
    }

    /// Remembers the commit for the session's later reads, unless its client does.
    fn record_commit(&mut self, finished: &FinishedAttempt) {
        let is_commit = finished.is_write && finished.is_served();
        if !is_commit || self.settings.sessions_carry_tokens {
            return;
        }
        if let (Some(session), Some(commit)) = (finished.attempt.session, finished.result.position) {
            self.session_commits.record(session, commit);
        }
    }

    /// Ends the request, or makes it ready for a retry and dispatches it.
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
