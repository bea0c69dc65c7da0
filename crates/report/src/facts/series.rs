//! Answers by bin.

use super::answers::{add_reason, OutcomeCounts};
use serde::Serialize;
use std::collections::BTreeMap;
use wharfplank_incidents::evidence::AnswerSums;
use wharfplank_incidents::{Evidence, Micros};
use wharfplank_records::Outcome;

/// Answers of one bin, over all proxies.
#[derive(Clone, Debug, Default, Serialize)]
pub struct BinFacts {
    /// The start of the bin, in µs of Unix time.
    pub at: Micros,
    /// The number of proxies whose records cover the bin.
    #[serde(rename = "proxies")]
    pub covering_proxies: usize,
    /// Answers within the latency objective.
    pub served: u64,
    /// Answers after the latency objective.
    pub late: u64,
    /// Rejections and failures by reason.
    #[serde(rename = "lost")]
    pub unsuccessful: BTreeMap<String, u64>,
    /// The numbers of answers by class.
    pub classes: BTreeMap<String, OutcomeCounts>,
}

impl BinFacts {
    /// Returns the numbers of answers of one class, or of all classes.
    pub fn outcomes(&self, class: Option<&str>) -> OutcomeCounts {
        match class {
            Some(class) => self.classes.get(class).copied().unwrap_or_default(),
            None => OutcomeCounts {
                served: self.served,
                late: self.late,
                unsuccessful: self.unsuccessful.values().sum(),
            },
        }
    }

    /// Adds answers of one class and outcome.
    fn add(&mut self, class: &str, outcome: Outcome, sums: &AnswerSums) {
        self.classes.entry(class.to_string()).or_default().add(outcome, sums.count);
        match outcome {
            Outcome::Served => self.served += sums.count,
            Outcome::Late => self.late += sums.count,
            Outcome::Rejected(reason) | Outcome::Failed(reason) => {
                add_reason(&mut self.unsuccessful, reason.name(), sums.count);
            }
        }
    }
}

/// Returns the answers of all proxies, by bin.
pub(super) fn bin_series(evidence: &Evidence) -> Vec<BinFacts> {
    let mut bins: BTreeMap<Micros, BinFacts> = BTreeMap::new();
    for at in evidence.bins() {
        let covering_proxies = evidence.coverage(at, at + evidence.bin).covering;
        bins.insert(at, BinFacts { at, covering_proxies, ..BinFacts::default() });
    }
    for ((bin, class, outcome), sums) in evidence.proxies.values().flat_map(|proxy| &proxy.answers) {
        bins.entry(*bin).or_default().add(class, *outcome, sums);
    }
    bins.into_values().collect()
}
