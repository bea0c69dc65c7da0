//! A concurrency budget at one proxy: a limit on units held open at the same time, such as connections to a
//! member. When the quota falls below the number of units in use, the difference is given up only as units
//! are released. Until then this proxy reports them in its claims, and each allocator counts its claim as
//! leased out.

use crate::{AllocatorQuota, Micros};

/// The extra units demanded for [`DENIAL_WINDOW`] after a denied acquisition.
const EXTRA_AFTER_DENIAL: u64 = 4;
const DENIAL_WINDOW: Micros = 4_000_000;

/// The units that one allocator counts as held by this proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Claim {
    quota: u64,
    /// The units claimed beyond the quota because they have not been released yet.
    unreleased: u64,
    /// The expiry time of the allocator's newest lease, which may be in the past.
    expires_at: Micros,
}

impl Claim {
    fn total(&self) -> u64 {
        self.quota + self.unreleased
    }
}

/// A limit on the number of units that one proxy holds open at the same time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConcurrencyBudget {
    /// The part of the quota that this proxy has without a lease.
    static_quota: u64,
    claims: Vec<Claim>,
    in_use: u64,
    denied_at: Option<Micros>,
}

impl ConcurrencyBudget {
    /// Creates a budget with nothing in use, from a static quota and leases of `allocators` allocators.
    pub fn new(static_quota: u64, allocators: usize) -> ConcurrencyBudget {
        ConcurrencyBudget {
            static_quota,
            claims: vec![Claim::default(); allocators],
            in_use: 0,
            denied_at: None,
        }
    }

    /// Returns the number of units in use.
    pub fn in_use(&self) -> u64 {
        self.in_use
    }

    /// Returns the current quota. More units may be in use until those above the quota are released.
    pub fn quota(&self) -> u64 {
        self.static_quota + self.claims.iter().map(|claim| claim.quota).sum::<u64>()
    }

    /// Sets the current quota from each allocator.
    pub fn set_quotas(&mut self, quotas: &[AllocatorQuota]) {
        for (claim, quota) in self.claims.iter_mut().zip(quotas) {
            let claimed = claim.total();
            claim.quota = quota.amount;
            claim.unreleased = claimed.saturating_sub(quota.amount);
            claim.expires_at = quota.expires_at;
        }
        self.reduce_claims();
    }

    /// Reduces the claims beyond the quota to the number of units in use above it.
    fn reduce_claims(&mut self) {
        let claimed: u64 = self.claims.iter().map(|claim| claim.unreleased).sum();
        let mut surplus = claimed.saturating_sub(self.over_quota());
        for claim in &mut self.claims {
            let reduction = claim.unreleased.min(surplus);
            claim.unreleased -= reduction;
            surplus -= reduction;
        }
    }

    /// Acquires a unit if the quota permits it.
    pub fn try_acquire(&mut self, now: Micros) -> bool {
        let is_permitted = self.in_use < self.quota();
        if is_permitted {
            self.in_use += 1;
        } else {
            self.denied_at = Some(now);
        }
        is_permitted
    }

    /// Releases a unit.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
        self.reduce_claims();
    }

    /// Returns the number of units in use above the quota. These are to be released as soon as they are
    /// idle, and nothing new is acquired meanwhile.
    pub fn over_quota(&self) -> u64 {
        self.in_use.saturating_sub(self.quota())
    }

    /// Returns the number of units that must be released now, idle or not. The allocators that count them
    /// will soon stop doing so, because they have not answered for a lease duration plus `release_grace`.
    pub fn overdue(&self, now: Micros, release_grace: Micros) -> u64 {
        let counted = self.claims.iter().filter(|claim| claim.expires_at + release_grace > now);
        let unreleased: u64 = counted.map(|claim| claim.unreleased).sum();
        self.in_use.saturating_sub(self.quota() + unreleased)
    }

    /// Returns the number of units that the allocator has to count as in use, whether a lease covers them
    /// or not.
    pub fn claim(&self, allocator: usize) -> u64 {
        self.claims.get(allocator).map_or(0, Claim::total).min(self.in_use)
    }

    /// Returns the demand on all allocators together: the units in use, some more after a denial, and at
    /// least one.
    pub fn demand(&self, now: Micros) -> u64 {
        let was_denied = self.denied_at.is_some_and(|at| now - at <= DENIAL_WINDOW);
        let wanted = self.in_use + if was_denied { EXTRA_AFTER_DENIAL } else { 0 };
        wanted.saturating_sub(self.static_quota).max(1)
    }
}
