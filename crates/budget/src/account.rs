//! What an allocator knows of one lease holder.

use crate::messages::by_budget;
use crate::{BudgetId, BudgetKind, BudgetLimits, LeaseRequest, Micros};
use std::collections::BTreeMap;

/// Leases of one holder that may be in force beside each other; past that its requests wait until one has expired.
const MAX_LEASES: usize = 32;

/// A lease as the allocator counts it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    pub number: u64,
    pub expires_at: Micros,
    pub amounts: BTreeMap<BudgetId, u64>,
}

/// One lease holder at an allocator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HolderAccount {
    /// The sequence number of the newest request that was accepted.
    newest_request: u64,
    /// When that request arrived.
    pub last_request_at: Micros,
    /// What the holder wants.
    pub demand: BTreeMap<BudgetId, u64>,
    /// What it holds open of concurrency budgets, by its newest request.
    in_use: BTreeMap<BudgetId, u64>,
    /// Its leases that may be in use.
    leases: Vec<Lease>,
}

impl HolderAccount {
    /// Whether a request is to be answered. One that comes late or twice would take back what a newer one said.
    pub fn accepts(&self, request: &LeaseRequest) -> bool {
        request.sequence > self.newest_request && self.leases.len() < MAX_LEASES
    }

    /// Records what an accepted request says.
    pub fn record_request(&mut self, now: Micros, request: &LeaseRequest, limits: &BudgetLimits) {
        self.newest_request = request.sequence;
        self.last_request_at = now;
        self.leases.retain(|lease| lease.number >= request.newest_lease);
        let known = request.demand.iter().copied().filter(|demand| limits.get(demand.budget).is_some());
        self.demand = by_budget(known);
        let open = request.in_use.iter().copied().filter(|in_use| BudgetKind::is_concurrency(in_use.budget));
        self.in_use = by_budget(open);
    }

    /// Records a lease that is granted now.
    pub fn record_lease(&mut self, lease: Lease) {
        self.leases.push(lease);
    }

    /// Drops leases that expired more than `release_grace` ago, and what a silent holder said it holds open.
    pub fn expire_leases(&mut self, now: Micros, duration: Micros, release_grace: Micros) {
        self.leases.retain(|lease| lease.expires_at + release_grace > now);
        if now - self.last_request_at > duration + release_grace {
            self.in_use.clear();
        }
    }

    /// Whether any lease may still be in use.
    pub fn has_leases(&self) -> bool {
        !self.leases.is_empty()
    }

    /// The most that the holder may be using at `now`, where leases count for `release_grace` past their expiry.
    pub fn outstanding(&self, now: Micros, budget: BudgetId, release_grace: Micros) -> u64 {
        let in_force = self.leases.iter().filter(|lease| lease.expires_at + release_grace > now);
        let leased = in_force.filter_map(|lease| lease.amounts.get(&budget)).max().copied().unwrap_or(0);
        let in_use = self.in_use.get(&budget).copied().unwrap_or(0);
        leased.max(in_use)
    }
}
