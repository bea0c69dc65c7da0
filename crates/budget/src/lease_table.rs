//! The leases that one proxy holds: only the newest one received from each allocator.

use crate::messages::by_budget;
use crate::{BudgetAmount, BudgetId, HolderId, LeaseGrant, LeaseRequest, LeaseTerms, Micros};
use std::collections::BTreeMap;

/// The maximum number of unanswered requests per allocator. The oldest ones are dropped, and answers to
/// them are ignored.
const MAX_PENDING_REQUESTS: usize = 8;

/// The newest lease from one allocator and the unanswered requests to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct AllocatorEntry {
    /// The sequence number of the newest request.
    newest_request: u64,
    /// The send times of unanswered requests, by sequence number.
    pending: BTreeMap<u64, Micros>,
    /// The number of the newest lease. `expires_at` and `amounts` belong to the same lease.
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

/// The effect of a received grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantEffect {
    /// Some quota became smaller. The allocator should be told at once that the previous lease is no longer
    /// used.
    pub is_reduced: bool,
    /// The allocator expects to grant more soon.
    pub more_available: bool,
}

/// The part of a quota that one allocator has leased out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllocatorQuota {
    /// The amount in force now.
    pub amount: u64,
    /// The expiry time of the allocator's newest lease, which may be in the past.
    pub expires_at: Micros,
}

/// The leases that one proxy holds from all allocators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    holder: HolderId,
    terms: LeaseTerms,
    entries: Vec<AllocatorEntry>,
}

impl LeaseTable {
    /// Creates an empty table for the leases of `allocators` allocators.
    pub fn new(holder: HolderId, terms: LeaseTerms, allocators: usize) -> LeaseTable {
        LeaseTable { holder, terms, entries: vec![AllocatorEntry::default(); allocators] }
    }

    /// Creates a request that is sent to an allocator now. `in_use` lists the units of concurrency budgets
    /// in use that this allocator counts. Returns `None` if there is no such allocator.
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

    /// Processes an allocator's answer. Returns `None` if it changes nothing: it is for another process,
    /// answers no pending request, or is older than the current lease. This proxy has confirmed to the
    /// allocator that it no longer uses older leases.
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

    /// Returns the current quota: the sum of what all allocators have leased to this proxy.
    pub fn quota(&self, now: Micros, budget: BudgetId) -> u64 {
        let in_force = self.entries.iter().filter(|entry| entry.is_in_force(now));
        in_force.filter_map(|entry| entry.amounts.get(&budget)).sum()
    }

    /// Returns each allocator's part of the current quota.
    pub fn allocator_quotas(&self, now: Micros, budget: BudgetId) -> Vec<AllocatorQuota> {
        let quota = |entry: &AllocatorEntry| AllocatorQuota {
            amount: if entry.is_in_force(now) { entry.amount(budget) } else { 0 },
            expires_at: entry.expires_at,
        };
        self.entries.iter().map(quota).collect()
    }

    /// Returns the expiry time of an allocator's newest lease, which may be in the past.
    pub fn expires_at(&self, allocator: usize) -> Micros {
        self.entries.get(allocator).map_or(0, |entry| entry.expires_at)
    }

    /// Returns the number of allocators that have answered within a lease duration.
    pub fn reachable_allocators(&self, now: Micros) -> usize {
        let is_reachable = |entry: &&AllocatorEntry| {
            entry.answered_at.is_some_and(|answered_at| now - answered_at <= self.terms.duration)
        };
        self.entries.iter().filter(is_reachable).count()
    }

    /// Returns the number of allocators.
    pub fn allocators(&self) -> usize {
        self.entries.len()
    }
}
