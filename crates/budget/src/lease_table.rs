//! The leases that one proxy holds: from each allocator the newest that it has received, and nothing of an older one.

use crate::messages::by_budget;
use crate::{BudgetAmount, BudgetId, HolderId, LeaseGrant, LeaseRequest, LeaseTerms, Micros};
use std::collections::BTreeMap;

/// Requests to one allocator that may be unanswered; older ones are forgotten, and their answers are ignored.
const MAX_PENDING_REQUESTS: usize = 8;

/// The newest lease from one allocator, and the requests to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct AllocatorEntry {
    /// The sequence number of the newest request.
    newest_request: u64,
    /// Unanswered requests by sequence number, and when they were sent.
    pending: BTreeMap<u64, Micros>,
    /// The newest lease's number, expiry and amounts.
    lease: u64,
    expires_at: Micros,
    amounts: BTreeMap<BudgetId, u64>,
    answered_at: Option<Micros>,
}

impl AllocatorEntry {
    fn is_in_force(&self, now: Micros) -> bool {
        self.expires_at > now
    }

    fn amount(&self, budget: BudgetId) -> u64 {
        self.amounts.get(&budget).copied().unwrap_or(0)
    }
}

/// What a grant changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantEffect {
    /// Some quota is smaller than before: the allocator should hear at once that the older lease is no longer used.
    pub is_reduced: bool,
    /// More becomes free soon.
    pub more_available: bool,
}

/// One allocator's part of a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllocatorQuota {
    /// What is in force now.
    pub amount: u64,
    /// When the allocator's newest lease expires or has expired.
    pub expires_at: Micros,
}

/// The leases of one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    holder: HolderId,
    terms: LeaseTerms,
    entries: Vec<AllocatorEntry>,
}

impl LeaseTable {
    /// An empty table for the leases of so many allocators.
    pub fn new(holder: HolderId, terms: LeaseTerms, allocators: usize) -> LeaseTable {
        LeaseTable { holder, terms, entries: vec![AllocatorEntry::default(); allocators] }
    }

    /// Makes a request to an allocator that is sent now. `in_use` is what is held open of concurrency budgets as far
    /// as this allocator counts it. `None` where there is no such allocator.
    pub fn request(
        &mut self,
        now: Micros,
        allocator: usize,
        demand: Vec<BudgetAmount>,
        in_use: Vec<BudgetAmount>,
    ) -> Option<LeaseRequest> {
        let entry = self.entries.get_mut(allocator)?;
        entry.newest_request += 1;
        if entry.pending.len() >= MAX_PENDING_REQUESTS {
            entry.pending.pop_first();
        }
        entry.pending.insert(entry.newest_request, now);
        Some(LeaseRequest {
            holder: self.holder,
            sequence: entry.newest_request,
            newest_lease: entry.lease,
            demand,
            in_use,
        })
    }

    /// Takes an allocator's answer. `None` where it changes nothing: it is not for this process, answers no pending
    /// request, or is older than the lease held, which this proxy has promised not to use any more.
    pub fn on_grant(&mut self, now: Micros, allocator: usize, grant: &LeaseGrant) -> Option<GrantEffect> {
        if grant.holder != self.holder {
            return None;
        }
        let entry = self.entries.get_mut(allocator)?;
        let sent_at = entry.pending.remove(&grant.request)?;
        if grant.lease <= entry.lease {
            return None;
        }
        let previous =
            if entry.is_in_force(now) { std::mem::take(&mut entry.amounts) } else { BTreeMap::new() };
        entry.lease = grant.lease;
        entry.expires_at = sent_at + self.terms.holder_duration();
        entry.amounts = by_budget(grant.amounts.iter().copied());
        entry.answered_at = Some(now);
        let is_reduced = previous.iter().any(|(budget, amount)| entry.amount(*budget) < *amount);
        Some(GrantEffect { is_reduced, more_available: grant.more_available })
    }

    /// The quota in force now: what all allocators have leased out to this proxy.
    pub fn quota(&self, now: Micros, budget: BudgetId) -> u64 {
        let in_force = self.entries.iter().filter(|entry| entry.is_in_force(now));
        in_force.filter_map(|entry| entry.amounts.get(&budget)).sum()
    }

    /// Each allocator's part of the quota in force now.
    pub fn allocator_quotas(&self, now: Micros, budget: BudgetId) -> Vec<AllocatorQuota> {
        let quota = |entry: &AllocatorEntry| AllocatorQuota {
            amount: if entry.is_in_force(now) { entry.amount(budget) } else { 0 },
            expires_at: entry.expires_at,
        };
        self.entries.iter().map(quota).collect()
    }

    /// When an allocator's newest lease expires or has expired.
    pub fn expires_at(&self, allocator: usize) -> Micros {
        self.entries.get(allocator).map_or(0, |entry| entry.expires_at)
    }

    /// How many allocators have answered within a lease's duration.
    pub fn reachable_allocators(&self, now: Micros) -> usize {
        let is_reachable = |entry: &&AllocatorEntry| {
            entry.answered_at.is_some_and(|answered_at| now - answered_at <= self.terms.duration)
        };
        self.entries.iter().filter(is_reachable).count()
    }

    /// How many allocators there are.
    pub fn allocators(&self) -> usize {
        self.entries.len()
    }
}
