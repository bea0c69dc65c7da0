//! The rate of events that this router sees: requests that arrive, answers of a member.

use super::Micros;

/// The time constant, in µs, over which a rate is averaged.
pub(super) const AVERAGING_SPAN: f64 = 4e6;
/// The largest age, in µs, that is counted, so that the subtraction's result converts exactly.
const LONGEST_AGE: Micros = 1 << 40;

/// An exponentially decaying average of events per microsecond.
#[derive(Default)]
pub(super) struct EventRate {
    per_micro: f64,
    updated_at: Micros,
}

impl EventRate {
    /// A rate that was measured at `updated_at`.
    pub(super) fn new(per_micro: f64, updated_at: Micros) -> Self {
        EventRate { per_micro, updated_at }
    }

    /// The rate at `now`: without further events it decays.
    pub(super) fn at(&self, now: Micros) -> f64 {
        let age = (now - self.updated_at).min(LONGEST_AGE) as f64;
        self.per_micro * (-age / AVERAGING_SPAN).exp()
    }

    /// Counts an event.
    pub(super) fn record(&mut self, now: Micros) {
        self.per_micro = self.at(now) + 1.0 / AVERAGING_SPAN;
        self.updated_at = now;
    }
}
