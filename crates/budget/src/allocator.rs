//! The lease allocator, which owns a fixed part of every limit and leases it to holders according to their
//! demand.

use crate::account::{HolderAccount, Lease};
use crate::fair_division::{divide_max_min, Division};
use crate::{
    BudgetAmount, BudgetId, BudgetKind, BudgetLimits, HolderId, LeaseGrant, LeaseRequest, LeaseTerms, Micros,
};
use std::collections::BTreeMap;

/// The maximum number of tracked holders. Requests of further holders are ignored until a tracked one has
/// expired.
pub const MAX_HOLDERS: usize = 1024;
/// The time for which a computed division is reused, unless a new holder sends a request. This keeps the
/// cost of a request independent of the number of holders.
const DIVISION_REUSE: Micros = 50_000;

/// The amount of one budget that is granted to a holder.
struct Allocation {
    amount: u64,
    /// Whether the holder's fair share exceeds what is currently free.
    is_short: bool,
}

/// An allocator that leases its part of every limit to lease holders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseAllocator {
    terms: LeaseTerms,
    limits: BudgetLimits,
    opens_at: Micros,
    accounts: BTreeMap<HolderId, HolderAccount>,
    divisions: BTreeMap<BudgetId, Division>,
    /// The number of ignored requests: received before the allocator opened, out of order, or over a
    /// capacity limit.
    pub ignored_requests: u64,
}

impl LeaseAllocator {
    /// Creates the allocator of a newly started process, with its part of each limit.
    pub fn new(terms: LeaseTerms, limits: BudgetLimits, now: Micros) -> LeaseAllocator {
        let opens_at = now + terms.startup_delay();
        LeaseAllocator {
            terms,
            limits,
            opens_at,
            accounts: BTreeMap::new(),
            divisions: BTreeMap::new(),
            ignored_requests: 0,
        }
    }

    /// Returns the time from which the allocator grants leases.
    pub fn opens_at(&self) -> Micros {
        self.opens_at
    }

    /// Delays the opening of the allocator to `until`, if that is later than the current opening time.
    pub fn postpone_opening(&mut self, until: Micros) {
        self.opens_at = self.opens_at.max(until);
    }

    /// Returns the amount of a budget that is leased out and may be in use at `now`.
    pub fn outstanding(&self, now: Micros, budget: BudgetId) -> u64 {
        let release_grace = self.release_grace(budget);
        self.accounts.values().map(|account| account.outstanding(now, budget, release_grace)).sum()
    }

    /// Returns the number of tracked lease holders.
    pub fn holder_count(&self) -> usize {
        self.accounts.len()
    }

    /// Answers a request with at most one lease. Returns `None` if the request is ignored, which
    /// [`LeaseAllocator::ignored_requests`] counts.
    pub fn on_request(&mut self, now: Micros, request: &LeaseRequest) -> Option<LeaseGrant> {
        self.expire_leases(now);
        if now < self.opens_at || !self.has_capacity_for(request.holder) {
            self.ignored_requests += 1;
            return None;
        }
        let account = self.accounts.entry(request.holder).or_default();
        if !account.accepts(request) {
            self.ignored_requests += 1;
            return None;
        }
        account.record_request(now, request, &self.limits);
        let budgets: Vec<BudgetId> = account.demand.keys().copied().collect();
        Some(self.grant(now, request, &budgets))
    }

    fn has_capacity_for(&self, holder: HolderId) -> bool {
        self.accounts.contains_key(&holder) || self.accounts.len() < MAX_HOLDERS
    }

