//! Outlier detection: fault scores of members, suspicion, and the trial requests that end it.
//!
//! Each member has a fault score. Attempts in flight add to it while they wait for an answer, in multiples of
//! their typical latency; failed attempts add fixed amounts. An answer clears it. From [`NO_WRITES_SCORE`] on
//! a member gets no writes; from [`SUSPECT_SCORE`] on it is suspected to be down and gets only trials: single
//! requests at long intervals.

use super::group::GROUP_RATE_WINDOW;
use super::member::{AttemptInFlight, Member};
use super::{Action, EndpointStatus, GroupId, HostId, Idempotency, Micros, Router};
use std::collections::BTreeSet;

/// The score of a connection that could not be established.
pub(super) const CONNECT_FAILED_SCORE: f64 = 2.0;
/// The score of a broken connection. It is low, since single connections also break at healthy members, while
/// a member that is down refuses the next connection.
pub(super) const RESET_SCORE: f64 = 0.5;
/// The score of a rejection for overload. Unlike other answers it does not clear the score, since a hung
/// member also fills up and rejects.
pub(super) const OVERLOADED_SCORE: f64 = NO_WRITES_SCORE;
/// The score from which on a member gets no writes.
pub(super) const NO_WRITES_SCORE: f64 = 3.0;
/// The score from which on a member with attempts in flight is suspected.
const SUSPECT_SCORE: f64 = 7.0;
/// The interval before the first trial of a suspect.
const INITIAL_TRIAL_INTERVAL: Micros = 400_000;
/// The minimum interval, in µs, between trials of a suspect.
const MIN_TRIAL_INTERVAL: f64 = 1.5e6;
/// The maximum interval, in µs, between trials of a suspect.
const MAX_TRIAL_INTERVAL: f64 = 12e6;
/// Within these bounds one trial is sent for this many answers of the group, so that a router with little
/// traffic does not spend most of it on trials.
const ANSWERS_PER_TRIAL: f64 = 5.0;
/// A repeatable attempt at a suspect is cancelled after this many typical latencies.
const CANCEL_AFTER: f64 = 2.0;

/// The cause of a suspicion.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FaultKind {
    /// Connections failed or broke. An advancing log position ends the suspicion.
    Connection,
    /// Attempts got no answer. An advancing log position ends the suspicion only of a primary.
    Silence,
}

/// A suspicion that a member is down.
struct Suspicion {
    since: Micros,
    kind: FaultKind,
    /// When the last trial was sent; 0 if none was.
    last_trial_at: Micros,
    next_trial_at: Micros,
}

/// The record of a member's faults since its last answer.
#[derive(Default)]
pub(super) struct FaultRecord {
    /// The score of failed attempts, without that of attempts in flight.
    score: f64,
    pub(super) answered_at: Micros,
    suspicion: Option<Suspicion>,
}

impl FaultRecord {
    /// Adds the score of a failed attempt.
    pub(super) fn add(&mut self, score: f64) {
        self.score += score;
    }

    /// Raises the score to at least this value.
    pub(super) fn raise_to(&mut self, score: f64) {
        self.score = self.score.max(score);
    }

    /// Clears the faults, since the member answered. Returns whether it was suspected.
    pub(super) fn clear(&mut self, now: Micros) -> bool {
        self.answered_at = now;
        self.score = 0.0;
        self.suspicion.take().is_some()
    }

    /// Clears the faults, since the member's process was replaced.
    pub(super) fn reset(&mut self) {
        self.score = 0.0;
        self.suspicion = None;
    }

    /// Whether the member is suspected to be down.
    pub(super) fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }

    /// The time since which the member is suspected; `None` if it is not.
    pub(super) fn suspected_since(&self) -> Option<Micros> {
        self.suspicion.as_ref().map(|suspicion| suspicion.since)
    }

    /// Whether the member is suspected and due for a trial.
    pub(super) fn is_trial_due(&self, now: Micros) -> bool {
        self.suspicion.as_ref().is_some_and(|suspicion| suspicion.next_trial_at <= now)
    }

    /// Records that the member had reached the log position `position_at`, which may end a suspicion. The log
    /// position of a hung member does not advance. Therefore a primary whose position has advanced since the
    /// suspicion is healthy, and so is a replica that is suspected only because of its connections.
    pub(super) fn observe_progress(&mut self, position_at: Micros, is_primary: bool, now: Micros) {
        let Some(suspicion) = self.suspicion.as_mut().filter(|suspicion| position_at > suspicion.since)
        else {
            return;
        };
        // A silent member whose position has advanced may only have been slow, so its next trial is due
        // immediately.
        let earliest = suspicion.last_trial_at + INITIAL_TRIAL_INTERVAL;
        suspicion.next_trial_at = suspicion.next_trial_at.min(earliest).max(now);
        if suspicion.kind == FaultKind::Connection || is_primary {
            self.clear(now);
        }
    }

    /// The time, in µs, for which the attempt has waited without any answer from the member: since its send,
    /// the last answer, or `resumed_at`, when the router last resumed from a stall, whichever is latest.
    pub(super) fn silence(&self, attempt: &AttemptInFlight, now: Micros, resumed_at: Micros) -> f64 {
        (now - attempt.sent_at.max(resumed_at).max(self.answered_at)) as f64
    }
}

