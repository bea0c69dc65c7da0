//! The accepted endpoint list, and the deadlines of endpoints that suspect answers remove.

use crate::{PollSchedule, SendDeadline, SuspectReason, WatchEvent};
use std::collections::BTreeMap;
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};
use wharfplank_routing::Micros;

/// The margin by which a deadline precedes the end of the drain grace, because it is not checked immediately.
const DEADLINE_MARGIN: Micros = 20_000;
/// A start time further in the future than this is invalid, as all machines use the same clock.
const MAX_CLOCK_SKEW: Micros = 50_000;
const MICROS_PER_MILLI: Micros = 1_000;

/// The accepted endpoint list.
#[derive(Debug)]
pub(super) struct AcceptedList {
    drain_grace: Micros,
    /// The accepted entries by name.
    pub(super) entries: BTreeMap<String, EndpointRecord>,
    /// The version of the last answer accepted from this address.
    pub(super) version: Option<u64>,
    /// A version known before this address was first polled, from which a watch may resume.
    pub(super) resume_version: Option<u64>,
    /// The latest complete answer that is suspect and unconfirmed.
    pub(super) pending: Option<PendingAnswer>,
    /// The removal deadlines of endpoints, by name. They are cancelled if another answer contradicts the
    /// suspect one.
    deadlines: BTreeMap<String, RemovalDeadline>,
}

/// A complete answer that is accepted only once another answer confirms it.
#[derive(Debug)]
pub(super) struct PendingAnswer {
    pub(super) reason: SuspectReason,
    pub(super) list: EndpointList,
}

/// The time at which a suspect answer takes an endpoint out of use.
#[derive(Clone, Copy, Debug)]
struct RemovalDeadline {
    until: Micros,
    reason: SuspectReason,
}

impl AcceptedList {
    pub(super) fn new(schedule: &PollSchedule, known: &EndpointList) -> Self {
        let can_resume = schedule.shared.is_some() && !known.endpoints.is_empty();
        AcceptedList {
            drain_grace: schedule.drain_grace,
            entries: known.endpoints.iter().map(|record| (record.name.clone(), record.clone())).collect(),
            version: None,
            resume_version: can_resume.then_some(known.version),
            pending: None,
            deadlines: BTreeMap::new(),
        }
    }

    /// Returns the version from which a watch continues.
    pub(super) fn watch_version(&self) -> Option<u64> {
        self.version.or(self.resume_version)
    }

    /// Resets the version for a new address. If `resumes`, a watch continues from the version of the former
    /// address.
    pub(super) fn reset_version(&mut self, resumes: bool) {
        self.resume_version = self.watch_version().filter(|_| resumes);
        self.version = None;
    }

    /// Returns whether an answer reports no change.
    pub(super) fn is_unchanged_by(&self, answer: &EndpointList) -> bool {
        !answer.complete && answer.endpoints.is_empty() && self.version == Some(answer.version)
    }

    /// Returns whether a suspect answer is waiting for confirmation.
    pub(super) fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Accepts an answer, or holds it back if it is suspect and unconfirmed.
    pub(super) fn on_answer(&mut self, now: Micros, answer: EndpointList) -> WatchEvent {
        let suspect = self.inspect(&answer).filter(|reason| !self.is_confirmed_by(*reason, &answer));
        match suspect {
            Some(reason) => self.hold_back(now, reason, answer),
            None => self.accept(now, answer),
        }
    }

    /// Holds back a suspect answer until it is confirmed, and sets the deadlines of the endpoints that it
    /// removes.
    fn hold_back(&mut self, now: Micros, reason: SuspectReason, answer: EndpointList) -> WatchEvent {
        self.add_deadlines(now, reason, &answer);
        if reason == SuspectReason::MissingEndpoints {
            // Endpoints that are active in a newer version lose their deadlines; an older version cancels
            // none.
            self.cancel_deadlines_of_active(&answer);
        }
        if answer.complete {
            self.pending = Some(PendingAnswer { reason, list: answer });
        }
        WatchEvent { update: None, deadlines: self.send_deadlines(), suspect: Some(reason) }
    }

