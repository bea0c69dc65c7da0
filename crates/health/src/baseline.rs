//! The baseline latency of each request class.

use crate::window::{LOG_RATIO_SCALE, MAX_LOG_RATIO};
use crate::Micros;
use std::collections::BTreeMap;

/// The number of first answers whose mean is the initial baseline. It is small so that a member that becomes
/// slow soon after the start does not shift the baseline to its own latency: one of three primaries gets a
/// third of all writes.
const WARM_UP_ANSWERS: f64 = 32.0;
/// The weight of each later answer in the moving average. It is low so that the baseline changes more slowly
/// than any fault develops.
const SMOOTHING: f64 = 0.002;
/// The maximum number of classes with a baseline.
const MAX_CLASSES: usize = 64;

#[derive(Clone, Debug)]
struct Baseline {
    mean_log_latency: f64,
    answers: f64,
}

/// The baseline latency of each class, as the mean of logarithms.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassBaselines {
    classes: BTreeMap<usize, Baseline>,
}

impl ClassBaselines {
    /// Updates the baseline of a class with a latency and returns the logarithm of their ratio in units of
    /// 1/64, or none if the class has no baseline.
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
