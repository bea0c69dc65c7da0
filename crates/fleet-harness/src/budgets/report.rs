//! The report of a run.

use super::case::{demand, Case, LIMIT_PER_PROXY};
use super::check::{check, Findings, Limit};
use super::{LOAD_SECONDS, STATIC_PERCENT};
use serde::Serialize;
use std::path::Path;
use wharfplank_lab::member_model::Micros;

/// The number of the budget of all requests, which is of the first kind.
const MAIN_BUDGET: u32 = 1 << 27;
const SECOND: Micros = 1_000_000;

/// The report of a run. The encoded names are those of `budgets.json`.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The case.
    pub case: Case,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The number of proxies.
    pub proxies: usize,
    /// The findings of the checker.
    #[serde(rename = "found")]
    pub findings: Findings,
    /// The fraction of the limit that was spent during the load.
    #[serde(rename = "used")]
    pub utilization: f64,
    /// The fraction of the limit that could have been spent if it were split equally and statically.
    #[serde(rename = "even")]
    pub equal_split_utilization: f64,
    /// The fraction of the limit spent in each second of the load.
    #[serde(rename = "seconds")]
    pub utilization_by_second: Vec<f64>,
    /// The fraction of the leasable amount that was leased out a second before the end of the load.
    #[serde(rename = "leased")]
    pub leased_part: f64,
    /// The number of proxies that exited on their own or did not exit cleanly.
    pub crashed: u64,
}

/// A finished run.
pub(super) struct FinishedRun {
    pub case: Case,
    pub seed: u64,
    pub proxies: usize,
    /// The time at which the load began.
    pub load_began_at: Micros,
    /// The time at which the load ended.
    pub load_ended_at: Micros,
    pub crashed: u64,
}

impl FinishedRun {
    /// Checks the logs in a directory and returns the report.
    pub fn report(self, directory: &Path) -> Report {
        let limit = self.limit();
        let findings = check(directory, self.proxies, MAIN_BUDGET, |_| limit);
        let total = limit.total as f64;
        let spent_part = |from: Micros, to: Micros| findings.main_spends_within(from, to) as f64 / total;
        let seconds = (0..LOAD_SECONDS as i64).map(|second| self.load_began_at + second * SECOND);
        let load_span = (self.load_ended_at - self.load_began_at) as f64 / SECOND as f64;
        let spent_by_equal_split: u64 =
            (0..self.proxies).map(|proxy| demand(proxy).min(LIMIT_PER_PROXY)).sum();
        Report {
            case: self.case,
            seed: self.seed,
            proxies: self.proxies,
            utilization: spent_part(self.load_began_at, self.load_ended_at) / load_span,
            equal_split_utilization: spent_by_equal_split as f64 / total,
            utilization_by_second: seconds.map(|start| spent_part(start, start + SECOND)).collect(),
            leased_part: findings.leased_at(self.load_ended_at - SECOND) as f64 / limit.leased as f64,
            findings,
            crashed: self.crashed,
        }
    }

    /// Returns the limit, which is the same for all budgets.
    fn limit(&self) -> Limit {
        let proxies = self.proxies as u64;
        let total = LIMIT_PER_PROXY * proxies;
        let static_quotas = total * STATIC_PERCENT / 100 / proxies * proxies;
        Limit { leased: total - static_quotas, total }
    }
}
