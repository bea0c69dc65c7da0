//! Detects surges of rejections and failures.

use super::incident::{Incident, Kind};
use super::runs::{find_runs, Series};
use super::SECOND;
use crate::evidence::Evidence;
use std::collections::BTreeMap;
use wharfplank_records::{Micros, Outcome};

/// Rejections and failures are a surge from this many a second on...
const MIN_UNSUCCESSFUL_PER_SECOND: u64 = 5;
/// ...and from this fraction of all answers on.
const MIN_UNSUCCESSFUL_FRACTION: f64 = 0.1;

/// The answers of one bin.
#[derive(Default)]
struct BinAnswers {
    all: u64,
    unsuccessful: u64,
}

/// Finds the spans in which many answers were rejections or failures.
pub(super) fn detect(evidence: &Evidence) -> Vec<Incident> {
    let bin_seconds = (evidence.bin / SECOND).max(1) as u64;
    let min_unsuccessful = MIN_UNSUCCESSFUL_PER_SECOND * bin_seconds;
    let mut series = Series::new();
    for (bin, answers) in answers_by_bin(evidence) {
        let is_surge = answers.unsuccessful >= min_unsuccessful
            && answers.unsuccessful as f64 >= answers.all as f64 * MIN_UNSUCCESSFUL_FRACTION;
        series.insert(bin, is_surge);
    }
    let runs = find_runs(evidence, &series).into_iter();
    runs.map(|run| Incident::from_run(evidence, Kind::Surge, "", run, Vec::new())).collect()
}

fn answers_by_bin(evidence: &Evidence) -> BTreeMap<Micros, BinAnswers> {
    let mut bins: BTreeMap<Micros, BinAnswers> = BTreeMap::new();
    for ((bin, _, outcome), answers) in evidence.proxies.values().flat_map(|proxy| &proxy.answers) {
        let sums = bins.entry(*bin).or_default();
        sums.all += answers.count;
        if !matches!(outcome, Outcome::Served | Outcome::Late) {
            sums.unsuccessful += answers.count;
        }
    }
    bins
}
