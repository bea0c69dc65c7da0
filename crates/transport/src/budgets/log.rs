//! The log events of the budgets: the usage every few seconds and, if the usage is traced, each lease and
//! spend, from which a checker computes the totals of the whole fleet.

use super::WorkerStatus;
use wharfplank_budget::{BudgetId, BudgetKind, LeaseHolder, Micros};

/// An event for the log.
#[derive(Debug)]
pub enum BudgetLogEvent<'a> {
    /// The state of the allocators and of this proxy's worker.
    Status {
        /// The number of allocators that answer.
        reachable_allocators: usize,
        /// The worker's status.
        worker: WorkerStatus,
    },
    /// The usage of the budgets of one kind.
    Usage(BudgetKind, BudgetUsage),
    /// A lease came into effect.
    Leased {
        /// When it came into effect.
        at: Micros,
        /// The number of its allocator.
        allocator: usize,
        /// When it expires.
        expires_at: Micros,
        /// The amount for each budget, as `number=amount,...`.
        amounts: &'a str,
    },
    /// The spends, as `number@time,...`.
    Spent(&'a str),
    /// The changes of the number in use, as `number@time=count,...`.
    InUse(&'a str),
    /// The table of budgets is full: further budgets share the static quota of one of their kind.
    TableFull {
        /// The number of registrations that found no place.
        refused: u64,
        /// The number of places.
        places: usize,
    },
    /// The worker has ended.
    WorkerEnded,
}

/// The total usage of the budgets of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// The sum of the current quotas.
    pub quota: u64,
    /// The amount spent since the start, or in use for concurrency budgets.
    pub spent: u64,
    /// The amount denied since the start, or in use beyond the quota for concurrency budgets.
    pub denied: u64,
}

impl BudgetUsage {
    /// Computes the usage of a kind; `None` if there is no budget of this kind.
    pub fn of(holder: &LeaseHolder, now: Micros, kind: BudgetKind) -> Option<BudgetUsage> {
        let is_of_kind = |budget: BudgetId| BudgetKind::of(budget) == Some(kind);
        let rates = holder.rate_limiters().filter(|(budget, _)| is_of_kind(*budget));
        let rates = rates.map(|(budget, limiter)| BudgetUsage {
            quota: holder.quota(now, budget),
            spent: limiter.spent,
            denied: limiter.denied,
        });
        let in_use = holder.concurrency_budgets().filter(|(budget, _)| is_of_kind(*budget));
        let in_use = in_use.map(|(budget, state)| BudgetUsage {
            quota: holder.quota(now, budget),
            spent: state.in_use(),
            denied: state.over_quota(),
        });
        rates.chain(in_use).reduce(|sum, usage| BudgetUsage {
            quota: sum.quota + usage.quota,
            spent: sum.spent + usage.spent,
            denied: sum.denied + usage.denied,
        })
    }
}
