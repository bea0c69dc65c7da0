//! The lease holder at one proxy: its leases, its limiters, and when it sends requests to which allocator.

use crate::overflow::OverflowBudgets;
use crate::request_schedule::RequestSchedule;
use crate::{
    BudgetAmount, BudgetId, BudgetKind, BudgetLimits, ConcurrencyBudget, GrantEffect, HolderId, LeaseGrant,
    LeaseRequest, LeaseTable, LeaseTerms, Micros, RateLimiter,
};
use std::collections::BTreeMap;

/// The time before the end of the release grace at which units are reported as overdue. The caller checks
/// once a second and then needs some time to close them.
const OVERDUE_LEAD: Micros = 1_500_000;
/// The maximum number of budgets of one proxy, such as those of its members. It keeps a request within one
/// datagram. Further budgets get no leases: those of a kind share the static quota of one of them.
pub const MAX_BUDGETS: usize = 4_096;

/// The units of a concurrency budget in use above its quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Excess {
    /// The number of units in use above the quota.
    pub over_quota: u64,
    /// The number of these that must be released now, idle or not.
    pub overdue: u64,
}

/// The budgets of one proxy, limited by its leases and static quotas.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    leases: LeaseTable,
    terms: LeaseTerms,
    /// The quotas that this proxy has without a lease, whether or not allocators answer.
    static_quotas: BudgetLimits,
    rate_limiters: BTreeMap<BudgetId, RateLimiter>,
    concurrency_budgets: BTreeMap<BudgetId, ConcurrencyBudget>,
    /// The budgets beyond [`MAX_BUDGETS`].
    overflow: OverflowBudgets,
    schedule: RequestSchedule,
    /// Determines at which allocator this proxy starts to distribute the remainder of a demand that cannot
    /// be divided evenly.
    remainder_offset: u64,
}

impl LeaseHolder {
    /// Creates a holder without leases for a newly started process.
    pub fn new(
        holder: HolderId,
        terms: LeaseTerms,
        allocators: usize,
        budgets: Vec<BudgetId>,
        now: Micros,
    ) -> LeaseHolder {
        LeaseHolder {
            leases: LeaseTable::new(holder, terms.clone(), allocators),
            schedule: RequestSchedule::new(terms.request_interval, allocators, now),
            terms,
            static_quotas: BudgetLimits::default(),
            rate_limiters: budgets.into_iter().map(|budget| (budget, RateLimiter::new(now))).collect(),
            concurrency_budgets: BTreeMap::new(),
            overflow: OverflowBudgets::default(),
            remainder_offset: holder >> 16 ^ holder,
        }
    }

    /// Sets the static quotas that apply in addition to the leases.
    pub fn with_static_quotas(self, static_quotas: BudgetLimits) -> LeaseHolder {
        LeaseHolder { static_quotas, ..self }
    }

    /// Registers a budget. Nothing may be spent in its first second, because the previous process of this
    /// proxy may have spent the quota until now.
    pub fn register(&mut self, now: Micros, budget: BudgetId) {
        if self.is_registered(budget) {
            return;
        }
        if self.rate_limiters.len() + self.concurrency_budgets.len() >= MAX_BUDGETS {
            return self.overflow.record_refusal();
        }
        if BudgetKind::is_concurrency(budget) {
            let concurrency = ConcurrencyBudget::new(self.static_quota(budget), self.leases.allocators());
            self.concurrency_budgets.insert(budget, concurrency);
        } else {
            self.rate_limiters.insert(budget, RateLimiter::new(now));
        }
        self.schedule.request_soon_from_all(now);
    }

    fn is_registered(&self, budget: BudgetId) -> bool {
        self.rate_limiters.contains_key(&budget) || self.concurrency_budgets.contains_key(&budget)
    }

    /// Returns the number of registrations that found the table full.
    pub fn refused_registrations(&self) -> u64 {
        self.overflow.refused()
    }

    fn static_quota(&self, budget: BudgetId) -> u64 {
        self.static_quotas.get(budget).unwrap_or(0)
    }

