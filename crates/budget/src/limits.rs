//! Limits by budget: of the whole fleet, of one allocator's part, or of the static quota of each proxy. The budgets of
//! one kind, as the health checks of each member, share one limit: their members are not known beforehand.

use crate::{BudgetId, BudgetKind};
use std::collections::BTreeMap;

/// Amounts by budget, and by kind for the budgets that have none of their own.
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
    /// The limits of single budgets, and of each budget of a kind.
    pub fn new(by_budget: BTreeMap<BudgetId, u64>, by_kind: BTreeMap<BudgetKind, u64>) -> BudgetLimits {
        BudgetLimits { by_budget, by_kind }
    }

    /// The limit of a budget; `None` where there is no such budget.
    pub fn get(&self, budget: BudgetId) -> Option<u64> {
        self.by_budget.get(&budget).or_else(|| self.by_kind.get(&BudgetKind::of(budget)?)).copied()
    }

    /// The static quota of each of `proxies` proxies: its equal part of `percent` per cent of every limit, whether
    /// allocators answer or not, and however many of the proxies run.
    pub fn static_quota(&self, percent: u64, proxies: u64) -> BudgetLimits {
        self.map(|limit| limit * percent.min(100) / 100 / proxies.max(1))
    }

    /// What allocator number `index` of `allocators` leases out, where `proxies` proxies have a static quota besides.
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
            let has_one_of_the_rest = index < leased % allocators;
            leased / allocators + u64::from(has_one_of_the_rest)
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

    /// The limits as a text that is the same at all proxies with the same limits. Proxies exchange a hash of it to tell
    /// whether they may lease from each other, so that the text must not change between versions.
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
