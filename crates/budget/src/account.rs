//! The state that an allocator keeps for one lease holder.

use crate::messages::by_budget;
use crate::{BudgetId, BudgetKind, BudgetLimits, LeaseRequest, Micros};
use std::collections::BTreeMap;

/// The maximum number of unexpired leases of one holder. Further requests of that holder are ignored until
/// one of the leases expires.
const MAX_LEASES: usize = 32;

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    pub number: u64,
    pub expires_at: Micros,
    pub amounts: BTreeMap<BudgetId, u64>,
}

/// The state of one lease holder at an allocator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HolderAccount {
    /// The sequence number of the newest accepted request.
    newest_request: u64,
    /// The time at which the newest accepted request arrived.
    pub last_request_at: Micros,
    /// The demand per budget in the newest accepted request.
    pub demand: BTreeMap<BudgetId, u64>,
    /// The units of concurrency budgets in use, as reported in the newest accepted request.
    in_use: BTreeMap<BudgetId, u64>,
    /// The leases that the holder may still be using.
    leases: Vec<Lease>,
}

impl HolderAccount {
    /// Returns whether to answer a request. A delayed or duplicated request is rejected because it would
    /// overwrite the newer state.
    pub fn accepts(&self, request: &LeaseRequest) -> bool {
        request.sequence > self.newest_request && self.leases.len() < MAX_LEASES
    }

    /// Updates the state from an accepted request.
    pub fn record_request(&mut self, now: Micros, request: &LeaseRequest, limits: &BudgetLimits) {
        self.newest_request = request.sequence;
        self.last_request_at = now;
        self.leases.retain(|lease| lease.number >= request.newest_lease);
        let known = request.demand.iter().copied().filter(|demand| limits.get(demand.budget).is_some());
        self.demand = by_budget(known);
        let open = request.in_use.iter().copied().filter(|in_use| BudgetKind::is_concurrency(in_use.budget));
        self.in_use = by_budget(open);
    }

    /// Adds a newly granted lease.
    pub fn record_lease(&mut self, lease: Lease) {
        self.leases.push(lease);
    }

    /// Drops leases that expired more than `release_grace` ago, and the reported use of a holder that has
    /// sent no request for `duration` plus `release_grace`.
    pub fn expire_leases(&mut self, now: Micros, duration: Micros, release_grace: Micros) {
        self.leases.retain(|lease| lease.expires_at + release_grace > now);
        if now - self.last_request_at > duration + release_grace {
            self.in_use.clear();
        }
    }

    /// Returns whether any lease may still be in use.
    pub fn has_leases(&self) -> bool {
        !self.leases.is_empty()
    }

    /// Returns the upper bound of what the holder may be using at `now`. A lease counts until
    /// `release_grace` past its expiry.
    pub fn outstanding(&self, now: Micros, budget: BudgetId, release_grace: Micros) -> u64 {
        let in_force = self.leases.iter().filter(|lease| lease.expires_at + release_grace > now);
        let leased = in_force.filter_map(|lease| lease.amounts.get(&budget)).max().copied().unwrap_or(0);
        let in_use = self.in_use.get(&budget).copied().unwrap_or(0);
        leased.max(in_use)
    }
}
