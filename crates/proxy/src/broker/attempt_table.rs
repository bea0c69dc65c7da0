//! The table of attempts that are in flight, and the queue of those that finished without a report from the driver.

use async_executor::Task;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use wharfplank_routing::{self as routing, AttemptOutcome, HostId, Micros, RequestId};
use wharfplank_transport::member_pool::AttemptStage;

/// Identifies an attempt: its request, and its number within the request, counted from 0.
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

/// An attempt whose answer has not begun to arrive.
pub(super) struct InFlightAttempt {
    pub(super) host: HostId,
    pub(super) sent_at: Micros,
    /// The member's newest known log position when the attempt was sent.
    pub(super) position_at_send: Option<Micros>,
    /// How far the attempt has come; the task that runs it updates this.
    pub(super) stage: Rc<Cell<AttemptStage>>,
    /// The task that runs the attempt. Dropping it closes the attempt's connection.
    pub(super) task: Task<()>,
}

/// An attempt whose outcome was decided here rather than reported by the driver.
pub(super) struct FinishedAttempt {
    pub(super) key: AttemptKey,
    pub(super) host: HostId,
    pub(super) sent_at: Micros,
    pub(super) outcome: AttemptOutcome,
}

/// What the settings allow of attempts.
pub(super) struct AttemptPolicy {
    /// The most attempts of one request.
    pub(super) max_attempts: u32,
    /// Whether an attempt that has begun may be cancelled.
    pub(super) may_cancel: bool,
}

impl AttemptPolicy {
    pub(super) fn new(settings: &routing::Settings) -> Self {
        AttemptPolicy { max_attempts: settings.max_attempts, may_cancel: settings.may_cancel }
    }
}

/// The attempts of all open requests, and of closed ones whose attempts still run.
#[derive(Default)]
pub(super) struct AttemptTable {
    in_flight: HashMap<AttemptKey, InFlightAttempt>,
    /// Outcomes that the router hears of after the event in hand.
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

    /// How far an attempt in flight has come.
    pub(super) fn stage(&self, key: AttemptKey) -> Option<AttemptStage> {
        self.in_flight.get(&key).map(|attempt| attempt.stage.get())
    }

    /// The keys of the attempts in flight that satisfy the predicate, in ascending order.
    pub(super) fn keys_where(&self, matches: impl Fn(&InFlightAttempt) -> bool) -> Vec<AttemptKey> {
        let matching = self.in_flight.iter().filter(|(_, attempt)| matches(attempt));
        let mut keys: Vec<AttemptKey> = matching.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    }

    /// The attempts at a member that have begun to be written, with the time when each was sent.
    pub(super) fn begun_at(&self, host: HostId) -> impl Iterator<Item = (Micros, AttemptKey)> + '_ {
        let begun = self.in_flight.iter().filter(move |(_, attempt)| {
            attempt.host == host
                && matches!(attempt.stage.get(), AttemptStage::Writing | AttemptStage::Written)
        });
        begun.map(|(key, attempt)| (attempt.sent_at, *key))
    }

    /// Queues an outcome for the router.
    pub(super) fn push_finished(&mut self, attempt: FinishedAttempt) {
        self.finished.push_back(attempt);
    }

    /// The next outcome that the router has not heard of.
    pub(super) fn pop_finished(&mut self) -> Option<FinishedAttempt> {
        self.finished.pop_front()
    }
}
