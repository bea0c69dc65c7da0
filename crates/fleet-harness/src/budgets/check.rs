//! The checker of budgets. From the logs of all proxies it totals what was leased out, spent and held open at
//! any time, and counts the times at which a total exceeded its limit.

use super::log::{BudgetHistory, History, LevelChange};
use serde::Serialize;
use std::path::Path;

/// The time in microseconds by which a second counts as shorter. Each process reads the machine's clock once,
/// so the clocks of two processes may differ slightly.
const CLOCK_TOLERANCE: i64 = 1_000;
const SECOND: i64 = 1_000_000;

/// The limit of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The amount that allocators may have leased out: the limit less the static quotas.
    pub leased: u64,
    /// The amount that may be spent in a second, or held open at a time.
    pub total: u64,
}

/// The findings of the checker. The encoded names are those of the report.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Findings {
    /// The number of leases in the logs.
    pub leases: u64,
    /// The number of units spent.
    pub spends: u64,
    /// The number of changes of the amount held open.
    #[serde(rename = "changes")]
    pub in_use_changes: u64,
    /// The number of times at which the amount leased out rose above the limit.
    #[serde(rename = "in_force")]
    pub lease_breaches: u64,
    /// The number of units that were spent above the limit within a second.
    #[serde(rename = "spent")]
    pub spend_breaches: u64,
    /// The number of times at which the amount held open rose above the limit.
    #[serde(rename = "held")]
    pub in_use_breaches: u64,
    /// The times at which units of the main budget were spent, sorted.
    #[serde(skip)]
    pub main_spends: Vec<i64>,
    /// The changes of the amount leased out of the main budget.
    #[serde(skip)]
    pub main_leased: Vec<LevelChange>,
}

impl Findings {
    /// Returns the amount of the main budget that was leased out at a time.
    pub fn leased_at(&self, at: i64) -> i64 {
        self.main_leased.iter().filter(|change| change.at <= at).map(|change| change.change).sum()
    }

    /// Returns the number of units of the main budget spent from `from` until before `to`.
    pub fn main_spends_within(&self, from: i64, to: i64) -> usize {
        self.main_spends.iter().filter(|at| (from..to).contains(*at)).count()
    }

    /// Returns the number of all breaches.
    pub fn breaches(&self) -> u64 {
        self.lease_breaches + self.spend_breaches + self.in_use_breaches
    }

    fn add(&mut self, history: &mut BudgetHistory, limit: Limit) {
        history.spends.sort_unstable();
        self.lease_breaches += count_rises_above(&history.leased, limit.leased);
        self.in_use_breaches += count_rises_above(&history.in_use, limit.total);
        self.spends += history.spends.len() as u64;
        self.spend_breaches += count_spends_above(&history.spends, limit.total);
    }
}

/// Checks the logs of the proxies against the limit of each budget. The findings include the history of the
/// main budget.
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

/// Counts how often a level rose above the limit.
fn count_rises_above(changes: &[LevelChange], limit: u64) -> u64 {
    let mut changes = changes.to_vec();
    // At equal times, decreases sort before increases.
    changes.sort_unstable();
    let mut level = 0;
    let mut rises = 0;
    for LevelChange { change, .. } in changes {
        level += change;
        rises += u64::from(change > 0 && level > limit as i64);
    }
    rises
}

/// Counts the sorted spends that exceeded the limit within a second.
fn count_spends_above(spends: &[i64], limit: u64) -> u64 {
    let later = spends.iter().skip(limit as usize);
    let is_above_limit = |(earlier, later): &(&i64, &i64)| *later - *earlier < SECOND - CLOCK_TOLERANCE;
    spends.iter().zip(later).filter(is_above_limit).count() as u64
}