    /// Removes the budgets for which `is_kept` returns false. A concurrency budget stays as long as any of
    /// its units is in use.
    pub fn retain(&mut self, is_kept: impl Fn(BudgetId) -> bool) {
        self.rate_limiters.retain(|budget, _| is_kept(*budget));
        self.concurrency_budgets.retain(|budget, concurrency| concurrency.in_use() > 0 || is_kept(*budget));
    }

    /// Returns the requests that are due now, each with the allocator to send it to. The demand is divided
    /// equally among the reachable allocators, so that under a network partition these make up for the
    /// others.
    pub fn due_requests(&mut self, now: Micros) -> Vec<(usize, LeaseRequest)> {
        self.refresh_quotas(now);
        let reachable = self.leases.reachable_allocators(now).max(1) as u64;
        let mut requests = Vec::new();
        for allocator in 0..self.schedule.allocators() {
            if !self.schedule.take_due(now, allocator) {
                continue;
            }
            let demand = self.demand(now, allocator, reachable);
            if let Some(request) = self.request(now, allocator, demand) {
                requests.push((allocator, request));
            }
        }
        requests
    }

    /// Returns the part of the demand per budget to request from one allocator.
    fn demand(&mut self, now: Micros, allocator: usize, reachable: u64) -> Vec<BudgetAmount> {
        let allocators = self.schedule.allocators().max(1) as u64;
        // Each proxy starts with a different allocator when it distributes the remainder. Rounding up at
        // every allocator would leave hundreds of small quotas unused.
        let position = (allocator as u64 + self.remainder_offset) % allocators;
        let part = |demand: u64| demand / reachable + u64::from(position < demand % reachable);
        let rates = self
            .rate_limiters
            .iter_mut()
            .map(|(budget, limiter)| BudgetAmount::new(*budget, part(limiter.demand(now))));
        let mut demand: Vec<BudgetAmount> = rates.collect();
        demand.extend(
            self.concurrency_budgets
                .iter()
                .map(|(budget, concurrency)| BudgetAmount::new(*budget, part(concurrency.demand(now)))),
        );
        demand
    }

    /// Creates a request that is sent to an allocator now, with the units in use that this allocator
    /// counts. Returns `None` if there is no such allocator.
    pub fn request(
        &mut self,
        now: Micros,
        allocator: usize,
        demand: Vec<BudgetAmount>,
    ) -> Option<LeaseRequest> {
        let claims = self
            .concurrency_budgets
            .iter()
            .map(|(budget, concurrency)| BudgetAmount::new(*budget, concurrency.claim(allocator)));
        let in_use = claims.filter(|claim| claim.amount > 0).collect();
        self.leases.request(now, allocator, demand, in_use)
    }

    /// Processes an allocator's answer. Returns whether it changed anything.
    pub fn on_grant(&mut self, now: Micros, allocator: usize, grant: &LeaseGrant) -> bool {
        let effect = self.leases.on_grant(now, allocator, grant);
        match effect {
            Some(GrantEffect { is_reduced: true, .. }) => self.schedule.request_now(now, allocator),
            Some(GrantEffect { more_available: true, .. }) => self.schedule.request_soon(now, allocator),
            Some(_) | None => {}
        }
        self.refresh_quotas(now);
        effect.is_some()
    }

    /// Passes the current quotas to the limiters. This is done on every change, because a temporarily
    /// smaller quota limits the spending of the following second.
    pub fn refresh_quotas(&mut self, now: Micros) {
        for (budget, limiter) in &mut self.rate_limiters {
            let static_quota = self.static_quotas.get(*budget).unwrap_or(0);
            limiter.set_quota(now, self.leases.quota(now, *budget) + static_quota);
        }
        for (budget, concurrency) in &mut self.concurrency_budgets {
            concurrency.set_quotas(&self.leases.allocator_quotas(now, *budget));
        }
    }

    /// Spends a unit of a budget if its quota permits it. A budget without a limit is not limited; one with a
    /// limit that is not registered shares the static quota of its kind.
    pub fn try_spend(&mut self, now: Micros, budget: BudgetId) -> bool {
        let quota = self.quota(now, budget);
        if let Some(limiter) = self.rate_limiters.get_mut(&budget) {
            return limiter.try_spend(now, quota);
        }
        let static_quota = self.static_quotas.get(budget);
        static_quota.is_none_or(|quota| self.overflow.try_spend(now, budget, quota))
    }

