//! The adaptive limit of this router's concurrent requests at one member.

/// The limit, in requests, of a member that has not answered yet.
const INITIAL_LIMIT: f64 = 4.0;
/// The limit never falls below one request, or the member could not prove itself again.
const LEAST_LIMIT: f64 = 1.0;
/// The limit never rises above this many requests.
const LARGEST_LIMIT: f64 = 64.0;
/// By how much an early answer raises the limit, divided by the limit: larger limits rise more slowly.
const LIMIT_INCREASE: f64 = 2.0;
/// The share by which an answer that takes its whole latency objective lowers the limit.
const LIMIT_DECREASE_PART: f64 = 0.3;
/// Answers that take no more than this part of their latency objective raise the limit.
const EARLY_OBJECTIVE_PART: f64 = 0.25;
/// Lateness is counted up to this many latency objectives.
const LONGEST_OBJECTIVE_PART: f64 = 2.0;

/// How many requests of this router a member may have in flight, adapted by additive increase and
/// multiplicative decrease to how early its answers come.
#[derive(Clone, Copy)]
pub(super) struct ConcurrencyLimit(f64);

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit(INITIAL_LIMIT)
    }
}

impl ConcurrencyLimit {
    /// The limit that another router learned.
    pub(super) fn learned(limit: f64) -> Self {
        ConcurrencyLimit(limit)
    }

    /// The limit, in requests.
    pub(super) fn value(self) -> f64 {
        self.0
    }

    /// Whether another request may be sent while `in_flight` are out.
    pub(super) fn admits(self, in_flight: usize) -> bool {
        (in_flight as f64) < self.0
    }

    /// Adapts to an answer that took `objective_part` of its latency objective, with `in_flight` others out.
    /// The limit rises only while it is at least half used: unused capacity proves nothing.
    pub(super) fn observe(&mut self, objective_part: f64, in_flight: usize) {
        if objective_part > EARLY_OBJECTIVE_PART {
            self.0 = (self.0 * (1.0 - LIMIT_DECREASE_PART * objective_part.min(LONGEST_OBJECTIVE_PART)))
                .max(LEAST_LIMIT);
        } else if in_flight as f64 + 1.0 >= self.0 / 2.0 {
            self.0 = (self.0 + (LIMIT_INCREASE / self.0).min(1.0)).min(LARGEST_LIMIT);
        }
    }
}
