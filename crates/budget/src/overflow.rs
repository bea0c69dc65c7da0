//! The budgets that are limited but have no place in the table of a full lease holder. All budgets of a kind
//! share one limiter with the static quota of each of them, so that they never spend more than the proxy's
//! part of the limit, which needs no lease.

use crate::{BudgetId, BudgetKind, Micros, RateLimiter};
use std::collections::BTreeMap;

/// The shared limiters, at most one for each kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct OverflowBudgets {
    rate_limiters: BTreeMap<BudgetKind, RateLimiter>,
    /// The units in use of each concurrency budget, without the budgets that have none. Their sum is within
    /// the static quota of their kind.
    in_use: BTreeMap<BudgetId, u64>,
    /// The number of registrations that found the table full.
    refused: u64,
}

impl OverflowBudgets {
    /// Counts a registration that found the table full.
    pub(crate) fn record_refusal(&mut self) {
        self.refused += 1;
    }

    /// Returns the number of registrations that found the table full.
    pub(crate) fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns whether a unit could be spent now.
    pub(crate) fn can_spend(&mut self, now: Micros, budget: BudgetId, static_quota: u64) -> bool {
        self.rate_limiter(now, budget, static_quota)
            .is_some_and(|limiter| limiter.can_spend(now, static_quota))
    }

    /// Spends a unit if the shared quota permits it.
    pub(crate) fn try_spend(&mut self, now: Micros, budget: BudgetId, static_quota: u64) -> bool {
        self.rate_limiter(now, budget, static_quota)
            .is_some_and(|limiter| limiter.try_spend(now, static_quota))
    }

    fn rate_limiter(&mut self, now: Micros, budget: BudgetId, static_quota: u64) -> Option<&mut RateLimiter> {
        let kind = BudgetKind::of(budget)?;
        let limiter = self.rate_limiters.entry(kind).or_insert_with(|| RateLimiter::new(now));
        limiter.set_quota(now, static_quota);
        Some(limiter)
    }

    /// Acquires a unit of a concurrency budget if the shared quota permits it.
    pub(crate) fn try_acquire(&mut self, budget: BudgetId, static_quota: u64) -> bool {
        let is_permitted = self.in_use.values().sum::<u64>() < static_quota;
        if is_permitted {
            *self.in_use.entry(budget).or_default() += 1;
        }
        is_permitted
    }

    /// Releases a unit of a concurrency budget; returns false if none was acquired here.
    pub(crate) fn release(&mut self, budget: BudgetId) -> bool {
        let Some(in_use) = self.in_use.get_mut(&budget) else { return false };
        *in_use -= 1;
        if *in_use == 0 {
            self.in_use.remove(&budget);
        }
        true
    }
}
