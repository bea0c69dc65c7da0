//! Counts of attempts.

use serde::{Deserialize, Serialize};

/// The attempts that were answered, and those of them that failed or were late. The encoding is positional: the order
/// of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// All answered attempts.
    pub answered: u64,
    /// Rejections and errors.
    pub failed: u64,
    /// Answers that missed the latency objective of their class.
    pub late: u64,
}

impl AttemptCounts {
    fn combine(&self, other: &AttemptCounts, with: impl Fn(u64, u64) -> u64) -> AttemptCounts {
        AttemptCounts {
            answered: with(self.answered, other.answered),
            failed: with(self.failed, other.failed),
            late: with(self.late, other.late),
        }
    }

    /// The sum of two counts.
    pub fn plus(&self, other: &AttemptCounts) -> AttemptCounts {
        self.combine(other, u64::saturating_add)
    }

    /// The increase since an earlier reading of the same counts.
    pub fn since(&self, earlier: &AttemptCounts) -> AttemptCounts {
        self.combine(earlier, u64::saturating_sub)
    }
}

/// The attempts at the upgraded members and at the others that one proxy counted. Each count only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CanaryCounts {
    /// At the upgraded members.
    pub canary: AttemptCounts,
    /// At the others.
    pub baseline: AttemptCounts,
}

impl CanaryCounts {
    fn combine(&self, other: &CanaryCounts, with: impl Fn(u64, u64) -> u64 + Copy) -> CanaryCounts {
        CanaryCounts {
            canary: self.canary.combine(&other.canary, with),
            baseline: self.baseline.combine(&other.baseline, with),
        }
    }

    /// The sum of two proxies' counts.
    pub fn plus(&self, other: &CanaryCounts) -> CanaryCounts {
        self.combine(other, u64::saturating_add)
    }

    /// The increase since an earlier reading of the same counts.
    pub fn since(&self, earlier: &CanaryCounts) -> CanaryCounts {
        self.combine(earlier, u64::saturating_sub)
    }

    /// Merges another copy of the same proxy's counts into this one.
    pub fn merge(&mut self, other: &CanaryCounts) {
        *self = self.combine(other, u64::max);
    }
}
