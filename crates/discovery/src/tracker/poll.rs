//! The schedule of polls: when to poll, what to request, and the time limits.

use crate::{HedgedPoll, PollKind, PollRequest, PollSchedule, SharedDiscovery, Staleness};
use fastrand::Rng;
use wharfplank_routing::Micros;

/// An empty response to a watch is early if it came before `1 / EARLY_RESPONSE_DIVISOR` of the wait had
/// passed.
const EARLY_RESPONSE_DIVISOR: Micros = 2;

/// The state of polling one discovery address.
#[derive(Debug)]
pub(super) struct PollState {
    schedule: PollSchedule,
    jitter: Rng,
    /// The time at which polling of this address began.
    started_at: Micros,
    responded_at: Option<Micros>,
    polled_at: Option<Micros>,
    /// Failed polls since the last response.
    failures: u32,
    /// Empty responses in a row that came early.
    idle_responses: u32,
    /// Whether the last poll was a watch of a shared service that failed only after its wait was over.
    watch_timed_out: bool,
    /// Whether the next poll requests the full list.
    full_list_needed: bool,
    /// The time at which the full list is requested once regardless of failures or suspect answers.
    full_list_at: Option<Micros>,
}

impl PollState {
    pub(super) fn new(schedule: PollSchedule, now: Micros) -> Self {
        PollState {
            schedule,
            jitter: Rng::with_seed(schedule.shared.map_or(0, |shared| shared.seed)),
            started_at: now,
            responded_at: None,
            polled_at: None,
            failures: 0,
            idle_responses: 0,
            watch_timed_out: false,
            full_list_needed: schedule.shared.is_none(),
            full_list_at: None,
        }
    }

    pub(super) fn schedule(&self) -> &PollSchedule {
        &self.schedule
    }

    /// Resets the state for a new address. The caller decides separately whether to request the full list
    /// first.
    pub(super) fn reset(&mut self, now: Micros) {
        self.started_at = now;
        self.responded_at = None;
        self.polled_at = None;
        self.failures = 0;
        self.idle_responses = 0;
        self.watch_timed_out = false;
        self.full_list_needed = false;
        self.full_list_at = None;
    }

    /// Makes the next poll request the full list.
    pub(super) fn request_full_list(&mut self) {
        self.full_list_needed = true;
    }

    /// Schedules one request for the full list at a random time within a span proportional to the size of the
    /// fleet, after the watches that all proxies open first.
    pub(super) fn schedule_full_list(&mut self, now: Micros, shared: &SharedDiscovery) {
        let span = Micros::from(shared.proxies) * PollSchedule::FULL_LIST_SPREAD_PER_PROXY;
        self.full_list_at = Some(now + span + self.jitter.i64(0..span));
    }

    pub(super) fn cancel_scheduled_full_list(&mut self) {
        self.full_list_at = None;
    }

    pub(super) fn set_full_list_needed(&mut self, needed: bool) {
        self.full_list_needed = needed;
    }

    /// Returns what the next poll requests; a watch continues from `version`.
    pub(super) fn next_kind(&mut self, now: Micros, version: Option<u64>) -> PollKind {
        let is_due = self.full_list_at.is_some_and(|at| now >= at);
        if is_due && self.failures == 0 && !self.watch_timed_out {
            self.full_list_needed = true;
        }
        match version {
            Some(version) if !self.full_list_needed => PollKind::Watch { version },
            _ => PollKind::FullList,
        }
    }

    /// Returns the next poll and records its start.
    pub(super) fn start(&mut self, now: Micros, kind: PollKind) -> PollRequest {
        let start_at = self.next_start(now);
        self.polled_at = Some(start_at);
        let wait = if kind == PollKind::FullList { 0 } else { self.schedule.watch_wait };
        let response_timeout = self.schedule.total_response_timeout(wait);
        PollRequest {
            kind,
            wait,
            start_at,
            connect_timeout: self.schedule.connect_timeout,
            response_timeout,
            hedge: self.hedge(kind, wait, response_timeout),
            total_timeout: self.schedule.total_timeout().max(response_timeout),
        }
    }

    fn next_start(&mut self, now: Micros) -> Micros {
        let backoff = self.backoff(now);
        match self.polled_at {
            // The interval counts from the start of the last poll, so a long watch is continued at once.
            Some(polled_at) if self.failures == 0 && self.idle_responses == 0 => now.max(polled_at + backoff),
            Some(_) => now + backoff,
            None => now + self.initial_jitter(),
        }
    }