    /// Grants a lease on these budgets. The lease takes the sequence number of the request that it answers.
    fn grant(&mut self, now: Micros, request: &LeaseRequest, budgets: &[BudgetId]) -> LeaseGrant {
        let mut amounts = BTreeMap::new();
        let mut more_available = false;
        for &budget in budgets {
            let allocation = self.allocate(now, request.holder, budget);
            more_available |= allocation.is_short;
            amounts.insert(budget, allocation.amount);
        }
        let lease = request.sequence;
        if let Some(account) = self.accounts.get_mut(&request.holder) {
            let expires_at = now + self.terms.duration;
            account.record_lease(Lease { number: lease, expires_at, amounts: amounts.clone() });
        }
        LeaseGrant {
            holder: request.holder,
            request: request.sequence,
            lease,
            amounts: amounts.into_iter().map(BudgetAmount::from).collect(),
            more_available,
        }
    }

    /// Returns the amount of a budget that the holder can be granted now: its fair share, limited to what
    /// no other holder may be using.
    fn allocate(&mut self, now: Micros, holder: HolderId, budget: BudgetId) -> Allocation {
        let free = self.free_for(now, holder, budget);
        let fair_share = self.fair_share(now, budget, holder);
        Allocation { amount: fair_share.min(free), is_short: fair_share > free }
    }

    /// Returns the amount of a budget that no other holder may be using.
    fn free_for(&self, now: Micros, holder: HolderId, budget: BudgetId) -> u64 {
        let release_grace = self.release_grace(budget);
        // Units that holders acquired before this allocator started are known only once the holders have
        // released or reported them.
        if now < self.opens_at + release_grace {
            return 0;
        }
        let others = self.accounts.iter().filter(|(other, _)| **other != holder);
        let outstanding: u64 =
            others.map(|(_, account)| account.outstanding(now, budget, release_grace)).sum();
        self.limits.get(budget).unwrap_or(0).saturating_sub(outstanding)
    }

    /// Returns how long after a lease's expiry its holder may keep units open that it acquired under the
    /// lease.
    fn release_grace(&self, budget: BudgetId) -> Micros {
        if BudgetKind::is_concurrency(budget) {
            self.terms.allocator_release_grace()
        } else {
            0
        }
    }

    /// Drops expired leases and holders without any.
    fn expire_leases(&mut self, now: Micros) {
        let duration = self.terms.duration;
        let release_grace = self.terms.allocator_release_grace();
        for account in self.accounts.values_mut() {
            account.expire_leases(now, duration, release_grace);
        }
        // A holder is kept until its newest request must have arrived or been lost. Otherwise a delayed old
        // request could be taken for a new one.
        let remembered = 2 * duration + release_grace;
        self.accounts
            .retain(|_, account| account.has_leases() || now - account.last_request_at <= remembered);
        self.forget_unused_divisions(now);
    }

    fn forget_unused_divisions(&mut self, now: Micros) {
        let accounts = &self.accounts;
        self.divisions.retain(|budget, division| {
            let is_recent = now - division.computed_at < DIVISION_REUSE;
            is_recent || accounts.values().any(|account| account.demand.contains_key(budget))
        });
    }

    /// Returns a holder's share of a budget, in units, under the current max-min fair division. The
    /// division is recomputed if it is outdated or does not contain the holder.
    pub fn fair_share(&mut self, now: Micros, budget: BudgetId, holder: HolderId) -> u64 {
        let is_current = |division: &Division| {
            now - division.computed_at < DIVISION_REUSE && division.shares.contains_key(&holder)
        };
        if !self.divisions.get(&budget).is_some_and(is_current) {
            let shares = self.divide(now, budget);
            self.divisions.insert(budget, Division { computed_at: now, shares });
        }
        let division = self.divisions.get(&budget);
        division.and_then(|division| division.shares.get(&holder)).copied().unwrap_or(0)
    }

    /// Divides a budget among all holders that sent a request within a lease duration, by their demand.
    fn divide(&self, now: Micros, budget: BudgetId) -> BTreeMap<HolderId, u64> {
        let recent =
            self.accounts.iter().filter(|(_, account)| now - account.last_request_at <= self.terms.duration);
        let demand = recent.filter_map(|(holder, account)| Some((*holder, *account.demand.get(&budget)?)));
        divide_max_min(self.limits.get(budget).unwrap_or(0), now, demand)
    }
}
