//! The state machine of a member's ejection. A member is ejected once the evidence against it is consistent,
//! put on probation once the evidence ends, and restored by a recovery ramp that increases the number of
//! proxies that use it.

use crate::Micros;
use std::fmt;

/// The score (the logarithm of the ratio of latency to baseline, minus a margin for chance) from which a
/// member is degraded. It corresponds to about twice the baseline latency, as scores are shrunk towards zero.
const DEGRADED_SCORE: f64 = 0.36;
/// The score from which a member is unhealthy.
const UNHEALTHY_SCORE: f64 = 1.1;
/// The score below which a member may recover.
const RECOVERY_SCORE: f64 = 0.1;
/// The number of consecutive evaluations that must agree before a verdict changes for the worse.
const MIN_STREAK: u32 = 2;
/// The time from the last evidence against a member to its probation. It doubles with each failed recovery.
const BASE_EJECTION_TIME: Micros = 2_000_000;
/// The longest ejection time.
const MAX_EJECTION_TIME: Micros = 32_000_000;
/// The time after which the ejection time of a healthy member is reset to the base.
const EJECTION_TIME_RESET_AFTER: Micros = 60_000_000;
/// The fractions of the proxies that use a member: during its ejection, then at each step of the recovery
/// ramp.
const RAMP: [f64; 4] = [0.0, 0.125, 0.25, 0.5];
/// The duration of each step of the recovery ramp. It is long enough for earlier outcomes to leave the
/// summaries.
const RAMP_STEP_TIME: Micros = 2_000_000;

/// The factor by which the router multiplies the latency of a degraded member, so that it is used only if no
/// other member can serve.
pub const DEGRADED_LATENCY_FACTOR: f64 = 3.0;
/// The factor by which the router multiplies the latency of an unhealthy member, so that it is not used.
pub const UNHEALTHY_LATENCY_FACTOR: f64 = f64::INFINITY;

/// The fleet's verdict on a member, ordered by severity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// There is no evidence against the member.
    #[default]
    Healthy,
    /// Its latency is at least about twice the baseline; reads prefer other members.
    Degraded,
    /// It fails or does not answer; it is not used except on probation.
    Unhealthy,
}

/// Writes the code of the verdict that is used in the log.
impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Verdict::Healthy => "sound",
            Verdict::Degraded => "degraded",
            Verdict::Unhealthy => "out",
        })
    }
}

impl Verdict {
    fn of_score(score: Option<f64>) -> Verdict {
        match score {
            Some(score) if score >= UNHEALTHY_SCORE => Verdict::Unhealthy,
            Some(score) if score >= DEGRADED_SCORE => Verdict::Degraded,
            _ => Verdict::Healthy,
        }
    }
}

/// Whether the limit on ejected members allows another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionLimit {
    /// Another member may be ejected.
    Available,
    /// The maximum number of members is ejected.
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
    /// The time at which the step began, or of the last evidence against the member since then.
    step_began_at: Micros,
    ejection_time: Micros,
    /// The time at which the member last became healthy again; 0 if never.
    recovered_at: Micros,
}

impl Default for EjectionState {
    fn default() -> Self {
        EjectionState {
            verdict: Verdict::Healthy,
            streak: 0,
            ramp_step: 0,
            step_began_at: 0,
            ejection_time: BASE_EJECTION_TIME,
            recovered_at: 0,
        }
    }
}

impl EjectionState {
    /// Returns the current verdict.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns whether the verdict is healthy.
    pub fn is_healthy(&self) -> bool {
        self.verdict == Verdict::Healthy
    }

    /// Returns the fraction of the proxies that use the member as if it were healthy.
    pub fn usage_fraction(&self) -> f64 {
        if self.is_healthy() {
            1.0
        } else {
            RAMP[self.ramp_step]
        }
    }

    /// Returns whether some proxies use the member as if it were healthy, to test whether it has recovered.
    pub fn is_on_probation(&self) -> bool {
        !self.is_healthy() && self.ramp_step > 0
    }

    /// Updates the state with the current score, or none if there are too few observations. Returns whether
    /// the verdict or the step of the recovery ramp changed.
    pub fn evaluate(&mut self, now: Micros, score: Option<f64>, limit: EjectionLimit) -> bool {
        let before = (self.verdict, self.ramp_step);
        let indicated = Verdict::of_score(score);
        self.streak = if indicated == Verdict::Healthy { 0 } else { self.streak + 1 };
        let is_consistent = self.streak >= MIN_STREAK;
        if self.is_healthy() {
            if is_consistent && limit == EjectionLimit::Available {
                self.eject(now, indicated);
            }
        } else if is_consistent {
            self.extend_ejection(now, indicated);
        } else if score.is_some_and(|score| score >= RECOVERY_SCORE) {
            // A score between the two thresholds delays recovery without changing the verdict.
            self.step_began_at = now;
        } else {
            self.recover(now);
        }
        before != (self.verdict, self.ramp_step)
    }

    /// Ejects a healthy member. If it recovered only recently it is flapping, so it stays ejected longer than
    /// the last time.
    fn eject(&mut self, now: Micros, verdict: Verdict) {
        let was_stable = self.recovered_at == 0 || now - self.recovered_at > EJECTION_TIME_RESET_AFTER;
        if was_stable {
            self.ejection_time = BASE_EJECTION_TIME;
        } else {
            self.back_off();
        }
        self.begin_ejection(now, verdict);
    }

    /// Handles further evidence against an ejected member, which ends its probation.
    fn extend_ejection(&mut self, now: Micros, verdict: Verdict) {
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

    /// Advances the recovery ramp once the current step is over. After the last step the member is healthy.
    fn recover(&mut self, now: Micros) {
        let step_time = if self.ramp_step == 0 { self.ejection_time } else { RAMP_STEP_TIME };
        if now - self.step_began_at < step_time {
            return;
        }
        self.ramp_step += 1;
        self.step_began_at = now;
        if self.ramp_step >= RAMP.len() {
            self.verdict = Verdict::Healthy;
            self.ramp_step = 0;
            self.recovered_at = now;
        }
    }
}
