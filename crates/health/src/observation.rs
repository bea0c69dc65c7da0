//! The outcomes of attempts, and the observations of members that proxies publish.

use crate::window::{LOG_RATIO_SCALE, MAX_LOG_RATIO};
use crate::Micros;
use serde::{Deserialize, Serialize};

/// The score from which an observation puts its member in question (1.7 times the baseline latency), so that
/// the other reporters publish theirs too.
pub const QUESTIONABLE_SCORE: f64 = 0.55;
/// The shrinkage of a score towards zero: the number of neutral samples that are added to it.
const PRIOR_SAMPLES: f64 = 3.0;

/// The outcome of an attempt at a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered {
        /// The class of the request.
        class: usize,
        /// The time since the attempt was sent.
        latency: Micros,
    },
    /// It was answered with an error.
    Error,
    /// The member rejected it because it was overloaded.
    Rejected,
    /// There was no connection or no answer in time.
    Unreachable,
}

/// One proxy's observation of a member, as it is replicated. The order of the fields is part of the encoding
/// and determines how copies merge: the greater one wins, that is, the newer incarnation, then the newer
/// window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HealthObservation {
    /// The incarnation of the member: the start time of its process in Unix milliseconds, as in the endpoint
    /// list. An observation is not valid after a restart of the member.
    pub incarnation_ms: i64,
    /// The newest window that it includes; evidence that is too old does not count.
    pub newest_window: i64,
    /// The mean logarithm of the ratio of latency to baseline, relative to the median of all members at this
    /// proxy, in units of 1/64.
    pub log_ratio: i16,
    /// The number of outcomes that it is based on.
    pub samples: u16,
    /// The number of outcomes that were errors.
    pub errors: u16,
    /// The number of outcomes that were rejections.
    pub rejections: u16,
    /// The number of outcomes that were attempts without an answer.
    pub unreachable: u16,
    /// The greatest replication lag of the member, in milliseconds.
    pub max_lag_ms: u32,
}

impl HealthObservation {
    /// Returns the outlier score: the mean logarithm of the ratio of latency to baseline, shrunk towards zero
    /// if there are few samples.
    pub fn score(&self) -> f64 {
        let samples = f64::from(self.samples);
        let limit = MAX_LOG_RATIO as f64 / LOG_RATIO_SCALE;
        let log_ratio = (f64::from(self.log_ratio) / LOG_RATIO_SCALE).clamp(-limit, limit);
        log_ratio * samples / (samples + PRIOR_SAMPLES)
    }

    /// Returns whether the score puts the member in question.
    pub fn is_questionable(&self) -> bool {
        self.score() >= QUESTIONABLE_SCORE
    }
}
