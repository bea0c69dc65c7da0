//! The state machine of one member's ejection: it is marked bad once the evidence has been consistent for a while, put
//! on probation once there is no more evidence against it, and taken back by a recovery ramp, by more and more proxies.

use crate::Micros;
use std::fmt;

/// The score (the logarithm of latencies in usual latencies, less a margin for chance) from which a member is degraded:
/// about twice its usual latency, as scores are drawn towards none.
const DEGRADED_SCORE: f64 = 0.36;
/// The score from which a member is out.
const OUT_SCORE: f64 = 1.1;
/// The score below which a member may recover.
const CLEAR_SCORE: f64 = 0.1;
/// The number of consecutive evaluations that must agree before a verdict changes for the worse.
const MIN_STREAK: u32 = 2;
/// The time from the last evidence against a member to its probation. It doubles with each recovery that fails.
const BASE_EJECTION_TIME: Micros = 2_000_000;
/// The longest ejection time.
const MAX_EJECTION_TIME: Micros = 32_000_000;
/// A member that was sound for so long starts at the base ejection time again.
const STABLE_TIME: Micros = 60_000_000;
/// The fractions of the proxies that use a member, from its ejection through the steps of the recovery ramp.
const RAMP: [f64; 4] = [0.0, 0.125, 0.25, 0.5];
/// The time of each step of the recovery ramp: as long as a summary takes to forget.
const RAMP_STEP_TIME: Micros = 2_000_000;

/// The router multiplies the latency of a degraded member by this: it is used where no other can serve.
pub const DEGRADED_LATENCY_FACTOR: f64 = 3.0;
/// The router multiplies the latency of a member that is out by this: it is not used at all.
pub const OUT_LATENCY_FACTOR: f64 = f64::INFINITY;

/// The fleet's verdict on a member. The order is that of severity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// As good as the others, as far as is known.
    #[default]
    Sound,
    /// It takes about twice as long as usual, or longer: reads prefer others.
    Degraded,
    /// It fails or does not answer: it is ejected but for probation.
    Out,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Verdict::Sound => "sound",
            Verdict::Degraded => "degraded",
            Verdict::Out => "out",
        })
    }
}

impl Verdict {
    fn of_score(score: Option<f64>) -> Verdict {
        match score {
            Some(score) if score >= OUT_SCORE => Verdict::Out,
            Some(score) if score >= DEGRADED_SCORE => Verdict::Degraded,
            _ => Verdict::Sound,
        }
    }
}

/// Whether the limit on ejected members leaves room for one more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionLimit {
    /// One more member may be ejected.
    Available,
    /// As many members are ejected as may be.
    Reached,
}

/// The state of one member's ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionState {
    verdict: Verdict,
    /// The number of consecutive evaluations with evidence against the member.
    streak: u32,
    /// The index into [`RAMP`].
    ramp_step: usize,
    /// When the step began, or when there was last evidence against the member in it.
    step_began_at: Micros,
    ejection_time: Micros,
    /// When the member was last taken back completely; 0: never.
    recovered_at: Micros,
}

impl Default for EjectionState {
    fn default() -> Self {
        EjectionState {
            verdict: Verdict::Sound,
            streak: 0,
            ramp_step: 0,
            step_began_at: 0,
            ejection_time: BASE_EJECTION_TIME,
            recovered_at: 0,
        }
    }
}

impl EjectionState {
    /// The current verdict.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Whether the verdict is sound.
    pub fn is_sound(&self) -> bool {
        self.verdict == Verdict::Sound
    }

    /// The fraction of the proxies that use the member as if it were sound.
    pub fn usage_fraction(&self) -> f64 {
        if self.is_sound() {
            1.0
        } else {
            RAMP[self.ramp_step]
        }
    }

    /// Whether some proxies use the member as if it were sound, to see whether it has recovered.
    pub fn is_on_probation(&self) -> bool {
        !self.is_sound() && self.ramp_step > 0
    }

    /// Takes in the current score; none if there are too few observations. Returns whether the verdict or the step of the
    /// recovery ramp changed.
    pub fn evaluate(&mut self, now: Micros, score: Option<f64>, limit: EjectionLimit) -> bool {
        let before = (self.verdict, self.ramp_step);
        let indicated = Verdict::of_score(score);
        self.streak = if indicated == Verdict::Sound { 0 } else { self.streak + 1 };
        let is_consistent = self.streak >= MIN_STREAK;
        if self.is_sound() {
            if is_consistent && limit == EjectionLimit::Available {
                self.eject(now, indicated);
            }
        } else if is_consistent {
            self.eject_again(now, indicated);
        } else if score.is_some_and(|score| score >= CLEAR_SCORE) {
            // Between the two thresholds nothing changes: such evidence allows no step of recovery.
            self.step_began_at = now;
        } else {
            self.recover(now);
        }
        before != (self.verdict, self.ramp_step)
    }

    /// Ejects a sound member. One that was taken back a short time ago flaps: it stays out longer than the last time.
    fn eject(&mut self, now: Micros, verdict: Verdict) {
        let was_stable = self.recovered_at == 0 || now - self.recovered_at > STABLE_TIME;
        if was_stable {
            self.ejection_time = BASE_EJECTION_TIME;
        } else {
            self.back_off();
        }
        self.begin_ejection(now, verdict);
    }

    /// Takes in further evidence against a member that is not sound, which ends its probation.
    fn eject_again(&mut self, now: Micros, verdict: Verdict) {
        if self.ramp_step > 0 {
            self.back_off();
        }
        self.begin_ejection(now, self.verdict.max(verdict));
    }

    fn begin_ejection(&mut self, now: Micros, verdict: Verdict) {
        self.verdict = verdict;
        self.ramp_step = 0;
        self.step_began_at = now;
    }

    fn back_off(&mut self) {
        self.ejection_time = (self.ejection_time * 2).min(MAX_EJECTION_TIME);
    }

    /// Goes one step up the recovery ramp once the current one is over. After the last the member is sound.
    fn recover(&mut self, now: Micros) {
        let step_time = if self.ramp_step == 0 { self.ejection_time } else { RAMP_STEP_TIME };
        if now - self.step_began_at < step_time {
            return;
        }
        self.ramp_step += 1;
        self.step_began_at = now;
        if self.ramp_step >= RAMP.len() {
            self.verdict = Verdict::Sound;
            self.ramp_step = 0;
            self.recovered_at = now;
        }
    }
}
