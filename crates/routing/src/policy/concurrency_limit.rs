//! The adaptive limit on this router's concurrent requests at one member.

/// The initial limit, in requests.
const INITIAL_LIMIT: f64 = 4.0;
/// The minimum limit. With less than one request the member would get none, and the limit could never rise
/// again.
const MIN_LIMIT: f64 = 1.0;
/// The maximum limit, in requests.
const MAX_LIMIT: f64 = 64.0;
/// The increase per early answer is this number divided by the limit, so that larger limits rise more slowly.
const LIMIT_INCREASE: f64 = 2.0;
/// The fraction by which an answer that takes exactly its latency objective lowers the limit.
const LIMIT_DECREASE_FRACTION: f64 = 0.3;
/// Answers within this fraction of their latency objective count as early and raise the limit.
const EARLY_OBJECTIVE_FRACTION: f64 = 0.25;
/// The maximum latency that is counted, in latency objectives.
const MAX_OBJECTIVE_FRACTION: f64 = 2.0;

/// The number of this router's requests that a member may have in flight, adapted to the latency of its
/// answers by additive increase and multiplicative decrease.
#[derive(Clone, Copy)]
pub(super) struct ConcurrencyLimit(f64);

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit(INITIAL_LIMIT)
    }
}

impl ConcurrencyLimit {
    /// Creates a limit from one that another router learned.
    pub(super) fn learned(limit: f64) -> Self {
        ConcurrencyLimit(limit)
    }

    /// The limit, in requests.
    pub(super) fn value(self) -> f64 {
        self.0
    }

    /// Whether another request may be sent with `in_flight` already in flight.
    pub(super) fn admits(self, in_flight: usize) -> bool {
        (in_flight as f64) < self.0
    }

    /// Adapts to an answer that took `objective_fraction` of its latency objective, with `in_flight` others
    /// in flight. The limit rises only while at least half of it is used, since an early answer under less
    /// load does not show that a higher limit is safe.
    pub(super) fn observe(&mut self, objective_fraction: f64, in_flight: usize) {
        if objective_fraction > EARLY_OBJECTIVE_FRACTION {
            self.0 = (self.0
                * (1.0 - LIMIT_DECREASE_FRACTION * objective_fraction.min(MAX_OBJECTIVE_FRACTION)))
            .max(MIN_LIMIT);
        } else if in_flight as f64 + 1.0 >= self.0 / 2.0 {
            self.0 = (self.0 + (LIMIT_INCREASE / self.0).min(1.0)).min(MAX_LIMIT);
        }
    }
}
