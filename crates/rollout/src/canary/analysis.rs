//! A sequential likelihood ratio test of whether the upgraded members answer worse than the others.
//!
//! Between two evaluations the upgraded members gave n1 answers and the others n0. Under the null
//! hypothesis that the new version is sound, a bad answer comes from the upgraded members with
//! probability q = r0 n1 / (r0 n1 + n0), where r0 is how much worse a sound member may be by its nature.
//! Under the alternative the probability is q1, which is computed with r1 instead of r0. Each bad answer
//! multiplies the ratio by q1/q or (1-q1)/(1-q). The total number of bad answers has no influence, so
//! load that affects all members does not halt a rollout. Under the null hypothesis the ratio is a
//! supermartingale: the probability that it ever exceeds 1/a is at most a (Ville's inequality), however
//! often it is evaluated. `a` is divided evenly among the waves and the two tests.

use super::{AttemptCounts, CanaryCounts};
use serde::{Deserialize, Serialize};

/// The factor (r0) by which a sound member's rate of bad answers may exceed the others' by its nature.
const SOUND_RATIO: f64 = 1.5;
/// The factor (r1) by which the rate of bad answers of a bad version is assumed to exceed the others'.
const BAD_RATIO: f64 = 4.0;
/// The upper bound on the probability that a sound rollout is ever halted, over all its waves and both
/// tests.
const FALSE_HALT_PROBABILITY: f64 = 0.01;
/// The number of waves among which `FALSE_HALT_PROBABILITY` is divided. It is enough for 2^16 members.
const WAVES: f64 = 16.0;
/// The most that one evaluation may add to the logarithm of a ratio. A short fault of one member
/// therefore halts nothing: at least five evaluations are needed. A ratio that is capped remains a
/// supermartingale.
const MAX_INCREASE: f64 = 2.0;
/// A wave is accepted early once both ratios are below this value.
const ACCEPTANCE_RATIO: f64 = 0.02;

/// The verdict on the new version from the counts so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CanaryVerdict {
    /// There is no evidence that it is worse.
    NotWorse,
    /// It fails more attempts than the previous version.
    MoreFailures,
    /// Its answers are late more often than those of the previous version.
    MoreLateAnswers,
}

/// The state of the test. It is part of the rollout's state, so that an evaluation continues from the
/// previous one whichever proxy made that. The encoding is positional: the order of the fields is part of
/// the wire format.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CanaryAnalysis {
    /// The current wave. Each wave has its own test.
    wave: usize,
    evaluations: u64,
    last_counts: CanaryCounts,
    failure_log_ratio: f64,
    late_log_ratio: f64,
}

impl CanaryAnalysis {
    /// Evaluates the totals so far for the current wave.
    pub fn evaluate(&mut self, wave: usize, totals: &CanaryCounts) {
        if wave != self.wave {
            self.wave = wave;
            self.failure_log_ratio = 0.0;
            self.late_log_ratio = 0.0;
        }
        let increase = totals.since(&self.last_counts);
        self.evaluations += 1;
        self.failure_log_ratio += log_ratio_increase(&increase, |counts| counts.failed);
        self.late_log_ratio += log_ratio_increase(&increase, |counts| counts.late);
        // A copy that lacks the counts of some proxies may have lower totals than the previous
        // evaluation.
        self.last_counts.merge(totals);
    }

    /// Returns whether there is enough evidence to halt the rollout, and of what kind.
    pub fn verdict(&self) -> CanaryVerdict {
        let threshold = (2.0 * WAVES / FALSE_HALT_PROBABILITY).ln();
        if self.failure_log_ratio >= threshold {
            CanaryVerdict::MoreFailures
        } else if self.late_log_ratio >= threshold {
            CanaryVerdict::MoreLateAnswers
        } else {
            CanaryVerdict::NotWorse
        }
    }

    /// Returns whether both tests accept the wave.
    pub fn is_wave_accepted(&self) -> bool {
        self.evaluations > 0 && self.failure_log_ratio.max(self.late_log_ratio) <= ACCEPTANCE_RATIO.ln()
    }

    /// Merges another copy into this one. The later evaluation wins.
    pub fn merge(&mut self, other: &CanaryAnalysis) {
        if other.merge_order() > self.merge_order() {
            *self = other.clone();
        }
    }

    fn merge_order(&self) -> impl Ord {
        let ratios = [self.failure_log_ratio.to_bits(), self.late_log_ratio.to_bits()];
        (self.wave, self.evaluations, self.last_counts, ratios)
    }
}

/// Returns the increase of the logarithm of the likelihood ratio by the bad answers between two
/// evaluations.
fn log_ratio_increase(increase: &CanaryCounts, bad: impl Fn(&AttemptCounts) -> u64) -> f64 {
    let canary_answers = increase.canary.answered as f64;
    let baseline_answers = increase.baseline.answered as f64;
    if canary_answers == 0.0 || baseline_answers == 0.0 {
        return 0.0;
    }
    let canary_probability =
        |ratio: f64| ratio * canary_answers / (ratio * canary_answers + baseline_answers);
    let sound = canary_probability(SOUND_RATIO);
    let worse = canary_probability(BAD_RATIO);
    let from_canary = bad(&increase.canary) as f64 * (worse / sound).ln();
    let from_baseline = bad(&increase.baseline) as f64 * ((1.0 - worse) / (1.0 - sound)).ln();
    (from_canary + from_baseline).min(MAX_INCREASE)
}
