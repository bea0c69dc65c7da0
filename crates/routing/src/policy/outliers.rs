//! Outlier detection: faults that count against a member, suspicion, and the trials that end it.
//!
//! Each member has a fault score. Attempts that are in flight without an answer add to it while they wait, in
//! multiples of their usual latency; failed attempts add fixed amounts. An answer clears it. From
//! [`NO_WRITES_SCORE`] on a member gets no writes; from [`SUSPECT_SCORE`] on it is suspected to be down and
//! gets only trials, single requests at long intervals.

use super::group::GROUP_RATE_SPAN;
use super::member::{AttemptInFlight, Member};
use super::{Action, EndpointStatus, GroupId, HostId, Idempotency, Micros, Router};
use std::collections::BTreeSet;

/// The score of a refused connection.
pub(super) const CONNECT_FAILED_SCORE: f64 = 2.0;
/// The score of a connection that broke. It is low, since single connections break at members that work,
/// while a member that is down refuses the next one.
pub(super) const RESET_SCORE: f64 = 0.5;
/// The score of a rejection for overload. It clears nothing either: a hung member fills up too.
pub(super) const OVERLOADED_SCORE: f64 = NO_WRITES_SCORE;
/// From this score on a member gets no writes.
pub(super) const NO_WRITES_SCORE: f64 = 3.0;
/// From this score on a member with attempts in flight is suspected.
const SUSPECT_SCORE: f64 = 7.0;
/// The pause before the first trial of a suspect.
const FIRST_TRIAL_PAUSE: Micros = 400_000;
/// The shortest pause, in µs, between trials of a suspect.
const SHORTEST_TRIAL_PAUSE: f64 = 1.5e6;
/// The longest pause, in µs, between trials of a suspect.
const LONGEST_TRIAL_PAUSE: f64 = 12e6;
/// Between these bounds there is one trial for this many answers of the group, since a router with little
/// traffic must not spend most of it on trials.
const ANSWERS_PER_TRIAL: f64 = 5.0;
/// An attempt at a suspect that may be repeated is cancelled after this many usual latencies.
const CANCEL_AFTER: f64 = 2.0;

/// What gave rise to a suspicion.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum FaultKind {
    /// Connections that failed or broke. A log position that advances disproves it.
    Connection,
    /// Attempts without an answer. A log position that advances does not disprove it.
    Silence,
}

/// A suspicion that a member is down.
struct Suspicion {
    since: Micros,
    kind: FaultKind,
    /// When the last trial was sent; 0 for none.
    last_trial_at: Micros,
    next_trial_at: Micros,
}

/// The faults of a member since its last answer.
#[derive(Default)]
pub(super) struct FaultRecord {
    /// The score of the failed attempts.
    score: f64,
    pub(super) answered_at: Micros,
    suspicion: Option<Suspicion>,
}

impl FaultRecord {
    /// Counts a failed attempt.
    pub(super) fn add(&mut self, score: f64) {
        self.score += score;
    }

    /// Raises the score to at least this one.
    pub(super) fn raise_to(&mut self, score: f64) {
        self.score = self.score.max(score);
    }

    /// The member answered: nothing counts against it any more. Returns whether it was suspected.
    pub(super) fn clear(&mut self, now: Micros) -> bool {
        self.answered_at = now;
        self.score = 0.0;
        self.suspicion.take().is_some()
    }

    /// The member's process was replaced: whatever counted against the old one is void.
    pub(super) fn reset(&mut self) {
        self.score = 0.0;
        self.suspicion = None;
    }

