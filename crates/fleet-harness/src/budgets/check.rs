//! The checker of budgets: from all proxies' logs it adds up what was leased out, spent and held open at any time, and
//! counts where that was more than the limit.

use super::log::{BudgetHistory, History, LevelChange};
use serde::Serialize;
use std::path::Path;

/// Clocks of processes are read once from the machine's: they may differ by a little, and a second counts as shorter by
/// this, in microseconds.
const CLOCK_TOLERANCE: i64 = 1_000;
const SECOND: i64 = 1_000_000;

/// The limit of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// What allocators may have leased out: the limit less the static quotas.
    pub leased: u64,
    /// What may be spent in a second, or held open at a time.
    pub total: u64,
}

/// What the checker found. The encoded names are those of the report.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    /// Leases that were logged.
    pub leases: u64,
    /// Units that were spent.
    pub spends: u64,
    /// Changes of what is held open.
    #[serde(rename = "changes")]
    pub in_use_changes: u64,
    /// Times at which more was leased out than the limit.
    #[serde(rename = "in_force")]
    pub lease_breaches: u64,
    /// Spends with which a second had more than the limit.
    #[serde(rename = "spent")]
    pub spend_breaches: u64,
    /// Times at which more was held open than the limit.
    #[serde(rename = "held")]
    pub in_use_breaches: u64,
    /// When each unit of the main budget was spent, sorted.
    #[serde(skip)]
    pub main_spends: Vec<i64>,
    /// How what was leased out of the main budget changed.
    #[serde(skip)]
    pub main_leased: Vec<LevelChange>,
}

impl Findings {
    /// What was leased out of the main budget and in force at a time.
    pub fn leased_at(&self, at: i64) -> i64 {
        self.main_leased.iter().filter(|change| change.at <= at).map(|change| change.change).sum()
    }

    /// Units of the main budget spent in a span of time, its end not included.
    pub fn main_spends_within(&self, from: i64, to: i64) -> usize {
        self.main_spends.iter().filter(|at| (from..to).contains(*at)).count()
    }

    /// All breaches.
    pub fn breaches(&self) -> u64 {
        self.lease_breaches + self.spend_breaches + self.in_use_breaches
    }

    fn add(&mut self, history: &mut BudgetHistory, limit: Limit) {
        history.spends.sort_unstable();
        self.lease_breaches += levels_past(&history.leased, limit.leased);
        self.in_use_breaches += levels_past(&history.in_use, limit.total);
        self.spends += history.spends.len() as u64;
        self.spend_breaches += spends_past(&history.spends, limit.total);
    }
}

/// Checks the logs of so many proxies against the limit of each budget; of the main one more is kept.
pub fn check(directory: &Path, proxies: usize, main: u32, limit: impl Fn(u32) -> Limit) -> Findings {
    let history = History::read(directory, proxies);
    let mut findings =
        Findings { leases: history.leases, in_use_changes: history.in_use_changes, ..Findings::default() };
    for (budget, mut history) in history.by_budget {
        findings.add(&mut history, limit(budget));
        if budget == main {
            findings.main_spends = history.spends;
            findings.main_leased = history.leased;
        }
    }
    findings
}

/// How often a level rose to more than the limit.
fn levels_past(changes: &[LevelChange], limit: u64) -> u64 {
    let mut changes = changes.to_vec();
    // What ends at a time ends before what begins then.
    changes.sort_unstable();
    let mut level = 0;
    let mut past = 0;
    for LevelChange { change, .. } in changes {
        level += change;
        past += u64::from(change > 0 && level > limit as i64);
    }
    past
}

/// How many of the sorted spends made more than the limit within a second.
fn spends_past(spends: &[i64], limit: u64) -> u64 {
    let later = spends.iter().skip(limit as usize);
    let is_past = |(earlier, later): &(&i64, &i64)| *later - *earlier < SECOND - CLOCK_TOLERANCE;
    spends.iter().zip(later).filter(is_past).count() as u64
}
