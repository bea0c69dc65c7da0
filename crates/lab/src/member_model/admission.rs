//! The admission of requests at a member, and the checks that the model makes on admission.

use super::{
    Member, MemberModel, Micros, RequestClass, CLASSES, COLLAPSE_MULTIPLE, COLLAPSE_WINDOW, CORES,
    WARM_UP_FLOOR, WARM_UP_TIME,
};
use rand::Rng;

/// The number of requests that may be queued at a member beside those that its cores work on.
const QUEUE_CAPACITY: usize = 60;
/// The maximum age of the data of a bounded read when it is served, as in the classes of the configuration.
const MAX_READ_AGE: Micros = 200_000;
/// The tolerance for every time limit, since the run uses real sockets.
const TIME_TOLERANCE: Micros = 50_000;
const MICROS_PER_MS: Micros = 1000;

/// A request as it arrives at a member.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncomingRequest<'a> {
    /// The index of its class in [`CLASSES`].
    pub class: usize,
    /// Its id, if known; a write whose id has run before counts as a duplicate.
    pub id: Option<&'a str>,
    /// The position that its data has to include, in Unix milliseconds.
    pub min_position_ms: Option<i64>,
}

/// The decision of a member on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is in flight, and the answer is ready at this time.
    Admitted(Micros),
    /// The request is a write, and the member is not the primary.
    NotPrimary,
    /// The member's queue is full, it is draining, or it sheds load.
    Overloaded,
}

impl MemberModel {
    /// Returns the fraction of its full capacity that a member has now: it grows while the member warms up.
    pub fn capacity(&self, member: usize) -> f64 {
        self.capacity_at(member, self.now)
    }

    fn capacity_at(&self, member: usize, time: Micros) -> f64 {
        let uptime = (time - self.members[member].started_at).max(0) as f64;
        (WARM_UP_FLOOR + (1.0 - WARM_UP_FLOOR) * uptime / WARM_UP_TIME as f64).min(1.0)
    }

    /// Admits or rejects a request at a member. Every request that is [`Admission::Admitted`] has to be ended
    /// with [`MemberModel::finish_request`].
    pub fn admit(&mut self, member: usize, request: IncomingRequest<'_>) -> Admission {
        // Drawn before any check, so that a rejected request uses a random number as well: runs of one seed stay
        // comparable.
        let work_draw = -(1.0 - self.rng.random::<f64>()).ln();
        let class = &CLASSES[request.class];
        self.record_arrival(member, class);
        if class.is_write() && !self.members[member].is_primary {
            return Admission::NotPrimary;
        }
        if self.is_overloaded(member) {
            return Admission::Overloaded;
        }
        let capacity = self.capacity(member);
        let now = self.now;
        if self.members[member].is_stale_for(class, request.min_position_ms, now) {
            self.stale_reads += 1;
        }
        if class.is_write() {
            self.record_write(request.id);
        }
        let work =
            class.mean_work * (0.3 + 0.7 * work_draw.min(5.0)) * self.members[member].slowdown / capacity;
        Admission::Admitted(self.members[member].start_request(class, now, work))
    }

    /// Ends a request that was admitted.
    pub fn finish_request(&mut self, member: usize, class: usize) {
        let member = &mut self.members[member];
        member.in_flight -= 1;
        member.long_reads_in_flight -= usize::from(CLASSES[class].is_long_read());
    }

    fn is_overloaded(&mut self, member: usize) -> bool {
        let member = &self.members[member];
        if member.is_draining || member.in_flight >= QUEUE_CAPACITY + CORES {
            return true;
        }
        let rejection_rate = member.behavior.rejection_rate;
        rejection_rate > 0.0 && self.rng.random::<f64>() < rejection_rate
    }

    /// Counts a write as a duplicate if one with the same id has run before.
    fn record_write(&mut self, id: Option<&str>) {
        let Some(id) = id else { return };
        let is_new = self.applied_write_ids.insert(id.to_string());
        if !is_new {
            self.duplicate_writes += 1;
        }
    }
}

impl MemberModel {
    /// Records an arrival, also one that is rejected: a member that warms up collapses if all proxies
    /// together send it more work than it can take.
    fn record_arrival(&mut self, member: usize, class: &RequestClass) {
        let now = self.now;
        let work = class.mean_work / self.mix.mean_work();
        let is_warm = self.capacity(member) >= 1.0;
        let budget = self.collapse_budget(member);
        let member = &mut self.members[member];
        member.recent_arrivals.push_back((now, work));
        while member.recent_arrivals.front().is_some_and(|(at, _)| now - at > COLLAPSE_WINDOW) {
            member.recent_arrivals.pop_front();
        }
        if is_warm {
            return;
        }
        let overload = member.recent_arrivals.iter().map(|(_, work)| work).sum::<f64>() / budget;
        member.peak_overload = member.peak_overload.max(overload);
        member.has_collapsed |= overload > 1.0;
    }

    /// Returns the requests of mean work within [`COLLAPSE_WINDOW`] that a member survives:
    /// [`COLLAPSE_MULTIPLE`] times what it can serve at the window's start.
    fn collapse_budget(&self, member: usize) -> f64 {
        let capacity = self.capacity_at(member, self.now - COLLAPSE_WINDOW);
        let sustainable = CORES as f64 / self.mix.mean_work() * COLLAPSE_WINDOW as f64 * capacity;
        COLLAPSE_MULTIPLE * sustainable
    }
}

impl Member {
    /// Returns whether a read here would return data older than its class or its minimum position allows.
    fn is_stale_for(&self, class: &RequestClass, min_position_ms: Option<i64>, now: Micros) -> bool {
        if self.is_primary {
            return false;
        }
        let position = self.applied_position as Micros;
        match (class.name, min_position_ms) {
            ("bounded-read", _) => position < now - MAX_READ_AGE - TIME_TOLERANCE,
            (_, Some(min_position_ms)) if !class.is_write() => position < min_position_ms * MICROS_PER_MS,
            _ => false,
        }
    }

    /// Queues a request's work on the core that is free first, and returns when the answer is ready.
    fn start_request(&mut self, class: &RequestClass, now: Micros, work: f64) -> Micros {
        let core_free_at = self.core_free_at.iter_mut().min().expect("a member has at least one core");
        *core_free_at = now.max(*core_free_at) + work as Micros;
        let answer_at = *core_free_at;
        self.in_flight += 1;
        self.writes += u64::from(class.is_write());
        self.long_reads_in_flight += usize::from(class.is_long_read());
        answer_at
    }
}
