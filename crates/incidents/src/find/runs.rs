//! Merges bins in which a condition holds into runs.

use super::SECOND;
use crate::evidence::Evidence;
use std::collections::BTreeMap;
use wharfplank_records::Micros;

/// Breaks up to this long, in which the condition does not hold or is unknown, do not end a run.
const MAX_BREAK: Micros = 5 * SECOND;
/// Shorter runs are discarded.
const MIN_LENGTH: Micros = 3 * SECOND;

/// Whether a condition held, by the start of the bin. A bin that is absent is unknown.
pub(super) type Series = BTreeMap<Micros, bool>;

/// A span in which a condition held, short breaks included.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    /// The start.
    pub from: Micros,
    /// The end.
    pub to: Micros,
    /// Whether the run reaches the first or the last bin of its series, so that it may have lasted longer.
    pub open: bool,
}

impl Run {
    /// Returns the length of the run, in µs.
    pub fn length(&self) -> Micros {
        self.to - self.from
    }
}

/// Finds the runs of bins in which the condition held.
pub(super) fn find_runs(evidence: &Evidence, series: &Series) -> Vec<Run> {
    let first_bin = series.keys().next().copied().unwrap_or(0);
    let last_bin = series.keys().last().copied().unwrap_or(0);
    let mut runs = merge_bins(evidence.bin, series);
    runs.retain(|run| run.length() >= MIN_LENGTH.max(evidence.bin));
    for run in &mut runs {
        run.open = run.from <= first_bin || run.to >= last_bin + evidence.bin;
    }
    runs
}

/// Joins bins in which the condition held, across breaks of at most [`MAX_BREAK`] or one bin.
fn merge_bins(bin_length: Micros, series: &Series) -> Vec<Run> {
    let max_break = MAX_BREAK.max(bin_length);
    let mut runs: Vec<Run> = Vec::new();
    let mut is_ended = true;
    for (&from, &holds) in series {
        if !holds {
            is_ended |= runs.last().is_some_and(|run| from - run.to >= MAX_BREAK);
            continue;
        }
        let to = from + bin_length;
        match runs.last_mut() {
            Some(run) if !is_ended && from - run.to <= max_break => run.to = to,
            _ => {
                runs.push(Run { from, to, open: false });
                is_ended = false;
            }
        }
    }
    runs
}
