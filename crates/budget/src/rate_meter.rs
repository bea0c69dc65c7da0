//! A budget of things done in a second, at one proxy: what may be spent, and how much is wanted.

use crate::Micros;
use std::collections::VecDeque;

/// The span over which spending is counted.
const SECOND: Micros = 1_000_000;
/// Spends remembered within a second: a quota above this is enforced as if it were this much.
const MAX_SPENDS: usize = 65_536;
/// The demand is the mean rate of attempts over about this span, in microseconds.
const MEAN_SPAN: f64 = 4e6;
/// The demand is so many times the mean while attempts are denied, so that a quota grows with demand. A quota that
/// suffices is not exceeded so, since what lies idle here is missed elsewhere.
const DENIED_FACTOR: f64 = 1.1;
/// The mean of a meter younger than this is taken as if the meter were this old: it has not seen enough to tell.
const MIN_AGE: Micros = 300_000;
/// A demand that falls by less than this part stays as it was: each change of a quota costs the second in which the
/// lesser quota counts.
const HYSTERESIS: f64 = 0.2;

/// A quota and from when on it was in force.
#[derive(Clone, Copy, Debug)]
struct QuotaChange {
    from: Micros,
    quota: u64,
}

/// A sliding-window limiter for one budget at one proxy, which also estimates the demand.
#[derive(Clone, Debug)]
pub struct RateMeter {
    /// When each unit was spent within the last second.
    spends: VecDeque<Micros>,
    /// The quotas that were in force within the last second.
    quotas: VecDeque<QuotaChange>,
    /// The mean rate of attempts a second, decayed up to `decayed_at`.
    attempt_rate: f64,
    decayed_at: Micros,
    created_at: Micros,
    denied_at: Option<Micros>,
    /// The demand as reported last.
    reported_demand: u64,
    /// Attempts that were permitted.
    pub spent: u64,
    /// Attempts that were denied.
    pub denied: u64,
}

impl RateMeter {
    /// A meter with nothing spent, and no quota.
    pub fn new(now: Micros) -> RateMeter {
        RateMeter {
            spends: VecDeque::new(),
            quotas: VecDeque::from([QuotaChange { from: now, quota: 0 }]),
            attempt_rate: 0.0,
            decayed_at: now,
            created_at: now,
            denied_at: None,
            reported_demand: 0,
            spent: 0,
            denied: 0,
        }
    }

    /// Sets the quota in force from now on, in units a second.
    pub fn set_quota(&mut self, now: Micros, quota: u64) {
        if self.quotas.back().is_none_or(|last| last.quota != quota) {
            self.quotas.push_back(QuotaChange { from: now, quota });
        }
        // The first entry is still needed while the second one is younger than the window.
        while self.quotas.get(1).is_some_and(|second| now - second.from >= SECOND) {
            self.quotas.pop_front();
        }
    }

    /// What may be spent within the second that ends now: the least quota of that second. What another proxy gave up it
    /// may have spent until then, so a quota that grows counts a second later; then the fleet spends no more than its
    /// limit in any second.
    pub fn usable_quota(&self) -> u64 {
        self.quotas.iter().map(|change| change.quota).min().unwrap_or(0)
    }

    /// Whether a unit could be spent now under this quota.
    pub fn can_spend(&mut self, now: Micros, quota: u64) -> bool {
        self.set_quota(now, quota);
        self.expire_spends(now);
        (self.spends.len() as u64) < self.usable_quota().min(MAX_SPENDS as u64)
    }

    /// Records an attempt that another budget denied: it counts as demand of this one all the same.
    pub fn record_attempt(&mut self, now: Micros) {
        self.decay(now);
        self.attempt_rate += SECOND as f64 / MEAN_SPAN;
    }

    /// Spends one unit where the quota allows, and records the attempt.
    pub fn try_spend(&mut self, now: Micros, quota: u64) -> bool {
        self.record_attempt(now);
        let is_permitted = self.can_spend(now, quota);
        if is_permitted {
            self.spends.push_back(now);
            self.spent += 1;
        } else {
            self.denied += 1;
            self.denied_at = Some(now);
        }
        is_permitted
    }

    /// What this proxy wants, in units a second: one at least, so that a proxy that has just joined gets something.
    pub fn demand(&mut self, now: Micros) -> u64 {
        let demand = self.estimate_demand(now);
        let falls_clearly = (demand as f64) < self.reported_demand as f64 * (1.0 - HYSTERESIS);
        if demand > self.reported_demand || falls_clearly {
            self.reported_demand = demand;
        }
        self.reported_demand
    }

    fn estimate_demand(&mut self, now: Micros) -> u64 {
        self.decay(now);
        let was_denied = self.denied_at.is_some_and(|at| (now - at) as f64 <= MEAN_SPAN);
        let factor = if was_denied { DENIED_FACTOR } else { 1.0 };
        // A meter younger than the span has seen only this part of the mean.
        let age = (now - self.created_at).max(MIN_AGE) as f64;
        let seen_part = 1.0 - (-age / MEAN_SPAN).exp();
        (self.attempt_rate / seen_part * factor).ceil().max(1.0) as u64
    }

    /// Forgets what was spent a second ago or before.
    fn expire_spends(&mut self, now: Micros) {
        while self.spends.front().is_some_and(|at| now - at >= SECOND) {
            self.spends.pop_front();
        }
    }

    fn decay(&mut self, now: Micros) {
        self.attempt_rate *= (-((now - self.decayed_at).max(0) as f64) / MEAN_SPAN).exp();
        self.decayed_at = self.decayed_at.max(now);
    }
}
