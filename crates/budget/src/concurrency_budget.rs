//! A budget of things held open at a time, as connections to a member, at one proxy. A quota that falls below what is
//! held open is given up only as things are released: until then this proxy claims what it still holds, and each
//! allocator counts the claim as leased out.

use crate::{AllocatorQuota, Micros};

/// So much more than is in use is wanted for [`DENIED_SPAN`] after an attempt was denied.
const DENIED_EXTRA: u64 = 4;
const DENIED_SPAN: Micros = 4_000_000;

/// What one allocator counts as this proxy's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Claim {
    quota: u64,
    /// What is claimed past the quota, for things that are not released yet.
    unreleased: u64,
    /// When the allocator's newest lease expires or has expired.
    expires_at: Micros,
}

impl Claim {
    fn total(&self) -> u64 {
        self.quota + self.unreleased
    }
}

/// One budget of things held open at one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConcurrencyBudget {
    /// What this proxy has for good, beside what allocators lease out.
    static_quota: u64,
    claims: Vec<Claim>,
    in_use: u64,
    denied_at: Option<Micros>,
}

impl ConcurrencyBudget {
    /// A budget with nothing in use, of a static quota and the leases of so many allocators.
    pub fn new(static_quota: u64, allocators: usize) -> ConcurrencyBudget {
        ConcurrencyBudget {
            static_quota,
            claims: vec![Claim::default(); allocators],
            in_use: 0,
            denied_at: None,
        }
    }

    /// How many are held open.
    pub fn in_use(&self) -> u64 {
        self.in_use
    }

    /// The quota in force: how many may be held open once those past it are released.
    pub fn quota(&self) -> u64 {
        self.static_quota + self.claims.iter().map(|claim| claim.quota).sum::<u64>()
    }

    /// Sets each allocator's quota in force.
    pub fn set_quotas(&mut self, quotas: &[AllocatorQuota]) {
        for (claim, quota) in self.claims.iter_mut().zip(quotas) {
            let claimed = claim.total();
            claim.quota = quota.amount;
            claim.unreleased = claimed.saturating_sub(quota.amount);
            claim.expires_at = quota.expires_at;
        }
        self.reduce_claims();
    }

    /// Claims no more past the quota than what is in use needs.
    fn reduce_claims(&mut self) {
        let claimed: u64 = self.claims.iter().map(|claim| claim.unreleased).sum();
        let mut surplus = claimed.saturating_sub(self.over_quota());
        for claim in &mut self.claims {
            let reduction = claim.unreleased.min(surplus);
            claim.unreleased -= reduction;
            surplus -= reduction;
        }
    }

    /// Acquires one more, where the quota allows.
    pub fn try_acquire(&mut self, now: Micros) -> bool {
        let is_permitted = self.in_use < self.quota();
        if is_permitted {
            self.in_use += 1;
        } else {
            self.denied_at = Some(now);
        }
        is_permitted
    }

    /// Releases one.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
        self.reduce_claims();
    }

    /// How many are in use past the quota: so many are released as soon as they are idle, and nothing new is acquired.
    pub fn over_quota(&self) -> u64 {
        self.in_use.saturating_sub(self.quota())
    }

    /// How many must be released now, idle or not: the allocators that count them will soon not do so any more, since
    /// they have not answered for a lease's duration and `release_grace`.
    pub fn overdue(&self, now: Micros, release_grace: Micros) -> u64 {
        let counted = self.claims.iter().filter(|claim| claim.expires_at + release_grace > now);
        let unreleased: u64 = counted.map(|claim| claim.unreleased).sum();
        self.in_use.saturating_sub(self.quota() + unreleased)
    }

    /// What the allocator is to count as still held open, whether a lease covers it or not.
    pub fn claim(&self, allocator: usize) -> u64 {
        self.claims.get(allocator).map_or(0, Claim::total).min(self.in_use)
    }

    /// What this proxy wants of all allocators: a little more than it has in use where that was too little, and one at
    /// least.
    pub fn demand(&self, now: Micros) -> u64 {
        let was_denied = self.denied_at.is_some_and(|at| now - at <= DENIED_SPAN);
        let wanted = self.in_use + if was_denied { DENIED_EXTRA } else { 0 };
        wanted.saturating_sub(self.static_quota).max(1)
    }
}
