//! Whether the released answer worse than the others: a sequential likelihood ratio of two rates.
//!
//! Between two looks the released gave n1 answers and the others n0. Under the hypothesis that nothing is wrong a bad
//! answer comes from the released with chance q = r0 n1 / (r0 n1 + n0), r0 being how much worse a sound member may be
//! by nature; under the other, with q1 by the same with r1. Each bad answer multiplies the ratio by q1/q or (1-q1)/(1-q).
//! How many bad ones there are in all plays no part, so load that hurts everyone halts nothing. Under the first
//! hypothesis the ratio is a supermartingale: it ever passes 1/a with a chance of at most a (Ville), however often it is
//! looked at. `a` is shared out evenly over the waves and the two tests.

use serde::{Deserialize, Serialize};

/// A sound member may be this much worse than the others by nature.
const SOUND_RATIO: f64 = 1.5;
/// A bad version is taken to be this much worse.
const BAD_RATIO: f64 = 4.0;
/// The chance that a sound release is ever halted, at most: over all its waves and both tests.
const FALSE_HALTS: f64 = 0.01;
/// Waves that `FALSE_HALTS` is shared out over: 2^16 members.
const WAVES: f64 = 16.0;
/// What one look may add to the logarithm of a ratio at most, so that one member's bad moment halts nothing: five looks
/// are needed. What is cut off the ratio leaves it a supermartingale.
const LOOK_MOST: f64 = 2.0;
/// A wave is accepted before its time once the ratio is below this.
const ACCEPTED: f64 = 0.02;

/// What one proxy saw of the released and the others; each sum only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tally {
    /// Of the released.
    pub released: Trial,
    /// Of the others.
    pub others: Trial,
}

/// Answers, and those of them that were bad.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Trial {
    /// All.
    pub answers: u64,
    /// Refusals and errors.
    pub refused: u64,
    /// Those later than their class allows.
    pub late: u64,
}

impl Trial {
    fn each(&self, other: &Trial, with: impl Fn(u64, u64) -> u64) -> Trial {
        Trial {
            answers: with(self.answers, other.answers),
            refused: with(self.refused, other.refused),
            late: with(self.late, other.late),
        }
    }
}

impl Trial {
    /// The sum of two.
    pub fn plus(&self, other: &Trial) -> Trial {
        self.each(other, u64::saturating_add)
    }

    /// What came since an earlier look at the same sums.
    pub fn since(&self, earlier: &Trial) -> Trial {
        self.each(earlier, u64::saturating_sub)
    }
}

impl Tally {
    fn each(&self, other: &Tally, with: impl Fn(u64, u64) -> u64 + Copy) -> Tally {
        Tally {
            released: self.released.each(&other.released, with),
            others: self.others.each(&other.others, with),
        }
    }

    /// The sum of two proxies' tallies.
    pub fn plus(&self, other: &Tally) -> Tally {
        self.each(other, u64::saturating_add)
    }

    /// Two copies of one proxy's tally become one.
    pub fn merge(&mut self, other: &Tally) {
        *self = self.each(other, u64::max);
    }
}

/// The test, in a release's state: the next look goes on from the last, whichever proxy took it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The wave that is watched; each has a test of its own.
    wave: usize,
    looks: u64,
    seen: Tally,
    refused: f64,
    late: f64,
}

impl Evidence {
    /// Looks at the sums so far, with so many waves done.
    pub fn look(&mut self, wave: usize, sums: &Tally) {
        if wave != self.wave {
            (self.wave, self.refused, self.late) = (wave, 0.0, 0.0);
        }
        let new = sums.each(&self.seen, u64::saturating_sub);
        self.looks += 1;
        self.refused += ratio(&new, |trial| trial.refused);
        self.late += ratio(&new, |trial| trial.late);
        // The sums of a copy that lacks some proxies' may be less than those seen.
        self.seen.merge(sums);
    }

    /// Whether refusals, or late answers, are evidence enough to halt.
    pub fn bad(&self) -> (bool, bool) {
        let past = (2.0 * WAVES / FALSE_HALTS).ln();
        (self.refused >= past, self.late >= past)
    }

    /// Whether the wave is accepted by both tests.
    pub fn accepted(&self) -> bool {
        self.looks > 0 && self.refused.max(self.late) <= ACCEPTED.ln()
    }

    /// The newer look holds.
    pub fn merge(&mut self, other: &Evidence) {
        let order = |e: &Evidence| (e.wave, e.looks, e.seen, e.refused.to_bits(), e.late.to_bits());
        if order(other) > order(self) {
            *self = other.clone();
        }
    }
}

/// What the bad answers between two looks add to the logarithm of the ratio.
fn ratio(new: &Tally, bad: impl Fn(&Trial) -> u64) -> f64 {
    let (n1, n0) = (new.released.answers as f64, new.others.answers as f64);
    if n1 == 0.0 || n0 == 0.0 {
        return 0.0;
    }
    let chance = |ratio: f64| ratio * n1 / (ratio * n1 + n0);
    let (sound, worse) = (chance(SOUND_RATIO), chance(BAD_RATIO));
    let released = bad(&new.released) as f64 * (worse / sound).ln();
    let others = bad(&new.others) as f64 * ((1.0 - worse) / (1.0 - sound)).ln();
    (released + others).min(LOOK_MOST)
}
