//! Rates of events at this router, such as arrivals of requests or answers of a member.

use super::Micros;

/// The time constant, in µs, of the moving average.
pub(super) const AVERAGING_TIME_CONSTANT: f64 = 4e6;
/// The age, in µs, at which the time since the last event is capped, so that it converts to `f64` exactly.
const MAX_AGE: Micros = 1 << 40;

/// An exponential moving average of events per microsecond.
#[derive(Default)]
pub(super) struct EventRate {
    per_micro: f64,
    updated_at: Micros,
}

impl EventRate {
    /// Creates a rate that was measured at `updated_at`.
    pub(super) fn new(per_micro: f64, updated_at: Micros) -> Self {
        EventRate { per_micro, updated_at }
    }

    /// The rate at `now`, decayed since the last event.
    pub(super) fn at(&self, now: Micros) -> f64 {
        let age = (now - self.updated_at).min(MAX_AGE) as f64;
        self.per_micro * (-age / AVERAGING_TIME_CONSTANT).exp()
    }

    /// Counts an event.
    pub(super) fn record(&mut self, now: Micros) {
        self.per_micro = self.at(now) + 1.0 / AVERAGING_TIME_CONSTANT;
        self.updated_at = now;
    }
}