    fn add_deadlines(&mut self, now: Micros, reason: SuspectReason, answer: &EndpointList) {
        let until = now + (self.drain_grace - DEADLINE_MARGIN).max(0);
        for name in self.removed_by(answer) {
            // A second suspect answer does not postpone the deadlines of the first one.
            let deadline = self.deadlines.entry(name).or_insert(RemovalDeadline { until, reason });
            if reason == SuspectReason::MissingEndpoints {
                deadline.reason = reason;
            }
        }
    }

    fn cancel_deadlines_of_active(&mut self, answer: &EndpointList) {
        let is_active = |name: &str| {
            answer
                .endpoints
                .iter()
                .any(|record| record.name == name && record.health == EndpointHealth::Active)
        };
        self.deadlines.retain(|name, _| !is_active(name));
    }

    fn send_deadlines(&self) -> Vec<SendDeadline> {
        let deadline = |(name, deadline): (&String, &RemovalDeadline)| SendDeadline {
            endpoint: name.clone(),
            until: deadline.until,
        };
        self.deadlines.iter().map(deadline).collect()
    }

    /// Merges an answer into the list. The event has no update if the answer contains no change.
    fn accept(&mut self, now: Micros, mut answer: EndpointList) -> WatchEvent {
        for record in &mut answer.endpoints {
            self.correct_start(now, record);
        }
        self.version = Some(answer.version);
        if answer.complete {
            // Only another complete list resolves a suspect complete list; an incremental change does not.
            self.pending = None;
            self.entries.clear();
            self.deadlines.clear();
        }
        for record in &answer.endpoints {
            self.merge(record);
        }
        let has_content = answer.complete || !answer.endpoints.is_empty();
        WatchEvent { update: has_content.then_some(answer), ..WatchEvent::default() }
    }

    /// Corrects an endpoint's start time, so that it is neither in the future nor before the accepted one.
    fn correct_start(&self, now: Micros, record: &mut EndpointRecord) {
        if record.started_at_ms > (now + MAX_CLOCK_SKEW) / MICROS_PER_MILLI {
            record.started_at_ms = now / MICROS_PER_MILLI;
        }
        if let Some(accepted) = self.entries.get(&record.name) {
            record.started_at_ms = record.started_at_ms.max(accepted.started_at_ms);
        }
    }

    fn merge(&mut self, record: &EndpointRecord) {
        self.deadlines.remove(&record.name);
        if record.health == EndpointHealth::Removed {
            self.entries.remove(&record.name);
        } else {
            self.entries.insert(record.name.clone(), record.clone());
        }
    }

    /// Returns the earliest deadline.
    pub(super) fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.values().map(|deadline| deadline.until).min()
    }

    /// Removes the endpoints whose deadline has passed; see `EndpointTracker::expire_deadlines`.
    pub(super) fn expire_deadlines(&mut self, now: Micros) -> WatchEvent {
        let expired = self.take_expired(now);
        if expired.is_empty() {
            return WatchEvent::default();
        }
        let would_remove_all = expired.len() >= self.active().count();
        let all_missing =
            expired.iter().all(|(_, deadline)| deadline.reason == SuspectReason::MissingEndpoints);
        let mut records = Vec::new();
        for (name, deadline) in expired {
            let may_be_kept = all_missing || deadline.reason == SuspectReason::OlderVersion;
            if would_remove_all && may_be_kept {
                records.extend(self.entries.get(&name).cloned());
            } else if let Some(record) = self.entries.remove(&name) {
                records.push(EndpointRecord { health: EndpointHealth::Removed, ..record });
            }
        }
        let update = EndpointList { version: self.version.unwrap_or(0), complete: false, endpoints: records };
        WatchEvent { update: Some(update), ..WatchEvent::default() }
    }

    fn take_expired(&mut self, now: Micros) -> Vec<(String, RemovalDeadline)> {
        let has_passed = |deadline: &RemovalDeadline| now >= deadline.until;
        let expired = self.deadlines.iter().filter(|(_, deadline)| has_passed(deadline));
        let expired = expired.map(|(name, deadline)| (name.clone(), *deadline)).collect();
        self.deadlines.retain(|_, deadline| !has_passed(deadline));
        expired
    }

    /// Returns the active endpoints.
    pub(super) fn active(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().filter(|record| record.health == EndpointHealth::Active)
    }
}
