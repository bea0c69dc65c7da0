//! The table of attempts in flight, and the queue of attempts that finished without a report from the driver.

use async_executor::Task;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use wharfplank_routing::{self as routing, AttemptOutcome, ClassId, HostId, Micros, RequestId, SessionKey};
use wharfplank_transport::member_pool::AttemptStage;

/// The key of an attempt: its request and its number within the request, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    pub(super) number: u32,
}

impl AttemptKey {
    pub(super) fn new(request: RequestId, number: u32) -> Self {
        AttemptKey { request, number }
    }
}

impl From<AttemptKey> for (RequestId, u32) {
    fn from(key: AttemptKey) -> Self {
        (key.request, key.number)
    }
}

/// An attempt whose response has not started to arrive.
pub(super) struct InFlightAttempt {
    pub(super) host: HostId,
    pub(super) class: ClassId,
    /// Copied from the request, as is the class, since a commit counts even if the client has disconnected.
    pub(super) session: Option<SessionKey>,
    pub(super) sent_at: Micros,
    /// The newest known log position of the member at the time of sending.
    pub(super) position_at_send: Option<Micros>,
    /// The progress of the attempt, updated by the task that runs it.
    pub(super) stage: Rc<Cell<AttemptStage>>,
    /// The task that runs the attempt. Dropping it closes the connection of the attempt.
    pub(super) task: Task<()>,
}

/// An attempt whose outcome was decided by the broker instead of being reported by the driver.
pub(super) struct FinishedAttempt {
    pub(super) key: AttemptKey,
    pub(super) host: HostId,
    pub(super) sent_at: Micros,
    pub(super) outcome: AttemptOutcome,
}

/// The limits that the settings put on attempts.
pub(super) struct AttemptPolicy {
    /// The maximum number of attempts per request.
    pub(super) max_attempts: u32,
    /// Whether an attempt that has started may be cancelled.
    pub(super) may_cancel: bool,
    /// The maximum Retry-After span of a rejection.
    pub(super) max_retry_after: Micros,
}

impl AttemptPolicy {
    pub(super) fn new(settings: &routing::Settings) -> Self {
        AttemptPolicy {
            max_attempts: settings.max_attempts,
            may_cancel: settings.may_cancel,
            max_retry_after: settings.max_retry_after,
        }
    }
}

/// The attempts of all open requests, and those of closed requests that are still in flight.
#[derive(Default)]
pub(super) struct AttemptTable {
    in_flight: HashMap<AttemptKey, InFlightAttempt>,
    /// Outcomes to be reported to the router after the current event.
    finished: VecDeque<FinishedAttempt>,
}

impl AttemptTable {
    pub(super) fn insert(&mut self, key: AttemptKey, attempt: InFlightAttempt) {
        self.in_flight.insert(key, attempt);
    }

    pub(super) fn remove(&mut self, key: AttemptKey) -> Option<InFlightAttempt> {
        self.in_flight.remove(&key)
    }

    pub(super) fn contains(&self, key: AttemptKey) -> bool {
        self.in_flight.contains_key(&key)
    }

    /// Returns the progress of an attempt in flight.
    pub(super) fn stage(&self, key: AttemptKey) -> Option<AttemptStage> {
        self.in_flight.get(&key).map(|attempt| attempt.stage.get())
    }

    /// Returns the keys of the attempts in flight that satisfy the predicate, in ascending order.
    pub(super) fn keys_where(&self, matches: impl Fn(&InFlightAttempt) -> bool) -> Vec<AttemptKey> {
        let matching = self.in_flight.iter().filter(|(_, attempt)| matches(attempt));
        let mut keys: Vec<AttemptKey> = matching.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    }

    /// Returns the attempts to a member whose writing has started, with the time at which each was sent.
    pub(super) fn started_at_member(&self, host: HostId) -> impl Iterator<Item = (Micros, AttemptKey)> + '_ {
        let started = self.in_flight.iter().filter(move |(_, attempt)| {
            attempt.host == host
                && matches!(attempt.stage.get(), AttemptStage::Writing | AttemptStage::Written)
        });
        started.map(|(key, attempt)| (attempt.sent_at, *key))
    }

    /// Queues an outcome to be reported to the router.
    pub(super) fn push_finished(&mut self, attempt: FinishedAttempt) {
        self.finished.push_back(attempt);
    }

    /// Removes the next outcome to be reported to the router.
    pub(super) fn pop_finished(&mut self) -> Option<FinishedAttempt> {
        self.finished.pop_front()
    }
}
