//! The limit on the units that one proxy spends per second on a budget, and the estimate of its demand.

use crate::Micros;
use std::collections::VecDeque;

/// The length of the sliding window over which spending is counted.
const SECOND: Micros = 1_000_000;
/// The maximum number of spends remembered within a second. A higher quota is enforced as if it were this
/// one.
const MAX_SPENDS: usize = 65_536;
/// The time constant, in microseconds, of the exponentially decaying mean of attempts from which the demand
/// is estimated.
const MEAN_TIME_CONSTANT: f64 = 4e6;
/// The factor by which the demand exceeds the mean while attempts are denied, so that the quota grows with
/// the demand. While the quota suffices no more than the mean is demanded, because a quota that is unused
/// here is missing at other proxies.
const DENIAL_GROWTH_FACTOR: f64 = 1.1;
/// A limiter younger than this estimates the demand as if it had this age, because it has not yet seen
/// enough attempts.
const MIN_AGE: Micros = 300_000;
/// The reported demand stays unchanged while it falls by less than this fraction. Every change of a quota
/// costs the second in which the smaller quota applies.
const HYSTERESIS: f64 = 0.2;

/// A quota and the time from which it was in force.
#[derive(Clone, Copy, Debug)]
struct QuotaChange {
    from: Micros,
    quota: u64,
}

/// A sliding-window rate limiter for one budget at one proxy, which also estimates the demand.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    /// The times at which units were spent within the last second.
    spends: VecDeque<Micros>,
    /// The quotas that were in force within the last second, oldest first.
    quotas: VecDeque<QuotaChange>,
    /// The mean rate of attempts per second, decayed up to `decayed_at`.
    attempt_rate: f64,
    decayed_at: Micros,
    created_at: Micros,
    denied_at: Option<Micros>,
    /// The most recently reported demand.
    reported_demand: u64,
    /// The number of permitted attempts.
    pub spent: u64,
    /// The number of denied attempts.
    pub denied: u64,
}

impl RateLimiter {
    /// Creates a limiter without a quota.
    pub fn new(now: Micros) -> RateLimiter {
        RateLimiter {
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

    /// Sets the quota in force from now on, in units per second.
    pub fn set_quota(&mut self, now: Micros, quota: u64) {
        if self.quotas.back().is_none_or(|last| last.quota != quota) {
            self.quotas.push_back(QuotaChange { from: now, quota });
        }
        // The first entry is still needed while the second one is younger than the window.
        while self.quotas.get(1).is_some_and(|second| now - second.from >= SECOND) {
            self.quotas.pop_front();
        }
    }

    /// Returns how much may be spent within the second that ends now: the smallest quota of that second. A
    /// quota that grows applies one second later, because another proxy may have spent the units that it
    /// gave up until that moment. This way the fleet never spends more than its limit in any second.
    pub fn usable_quota(&self) -> u64 {
        self.quotas.iter().map(|change| change.quota).min().unwrap_or(0)
    }

    /// Returns whether a unit could be spent now under this quota.
    pub fn can_spend(&mut self, now: Micros, quota: u64) -> bool {
        self.set_quota(now, quota);
        self.expire_spends(now);
        (self.spends.len() as u64) < self.usable_quota().min(MAX_SPENDS as u64)
    }

    /// Records an attempt that another budget denied. It counts as demand on this budget as well.
    pub fn record_attempt(&mut self, now: Micros) {
        self.decay(now);
        self.attempt_rate += SECOND as f64 / MEAN_TIME_CONSTANT;
    }

    /// Spends a unit if the quota permits it, and records the attempt.
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

    /// Returns the demand of this proxy, in units per second. It is at least one, so that a proxy that has
    /// just joined gets a quota.
    pub fn demand(&mut self, now: Micros) -> u64 {
        let demand = self.estimate_demand(now);
        let is_large_decrease = (demand as f64) < self.reported_demand as f64 * (1.0 - HYSTERESIS);
        if demand > self.reported_demand || is_large_decrease {
            self.reported_demand = demand;
        }
        self.reported_demand
    }

    fn estimate_demand(&mut self, now: Micros) -> u64 {
        self.decay(now);
        let was_denied = self.denied_at.is_some_and(|at| (now - at) as f64 <= MEAN_TIME_CONSTANT);
        let factor = if was_denied { DENIAL_GROWTH_FACTOR } else { 1.0 };
        // A young limiter has observed only this fraction of the mean's time span.
        let age = (now - self.created_at).max(MIN_AGE) as f64;
        let observed_fraction = 1.0 - (-age / MEAN_TIME_CONSTANT).exp();
        (self.attempt_rate / observed_fraction * factor).ceil().max(1.0) as u64
    }

    /// Removes the spends that are a second old or older.
    fn expire_spends(&mut self, now: Micros) {
        while self.spends.front().is_some_and(|at| now - at >= SECOND) {
            self.spends.pop_front();
        }
    }

    fn decay(&mut self, now: Micros) {
        self.attempt_rate *= (-((now - self.decayed_at).max(0) as f64) / MEAN_TIME_CONSTANT).exp();
        self.decayed_at = self.decayed_at.max(now);
    }
}
