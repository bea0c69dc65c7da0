//! The messages between lease holders and allocators. Their encoded names and the order of their fields are
//! part of the protocol between proxies of different versions.

use crate::{BudgetId, HolderId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An amount of one budget, encoded as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(BudgetId, u64)", into = "(BudgetId, u64)")]
pub struct BudgetAmount {
    /// The budget's identifier.
    pub budget: BudgetId,
    /// The amount, in units per second or in units held open.
    pub amount: u64,
}

impl BudgetAmount {
    /// Creates an amount of a budget.
    pub fn new(budget: BudgetId, amount: u64) -> BudgetAmount {
        BudgetAmount { budget, amount }
    }
}

impl From<(BudgetId, u64)> for BudgetAmount {
    fn from((budget, amount): (BudgetId, u64)) -> BudgetAmount {
        BudgetAmount { budget, amount }
    }
}

impl From<BudgetAmount> for (BudgetId, u64) {
    fn from(amount: BudgetAmount) -> (BudgetId, u64) {
        (amount.budget, amount.amount)
    }
}

/// Collects amounts by budget. If a budget is listed twice, the last amount counts.
pub(crate) fn by_budget(amounts: impl Iterator<Item = BudgetAmount>) -> BTreeMap<BudgetId, u64> {
    amounts.map(|BudgetAmount { budget, amount }| (budget, amount)).collect()
}

/// A holder's request to an allocator for a lease on all of its budgets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The sender.
    pub holder: HolderId,
    /// Increases with each request of this holder to this allocator.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The [`LeaseGrant::lease`] of the holder's newest lease, or 0 if it has none. The holder no longer
    /// uses older leases.
    #[serde(rename = "uses")]
    pub newest_lease: u64,
    /// The demand, in units per second or in units held open.
    #[serde(rename = "wants")]
    pub demand: Vec<BudgetAmount>,
    /// The units of concurrency budgets in use, as far as this allocator counts them.
    #[serde(rename = "holds")]
    pub in_use: Vec<BudgetAmount>,
}

/// An allocator's answer to a [`LeaseRequest`]: a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The receiver.
    pub holder: HolderId,
    /// The [`LeaseRequest::sequence`] of the answered request. The lease is valid from the time at which
    /// that request was sent.
    #[serde(rename = "ask")]
    pub request: u64,
    /// The lease's number, which increases with each lease that this allocator process grants to this
    /// holder.
    #[serde(rename = "number")]
    pub lease: u64,
    /// The leased amounts, in units per second or in units held open.
    pub amounts: Vec<BudgetAmount>,
    /// Whether the holder's fair share exceeds this lease, so that more becomes available soon.
    #[serde(rename = "more")]
    pub more_available: bool,
}
