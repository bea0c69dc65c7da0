//! The usual latency of each class of requests.

use crate::window::{LOG_RATIO_SCALE, MAX_LOG_RATIO};
use crate::Micros;
use std::collections::BTreeMap;

/// The baseline is the mean of so many first answers. They are so few that a member which turns slow soon after the
/// start does not make its own latency usual: a primary of three has a third of all writes.
const WARM_UP_ANSWERS: f64 = 32.0;
/// The weight of each later answer in the moving average: slower than any fault.
const SMOOTHING: f64 = 0.002;
/// The number of classes that have a baseline.
const MAX_CLASSES: usize = 64;

#[derive(Clone, Debug)]
struct Baseline {
    mean_log_latency: f64,
    answers: f64,
}

/// The usual latency of each class, as the mean logarithm.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassBaselines {
    classes: BTreeMap<usize, Baseline>,
}

impl ClassBaselines {
    /// Compares a latency with its class's baseline, which it moves a little. Returns the logarithm of the ratio in units
    /// of 1/64; none for a class that has no baseline.
    pub(crate) fn log_ratio(&mut self, class: usize, latency: Micros) -> Option<i64> {
        if class >= MAX_CLASSES {
            return None;
        }
        let log_latency = (latency.max(1) as f64).ln();
        let baseline =
            self.classes.entry(class).or_insert(Baseline { mean_log_latency: log_latency, answers: 0.0 });
        baseline.update(log_latency);
        let log_ratio = ((log_latency - baseline.mean_log_latency) * LOG_RATIO_SCALE).round() as i64;
        Some(log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO))
    }
}

impl Baseline {
    fn update(&mut self, log_latency: f64) {
        self.answers += 1.0;
        let weight = if self.answers <= WARM_UP_ANSWERS { 1.0 / self.answers } else { SMOOTHING };
        self.mean_log_latency += (log_latency - self.mean_log_latency) * weight;
    }
}
