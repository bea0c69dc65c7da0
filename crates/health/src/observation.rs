//! The outcomes of attempts, and the observation of a member that a proxy publishes.

use crate::window::{LOG_RATIO_SCALE, MAX_LOG_RATIO};
use crate::Micros;
use serde::{Deserialize, Serialize};

/// An observation with this score or more (1.7 usual latencies) puts its member in question: its other reporters publish
/// theirs too.
pub const QUESTIONABLE_SCORE: f64 = 0.55;
/// The shrinkage of a score: it is drawn towards none as if there were so many more samples that show nothing.
const PRIOR_SAMPLES: f64 = 3.0;

/// How an attempt at a member ended.
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
    /// The member was overloaded and rejected it.
    Rejected,
    /// There was no connection, or no answer in time.
    Unreachable,
}

/// What one proxy observes of a member, as it is replicated. The order of the fields is part of the encoding, and by it
/// copies merge: the greater one wins, that is the one of the newer incarnation, then the one of the newer window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HealthObservation {
    /// The incarnation of the member: when its process started, in Unix milliseconds, as the endpoint list has it. An
    /// observation does not outlive a restart of the member.
    pub incarnation_ms: i64,
    /// The newest window that it includes: older evidence does not count.
    pub newest_window: i64,
    /// The mean logarithm of latencies in usual latencies, relative to all members that this proxy sees, in units of
    /// 1/64.
    pub log_ratio: i16,
    /// The number of outcomes that it is based on.
    pub samples: u16,
    /// How many of them were errors.
    pub errors: u16,
    /// How many of them were rejections.
    pub rejections: u16,
    /// How many of them were attempts without an answer.
    pub unreachable: u16,
    /// The greatest replication lag of the member, in milliseconds.
    pub max_lag_ms: u32,
}

impl HealthObservation {
    /// The outlier score: the mean logarithm of latencies in usual latencies, drawn towards none if there are few
    /// samples.
    pub fn score(&self) -> f64 {
        let samples = f64::from(self.samples);
        let limit = MAX_LOG_RATIO as f64 / LOG_RATIO_SCALE;
        let log_ratio = (f64::from(self.log_ratio) / LOG_RATIO_SCALE).clamp(-limit, limit);
        log_ratio * samples / (samples + PRIOR_SAMPLES)
    }

    /// Whether the score puts the member in question.
    pub fn is_questionable(&self) -> bool {
        self.score() >= QUESTIONABLE_SCORE
    }
}
