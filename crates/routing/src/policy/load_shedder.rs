//! Adaptive load shedding for the members of one role in a group.

use super::Micros;

/// The change of the level per answer, for each latency objective of load pressure beyond
/// [`TARGET_PRESSURE`].
const LEVEL_STEP: f64 = 1.5;
/// The load pressure, in latency objectives, up to which no load is shed.
const TARGET_PRESSURE: f64 = 0.45;
/// The maximum level, at which `exp(-3)`, about a twentieth, of the demand is still admitted.
const MAX_LEVEL: f64 = 3.0;
/// The decay rate of the level, per µs.
const LEVEL_DECAY_PER_MICRO: f64 = 0.07e-6;
/// Added to the number of answers within [`GROUP_RATE_WINDOW`](super::group::GROUP_RATE_WINDOW) when an
/// answer is weighted, so that where answers are few, a single slow one changes the level little: it says
/// nothing about load.
const BASE_ANSWERS: f64 = 4.0;

/// The shed level of the demand for the members of one role in a group, adapted to the answers of all of
/// them. The fraction `exp(-level)` of the demand is admitted. Unlike a concurrency limit, this works with a
/// single request in flight and with any number of routers, since each sheds a fraction of its own demand.
#[derive(Default)]
pub(super) struct LoadShedder {
    level: f64,
    updated_at: Micros,
}

impl LoadShedder {
    /// Adapts the level to an answer or a load report that shows this load pressure, in latency objectives.
    /// The more `others` are in flight at the member, and the more answers (`group_answers`) the group gave
    /// within the last second, the less each changes the level.
    pub(super) fn observe(&mut self, load_pressure: f64, others: usize, group_answers: f64, now: Micros) {
        let weight = 1.0 / ((1.0 + others as f64) * (BASE_ANSWERS + group_answers));
        let level = self.level(now) + LEVEL_STEP * weight * (load_pressure - TARGET_PRESSURE);
        self.level = level.clamp(0.0, MAX_LEVEL);
        self.updated_at = now;
    }

    /// The level at `now`; 0 if no load is shed.
    pub(super) fn level(&self, now: Micros) -> f64 {
        let age = (now - self.updated_at).max(0) as f64;
        self.level * (-age * LEVEL_DECAY_PER_MICRO).exp()
    }
}
