//! Limits per budget: for the whole fleet, one allocator's part, or the static quota of each proxy. All
//! budgets of one kind, such as the health checks of each member, can share one limit, because the members
//! are not known in advance.

use crate::{BudgetId, BudgetKind};
use std::collections::BTreeMap;

/// Limits per budget, and per kind for budgets without a limit of their own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct BudgetLimits {
    by_budget: BTreeMap<BudgetId, u64>,
    by_kind: BTreeMap<BudgetKind, u64>,
}

impl<const N: usize> From<[(BudgetId, u64); N]> for BudgetLimits {
    fn from(by_budget: [(BudgetId, u64); N]) -> BudgetLimits {
        BudgetLimits { by_budget: by_budget.into(), by_kind: BTreeMap::new() }
    }
}

impl BudgetLimits {
    /// Creates limits from those of single budgets and those that apply to each budget of a kind.
    pub fn new(by_budget: BTreeMap<BudgetId, u64>, by_kind: BTreeMap<BudgetKind, u64>) -> BudgetLimits {
        BudgetLimits { by_budget, by_kind }
    }

    /// Returns the limit of a budget, or `None` if the budget is not limited.
    pub fn get(&self, budget: BudgetId) -> Option<u64> {
        self.by_budget.get(&budget).or_else(|| self.by_kind.get(&BudgetKind::of(budget)?)).copied()
    }

    /// Returns the budgets that have a limit of their own.
    pub fn budgets(&self) -> impl Iterator<Item = BudgetId> + '_ {
        self.by_budget.keys().copied()
    }

    /// Returns the static quota of each proxy: `percent` per cent of every limit, divided equally by
    /// `proxies`. A proxy has it whether or not allocators answer and however many proxies are running.
    pub fn static_quota(&self, percent: u64, proxies: u64) -> BudgetLimits {
        self.map(|limit| limit * percent.min(100) / 100 / proxies.max(1))
    }

    /// Returns the part that allocator `index` of `allocators` leases out, after the static quotas of
    /// `proxies` proxies are deducted.
    pub fn allocator_part(
        &self,
        static_quota: &BudgetLimits,
        proxies: u64,
        index: u64,
        allocators: u64,
    ) -> BudgetLimits {
        let allocators = allocators.max(1);
        let part = |limit: u64, static_quota: Option<&u64>| {
            let leased = limit.saturating_sub(static_quota.copied().unwrap_or(0) * proxies);
            let gets_remainder_unit = index < leased % allocators;
            leased / allocators + u64::from(gets_remainder_unit)
        };
        let by_budget = self.by_budget.iter();
        let by_kind = self.by_kind.iter();
        BudgetLimits {
            by_budget: by_budget
                .map(|(b, limit)| (*b, part(*limit, static_quota.by_budget.get(b))))
                .collect(),
            by_kind: by_kind.map(|(k, limit)| (*k, part(*limit, static_quota.by_kind.get(k)))).collect(),
        }
    }

    /// Formats the limits as a text that is identical at all proxies with the same limits. Proxies exchange
    /// a hash of it to check whether they may lease from each other, so the text must not change between
    /// versions.
    pub fn canonical_text(&self) -> String {
        let by_budget: Vec<String> =
            self.by_budget.iter().map(|(budget, limit)| format!("{budget}: {limit}")).collect();
        let by_kind: Vec<String> =
            self.by_kind.iter().map(|(kind, limit)| format!("{}: {limit}", kind.canonical_name())).collect();
        format!("Parts {{ own: {{{}}}, kinds: {{{}}} }}", by_budget.join(", "), by_kind.join(", "))
    }

    fn map(&self, to: impl Fn(u64) -> u64) -> BudgetLimits {
        BudgetLimits {
            by_budget: self.by_budget.iter().map(|(budget, limit)| (*budget, to(*limit))).collect(),
            by_kind: self.by_kind.iter().map(|(kind, limit)| (*kind, to(*limit))).collect(),
        }
    }
}
