//! The messages between lease holders and allocators. Their encoded names and the order of their fields are part of
//! the protocol between proxies of different versions.

use crate::{BudgetId, HolderId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An amount of one budget, encoded as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(BudgetId, u64)", into = "(BudgetId, u64)")]
pub struct BudgetAmount {
    /// The budget.
    pub budget: BudgetId,
    /// The amount, in units a second or in units held open.
    pub amount: u64,
}

impl BudgetAmount {
    /// An amount of a budget.
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

/// The amounts by budget; of a budget that is listed twice the last amount counts.
pub(crate) fn by_budget(amounts: impl Iterator<Item = BudgetAmount>) -> BTreeMap<BudgetId, u64> {
    amounts.map(|BudgetAmount { budget, amount }| (budget, amount)).collect()
}

/// A holder's request to an allocator for a lease of all of its budgets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Who sends it.
    pub holder: HolderId,
    /// Grows with each request of this holder to this allocator.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The newest lease that the holder has, by its [`LeaseGrant::lease`]: it no longer uses an older one. 0: none.
    #[serde(rename = "uses")]
    pub newest_lease: u64,
    /// What it wants, in units a second, or in units held open.
    #[serde(rename = "wants")]
    pub demand: Vec<BudgetAmount>,
    /// What it holds open of concurrency budgets, as far as it counts as this allocator's.
    #[serde(rename = "holds")]
    pub in_use: Vec<BudgetAmount>,
}

/// An allocator's lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// To whom.
    pub holder: HolderId,
    /// The [`LeaseRequest::sequence`] that it answers: the lease is valid from when that request was sent.
    #[serde(rename = "ask")]
    pub request: u64,
    /// The lease's number: grows with each lease of the allocator's process to this holder.
    #[serde(rename = "number")]
    pub lease: u64,
    /// What is leased, in units a second or in units held open.
    pub amounts: Vec<BudgetAmount>,
    /// Whether the holder's fair share is more than this lease, so that more becomes free soon.
    #[serde(rename = "more")]
    pub more_available: bool,
}
