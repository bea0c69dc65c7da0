//! How much of the demand for one kind of member is shed.

use super::Micros;

/// How much an answer changes the level for each latency objective that it took beyond [`TARGET_STRAIN`].
const LEVEL_STEP: f64 = 1.5;
/// The strain, in latency objectives, up to which no load is shed.
const TARGET_STRAIN: f64 = 0.45;
/// The highest level: `exp(-3)`, about a twentieth, of the demand is still admitted.
const HIGHEST_LEVEL: f64 = 3.0;
/// Decay of the level per µs.
const LEVEL_DECAY_PER_MICRO: f64 = 0.07e-6;
/// Where fewer answers than this come within [`GROUP_RATE_SPAN`](super::group::GROUP_RATE_SPAN), each counts
/// as one of this many: a single long one says nothing about load.
const LEAST_ANSWERS: f64 = 4.0;

/// How much of the demand for one kind of member of a group is shed, as the answers of all of them show; the
/// part `exp(-level)` is admitted. Unlike a concurrency limit it works with one request in flight, and with
/// any number of routers: each sheds a part of its own demand.
#[derive(Default)]
pub(super) struct LoadShedder {
    level: f64,
    updated_at: Micros,
}

impl LoadShedder {
    /// Adapts to an answer or a load report that shows `strain`, in latency objectives, with `others` in
    /// flight at the member and `group_answers` answers of the group within the last second: the more there
    /// are, the less each may move.
    pub(super) fn observe(&mut self, strain: f64, others: usize, group_answers: f64, now: Micros) {
        let weight = 1.0 / ((1.0 + others as f64) * (LEAST_ANSWERS + group_answers));
        let level = self.level(now) + LEVEL_STEP * weight * (strain - TARGET_STRAIN);
        self.level = level.clamp(0.0, HIGHEST_LEVEL);
        self.updated_at = now;
    }

    /// The level at `now`, 0 if no load is shed.
    pub(super) fn level(&self, now: Micros) -> f64 {
        let age = (now - self.updated_at).max(0) as f64;
        self.level * (-age * LEVEL_DECAY_PER_MICRO).exp()
    }
}
