//! What the log gets of the budgets: the usage every few seconds, and each lease and spend where that is asked for, from
//! which a checker adds up the whole fleet.

use super::WorkerStatus;
use wharfplank_budget::{BudgetId, BudgetKind, LeaseHolder, Micros};

/// An event for the log.
#[derive(Debug)]
pub enum BudgetLogEvent<'a> {
    /// The state of the allocators and of this proxy's worker.
    Status {
        /// How many allocators answer.
        reachable_allocators: usize,
        /// The worker's status.
        worker: WorkerStatus,
    },
    /// The usage of the budgets of one kind.
    Usage(BudgetKind, BudgetUsage),
    /// A lease that is in force from now on.
    Leased {
        /// When it came into force.
        at: Micros,
        /// The number of its allocator.
        allocator: usize,
        /// When it expires.
        expires_at: Micros,
        /// The amount of each budget, as `number=amount,...`.
        amounts: &'a str,
    },
    /// What was spent, as `number@time,...`.
    Spent(&'a str),
    /// What has been in use since when, as `number@time=count,...`.
    InUse(&'a str),
    /// The worker has ended.
    WorkerEnded,
}

/// The usage of the budgets of one kind, added up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// The quotas in force.
    pub quota: u64,
    /// What was spent since the start, or is in use.
    pub spent: u64,
    /// What was denied since the start, or is in use beyond the quota.
    pub denied: u64,
}

impl BudgetUsage {
    /// The usage of a kind; `None` where there is no budget of it.
    pub fn of(holder: &LeaseHolder, now: Micros, kind: BudgetKind) -> Option<BudgetUsage> {
        let is_of_kind = |budget: BudgetId| BudgetKind::of(budget) == Some(kind);
        let rates = holder.rate_limiters().filter(|(budget, _)| is_of_kind(*budget));
        let rates = rates.map(|(budget, meter)| BudgetUsage {
            quota: holder.quota(now, budget),
            spent: meter.spent,
            denied: meter.denied,
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