    /// Whether the member is suspected to be down.
    pub(super) fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }

    /// Since when the member is suspected.
    pub(super) fn suspected_since(&self) -> Option<Micros> {
        self.suspicion.as_ref().map(|suspicion| suspicion.since)
    }

    /// Whether the member is suspected and due for a trial.
    pub(super) fn is_trial_due(&self, now: Micros) -> bool {
        self.suspicion.as_ref().is_some_and(|suspicion| suspicion.next_trial_at <= now)
    }

    /// Takes note that the member had reached a log position of `position_at`, as primary or not, since that
    /// may end a suspicion. The log position of a hung member does not advance. So a primary whose position
    /// advanced since the suspicion works, and so does a replica that is suspected for its connections only.
    pub(super) fn observe_progress(&mut self, position_at: Micros, is_primary: bool, now: Micros) {
        let Some(suspicion) = self.suspicion.as_mut().filter(|suspicion| position_at > suspicion.since)
        else {
            return;
        };
        // A silent member whose position advanced is tried at once, since it may only have been slow.
        let earliest = suspicion.last_trial_at + FIRST_TRIAL_PAUSE;
        suspicion.next_trial_at = suspicion.next_trial_at.min(earliest).max(now);
        if suspicion.kind == FaultKind::Connection || is_primary {
            self.clear(now);
        }
    }

    /// For how long, in µs, the attempt has waited for any answer of the member: since its send, since the
    /// last answer, or since `resumed_at`, when the router itself last resumed.
    pub(super) fn silence(&self, attempt: &AttemptInFlight, now: Micros, resumed_at: Micros) -> f64 {
        (now - attempt.sent_at.max(resumed_at).max(self.answered_at)) as f64
    }
}

impl Router {
    /// The member's fault score, with what its attempts in flight have waited for.
    pub(super) fn fault_score(&self, member: &Member) -> f64 {
        let waited = |attempt: &AttemptInFlight| {
            let usual = self.usual_latency[attempt.class.0] * member.latency.multiple().max(1.0);
            member.faults.silence(attempt, self.now, self.resumed_at) / usual
        };
        member.faults.score + member.in_flight.iter().map(waited).sum::<f64>()
    }

    /// Suspects the member if its fault score is high enough.
    pub(super) fn evaluate_suspicion(&mut self, host: HostId, kind: FaultKind) {
        let now = self.now;
        let Some(member) = self.members.get(&host) else { return };
        // A member without writes and with nothing in flight would never be cleared: only trials can.
        let threshold = if member.in_flight.is_empty() { NO_WRITES_SCORE } else { SUSPECT_SCORE };
        if member.faults.is_suspected() || self.fault_score(member) < threshold {
            return;
        }
        let suspicion =
            Suspicion { since: now, kind, last_trial_at: 0, next_trial_at: now + FIRST_TRIAL_PAUSE };
        if let Some(member) = self.members.get_mut(&host) {
            member.faults.suspicion = Some(suspicion);
        }
    }

    /// Takes note that a trial is sent to the member, and plans the next one.
    pub(super) fn record_trial(&mut self, host: HostId, group: GroupId) {
        let answers_per_micro = self.group_answers(group) / GROUP_RATE_SPAN;
        let pause = ANSWERS_PER_TRIAL / answers_per_micro.max(1e-12);
        let pause = pause.clamp(SHORTEST_TRIAL_PAUSE, LONGEST_TRIAL_PAUSE) as Micros;
        let suspicion = self.members.get_mut(&host).and_then(|member| member.faults.suspicion.as_mut());
        if let Some(suspicion) = suspicion {
            suspicion.last_trial_at = self.now;
            suspicion.next_trial_at = self.now + pause;
        }
    }

    /// A timer expired: evaluates members that are silent, cancels what may be repeated elsewhere, and tries
    /// what is queued again. A timer that an earlier one has replaced is ignored.
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

    /// Cancels the attempts at a suspect that have taken long and may be repeated.
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
            let is_overdue = age as f64 > CANCEL_AFTER * self.usual_latency[attempt.class.0];
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

    /// A suspect of the group that is due for a trial and is not one of those that already failed the
    /// request.
    pub(super) fn due_trial(&self, group: GroupId, excluded: &BTreeSet<HostId>) -> Option<(HostId, &Member)> {
        self.group_members(group).find(|(host, member)| {
            let is_up = member.status == EndpointStatus::Up;
            is_up && member.faults.is_trial_due(self.now) && !excluded.contains(host)
        })
    }
}
