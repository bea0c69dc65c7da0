//! Counts of attempts and their outcomes.

use serde::{Deserialize, Serialize};

/// The number of attempts that were answered, and the numbers of those that failed or were late. The
/// encoding is positional: the order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// The number of answered attempts.
    pub answered: u64,
    /// The number of rejections and errors.
    pub failed: u64,
    /// The number of answers that missed the latency objective of their class.
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

    /// Returns the sum of two counts.
    pub fn plus(&self, other: &AttemptCounts) -> AttemptCounts {
        self.combine(other, u64::saturating_add)
    }

    /// Returns the increase since an earlier reading of the same counts.
    pub fn since(&self, earlier: &AttemptCounts) -> AttemptCounts {
        self.combine(earlier, u64::saturating_sub)
    }
}

/// One proxy's counts of the attempts at the upgraded members and at the others. The counts never
/// decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CanaryCounts {
    /// The attempts at the upgraded members.
    pub canary: AttemptCounts,
    /// The attempts at the other members.
    pub baseline: AttemptCounts,
}

impl CanaryCounts {
    fn combine(&self, other: &CanaryCounts, with: impl Fn(u64, u64) -> u64 + Copy) -> CanaryCounts {
        CanaryCounts {
            canary: self.canary.combine(&other.canary, with),
            baseline: self.baseline.combine(&other.baseline, with),
        }
    }

    /// Returns the sum of two proxies' counts.
    pub fn plus(&self, other: &CanaryCounts) -> CanaryCounts {
        self.combine(other, u64::saturating_add)
    }

    /// Returns the increase since an earlier reading of the same counts.
    pub fn since(&self, earlier: &CanaryCounts) -> CanaryCounts {
        self.combine(earlier, u64::saturating_sub)
    }

    /// Merges another copy of the same proxy's counts into this one.
    pub fn merge(&mut self, other: &CanaryCounts) {
        *self = self.combine(other, u64::max);
    }
}