    /// Spends one unit of each budget, or of none of them. Every budget records the attempt, and those
    /// without a unit left record a denial.
    pub fn try_spend_all(&mut self, now: Micros, budgets: &[BudgetId]) -> bool {
        let is_permitted = budgets.iter().all(|budget| self.can_spend(now, *budget));
        for budget in budgets {
            if is_permitted || !self.can_spend(now, *budget) {
                self.try_spend(now, *budget);
            } else if let Some(limiter) = self.rate_limiters.get_mut(budget) {
                limiter.record_attempt(now);
            }
        }
        is_permitted
    }

    /// Returns whether a unit could be spent now, without spending it.
    pub fn can_spend(&mut self, now: Micros, budget: BudgetId) -> bool {
        let quota = self.quota(now, budget);
        if let Some(limiter) = self.rate_limiters.get_mut(&budget) {
            return limiter.can_spend(now, quota);
        }
        let static_quota = self.static_quotas.get(budget);
        static_quota.is_none_or(|quota| self.overflow.can_spend(now, budget, quota))
    }

    /// Acquires a unit of a concurrency budget if its quota permits it. Budgets that are not registered are
    /// treated as by [`LeaseHolder::try_spend`].
    pub fn try_acquire(&mut self, now: Micros, budget: BudgetId) -> bool {
        let quotas = self.leases.allocator_quotas(now, budget);
        if let Some(concurrency) = self.concurrency_budgets.get_mut(&budget) {
            concurrency.set_quotas(&quotas);
            return concurrency.try_acquire(now);
        }
        let static_quota = self.static_quotas.get(budget);
        static_quota.is_none_or(|quota| self.overflow.try_acquire(budget, quota))
    }

    /// Releases a unit of a concurrency budget.
    pub fn release(&mut self, budget: BudgetId) {
        if self.overflow.release(budget) {
            return;
        }
        if let Some(concurrency) = self.concurrency_budgets.get_mut(&budget) {
            concurrency.release();
        }
    }

    /// Returns the units of a concurrency budget in use above its quota.
    pub fn excess(&mut self, now: Micros, budget: BudgetId) -> Excess {
        let quotas = self.leases.allocator_quotas(now, budget);
        let release_grace = (self.terms.release_grace - OVERDUE_LEAD).max(0);
        let Some(concurrency) = self.concurrency_budgets.get_mut(&budget) else { return Excess::default() };
        concurrency.set_quotas(&quotas);
        Excess { over_quota: concurrency.over_quota(), overdue: concurrency.overdue(now, release_grace) }
    }

    /// Returns the current quota, leased and static.
    pub fn quota(&self, now: Micros, budget: BudgetId) -> u64 {
        self.leases.quota(now, budget) + self.static_quota(budget)
    }

    /// Returns the time at which [`LeaseHolder::due_requests`] next returns a request.
    pub fn next_due(&self) -> Micros {
        self.schedule.next_due()
    }

    /// Returns the expiry time of an allocator's newest lease, which may be in the past.
    pub fn lease_expires_at(&self, allocator: usize) -> Micros {
        self.leases.expires_at(allocator)
    }

    /// Returns the number of allocators that have answered within a lease duration.
    pub fn reachable_allocators(&self, now: Micros) -> usize {
        self.leases.reachable_allocators(now)
    }

    /// Returns the rate limiter of a budget.
    pub fn rate_limiter(&self, budget: BudgetId) -> Option<&RateLimiter> {
        self.rate_limiters.get(&budget)
    }

    /// Returns the rate limiters of all budgets that limit units per second.
    pub fn rate_limiters(&self) -> impl Iterator<Item = (BudgetId, &RateLimiter)> {
        self.rate_limiters.iter().map(|(budget, limiter)| (*budget, limiter))
    }

    /// Returns a concurrency budget.
    pub fn concurrency_budget(&self, budget: BudgetId) -> Option<&ConcurrencyBudget> {
        self.concurrency_budgets.get(&budget)
    }

    /// Returns all concurrency budgets.
    pub fn concurrency_budgets(&self) -> impl Iterator<Item = (BudgetId, &ConcurrencyBudget)> {
        self.concurrency_budgets.iter().map(|(budget, concurrency)| (*budget, concurrency))
    }
}