impl Router {
    /// The member's fault score, including the waiting time of its attempts in flight.
    pub(super) fn fault_score(&self, member: &Member) -> f64 {
        let waited = |attempt: &AttemptInFlight| {
            let typical = self.typical_latency[attempt.class.0] * member.latency.multiple().max(1.0);
            member.faults.silence(attempt, self.now, self.resumed_at) / typical
        };
        member.faults.score + member.in_flight.iter().map(waited).sum::<f64>()
    }

    /// Suspects the member if its fault score reaches the threshold.
    pub(super) fn evaluate_suspicion(&mut self, host: HostId, kind: FaultKind) {
        let now = self.now;
        let Some(member) = self.members.get(&host) else { return };
        // A member that gets no writes and has nothing in flight would never answer and clear its score; as a
        // suspect it gets trials.
        let threshold = if member.in_flight.is_empty() { NO_WRITES_SCORE } else { SUSPECT_SCORE };
        if member.faults.is_suspected() || self.fault_score(member) < threshold {
            return;
        }
        let suspicion =
            Suspicion { since: now, kind, last_trial_at: 0, next_trial_at: now + INITIAL_TRIAL_INTERVAL };
        if let Some(member) = self.members.get_mut(&host) {
            member.faults.suspicion = Some(suspicion);
        }
    }

    /// Records that a trial is sent to the member, and schedules the next one.
    pub(super) fn record_trial(&mut self, host: HostId, group: GroupId) {
        let answers_per_micro = self.group_answers(group) / GROUP_RATE_WINDOW;
        let interval = ANSWERS_PER_TRIAL / answers_per_micro.max(1e-12);
        let interval = interval.clamp(MIN_TRIAL_INTERVAL, MAX_TRIAL_INTERVAL) as Micros;
        let suspicion = self.members.get_mut(&host).and_then(|member| member.faults.suspicion.as_mut());
        if let Some(suspicion) = suspicion {
            suspicion.last_trial_at = self.now;
            suspicion.next_trial_at = self.now + interval;
        }
    }

    /// Handles the expiry of a timer: evaluates members with attempts in flight, cancels overdue attempts and
    /// dispatches queued requests. A timer that was replaced by an earlier one is ignored.
    pub(super) fn on_timer(&mut self) {
        if self.timer_due.is_some_and(|due| due > self.now) {
            return;
        }
        self.timer_due = None;
        self.first_queued_expiry = None;
        let hosts: BTreeSet<HostId> =
            self.pending.values().filter_map(|pending| pending.in_flight_at).collect();
        for host in hosts {
            self.evaluate_suspicion(host, FaultKind::Silence);
            self.cancel_overdue(host);
        }
        self.dispatch_all_queued();
    }

    /// Cancels overdue attempts at a suspect that may be repeated.
    fn cancel_overdue(&mut self, host: HostId) {
        let now = self.now;
        let group = self.members[&host].group;
        let has_other_primary =
            self.primary(group).is_some_and(|primary| primary != host && self.members[&primary].is_usable());
        let Some(member) = self.members.get_mut(&host).filter(|member| member.faults.is_suspected()) else {
            return;
        };
        for attempt in member.in_flight.iter_mut().filter(|attempt| !attempt.cancelled) {
            let age = now - attempt.sent_at;
            let is_overdue = age as f64 > CANCEL_AFTER * self.typical_latency[attempt.class.0];
            let is_repeatable = match self.settings.classes[attempt.class.0].idempotency {
                Idempotency::Idempotent => true,
                Idempotency::Keyed { window, .. } => has_other_primary && age < window / 2,
                Idempotency::NotIdempotent => false,
            };
            if self.settings.may_cancel && is_overdue && is_repeatable {
                attempt.cancelled = true;
                self.actions.push(Action::Cancel { id: attempt.id, attempt: attempt.attempt });
            }
        }
    }

    /// A suspect of the group that is due for a trial, other than the members at which the request has
    /// already failed.
    pub(super) fn due_trial(&self, group: GroupId, excluded: &BTreeSet<HostId>) -> Option<(HostId, &Member)> {
        self.group_members(group).find(|(host, member)| {
            let is_up = member.status == EndpointStatus::Up;
            is_up && member.faults.is_trial_due(self.now) && !excluded.contains(host)
        })
    }
}