    fn initial_jitter(&mut self) -> Micros {
        let Some(shared) = self.schedule.shared else { return 0 };
        self.jitter.i64(0..self.schedule.initial_spread(&shared))
    }

    /// Returns the hedged poll. While a shared service is late, and for the full list, the hedge is set so
    /// that it never starts, to avoid two concurrent polls. A watch that the service granted and that then
    /// falls silent is hedged.
    fn hedge(&self, kind: PollKind, wait: Micros, response_timeout: Micros) -> HedgedPoll {
        let is_shared = self.schedule.shared.is_some();
        let is_late = self.failures > 0 || self.watch_timed_out || self.responded_at.is_none();
        let is_unhedged = is_shared && (is_late || kind == PollKind::FullList);
        let limits = self.schedule.hedge_limits();
        HedgedPoll {
            after: if is_unhedged { response_timeout } else { wait + self.schedule.hedge_after },
            kind: if is_shared { kind } else { PollKind::FullList },
            wait: limits.wait,
            timeout: limits.timeout,
        }
    }

    /// Returns the minimum time between the last poll and the next one.
    fn backoff(&mut self, now: Micros) -> Micros {
        if self.watch_timed_out {
            return PollSchedule::MIN_INTERVAL;
        }
        if self.failures == 0 {
            return self.schedule.idle_backoff(self.idle_responses);
        }
        match self.schedule.shared {
            None => self.schedule.local_backoff(self.failures),
            Some(shared) => self.shared_backoff(now, &shared),
        }
    }

    /// Returns a random backoff after failed polls of a shared service: between half of the longest backoff
    /// and all of it.
    fn shared_backoff(&mut self, now: Micros, shared: &SharedDiscovery) -> Micros {
        // The interval is limited from the start of the failed poll, so its duration is subtracted.
        let time_left =
            self.polled_at.map_or(0, |polled_at| polled_at + self.schedule.max_retry_interval() - now);
        let longest = self.schedule.max_shared_backoff(shared, self.failures).min(time_left);
        let longest = longest.max(2 * PollSchedule::MIN_INTERVAL);
        longest / 2 + self.jitter.i64(0..longest / 2)
    }

    /// Records a response; `is_unchanged` states that it reported no change.
    pub(super) fn on_response(&mut self, now: Micros, is_unchanged: bool) {
        let came_early = self
            .polled_at
            .is_some_and(|polled_at| now - polled_at < self.schedule.watch_wait / EARLY_RESPONSE_DIVISOR);
        let is_idle = is_unchanged && came_early && !self.full_list_needed;
        self.idle_responses = if is_idle { self.idle_responses.saturating_add(1) } else { 0 };
        self.responded_at = Some(now);
        self.failures = 0;
        self.watch_timed_out = false;
    }

    /// Records a failed poll. A watch of a shared service that failed only after its wait was over is still
    /// in the service's queue. It is continued at once to keep its place, as a later poll would go to the end
    /// of the queue; it does not count as a failure.
    pub(super) fn on_failure(&mut self, now: Micros, version: Option<u64>) {
        let was_shared_watch = self.schedule.shared.is_some() && !self.full_list_needed;
        let wait_was_over =
            self.polled_at.is_some_and(|polled_at| now - polled_at >= self.schedule.watch_wait * 9 / 10);
        self.watch_timed_out = was_shared_watch && wait_was_over;
        if self.watch_timed_out {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        self.full_list_needed = version.is_none() || self.is_full_list_due();
    }

    /// Returns whether the poll after the current number of failures requests the full list.
    fn is_full_list_due(&self) -> bool {
        self.schedule
            .shared
            .is_none_or(|shared| self.failures.is_multiple_of(self.schedule.full_list_after(&shared)))
    }

    pub(super) fn staleness(&self, now: Micros) -> Staleness {
        let Some(responded_at) = self.responded_at else {
            let is_stale = now - self.started_at > self.schedule.stale_after();
            return if is_stale { Staleness::Stale } else { Staleness::Unconfirmed };
        };
        match now - responded_at {
            age if age <= self.schedule.watch_wait + self.schedule.response_timeout => Staleness::Fresh,
            age if age <= self.schedule.stale_after() => Staleness::Overdue,
            _ => Staleness::Stale,
        }
    }
}
