//! Sums of answers by outcome.

use serde::Serialize;
use std::collections::BTreeMap;
use wharfplank_incidents::evidence::{AnswerSums, ProxyEvidence};
use wharfplank_incidents::Micros;
use wharfplank_records::Outcome;

/// Answers of a class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AnswerTotals {
    /// Answers within the latency objective.
    pub served: u64,
    /// Answers after the latency objective.
    pub late: u64,
    /// Rejected requests by reason.
    #[serde(rename = "refused")]
    pub rejected: BTreeMap<String, u64>,
    /// Failed requests by reason.
    pub failed: BTreeMap<String, u64>,
    /// The attempts of all requests.
    pub attempts: u64,
    /// The latencies of all answers, in µs.
    pub took: Micros,
}

impl AnswerTotals {
    /// Adds answers of one outcome.
    fn add(&mut self, outcome: Outcome, sums: &AnswerSums) {
        match outcome {
            Outcome::Served => self.served += sums.count,
            Outcome::Late => self.late += sums.count,
            Outcome::Rejected(reason) => add_reason(&mut self.rejected, reason.name(), sums.count),
            Outcome::Failed(reason) => add_reason(&mut self.failed, reason.name(), sums.count),
        }
        self.attempts += sums.attempts;
        self.took += sums.took;
    }

    /// Returns the number of all answers.
    pub fn total(&self) -> u64 {
        self.served + self.late + self.unsuccessful()
    }

    /// Returns the number of rejections and failures.
    pub fn unsuccessful(&self) -> u64 {
        self.rejected.values().sum::<u64>() + self.failed.values().sum::<u64>()
    }
}

/// Adds to the number of answers with a reason.
pub(super) fn add_reason(reasons: &mut BTreeMap<String, u64>, reason: &str, count: u64) {
    *reasons.entry(reason.to_string()).or_default() += count;
}

/// Returns the answers of some proxies by class.
pub(super) fn class_totals<'a>(
    proxies: impl IntoIterator<Item = &'a ProxyEvidence>,
) -> BTreeMap<String, AnswerTotals> {
    let mut classes: BTreeMap<String, AnswerTotals> = BTreeMap::new();
    for ((_, class, outcome), sums) in proxies.into_iter().flat_map(|proxy| &proxy.answers) {
        classes.entry(class.clone()).or_default().add(*outcome, sums);
    }
    classes
}

/// Numbers of answers. The JSON form is an array in the order of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64, u64)")]
pub struct OutcomeCounts {
    /// Answers within the latency objective.
    pub served: u64,
    /// Answers after the latency objective.
    pub late: u64,
    /// Rejections and failures.
    pub unsuccessful: u64,
}

impl OutcomeCounts {
    /// Adds answers of one outcome.
    pub(super) fn add(&mut self, outcome: Outcome, count: u64) {
        match outcome {
            Outcome::Served => self.served += count,
            Outcome::Late => self.late += count,
            Outcome::Rejected(_) | Outcome::Failed(_) => self.unsuccessful += count,
        }
    }
}

impl From<OutcomeCounts> for (u64, u64, u64) {
    fn from(counts: OutcomeCounts) -> Self {
        (counts.served, counts.late, counts.unsuccessful)
    }
}
