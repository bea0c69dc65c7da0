//! Adds the summaries of windows whose records are retired.

use super::error::GatherError;
use super::store::StoreEvidence;
use super::sums::RunNames;
use super::SECOND;
use crate::evidence::{AnswerSums, Evidence};
use wharfplank_records::reader::StoreReader;
use wharfplank_records::store::SUMMARY_WINDOW;
use wharfplank_records::{Micros, Outcome};

/// Adds the summaries of windows whose records are retired. They have only the answers by class: the
/// observations of members and the stale reads were retired with the records, which is noted as a problem.
pub(super) fn add_summaries(
    source: &StoreReader,
    frame: &Evidence,
    store: &mut StoreEvidence,
) -> Result<(), GatherError> {
    let records_from = source.records_from()?.unwrap_or(Micros::MAX);
    let mut summarised_until = None;
    for summary in source.summaries(frame.from, frame.to)? {
        let end = summary.window + SUMMARY_WINDOW;
        let is_retired = end <= records_from && summary.window >= frame.from;
        let Some(outcome) = Outcome::from_code(summary.outcome_code).filter(|_| is_retired) else {
            continue;
        };
        let names = RunNames { source, run: summary.run };
        let key = (frame.bin_of(summary.window), names.class(summary.class), outcome);
        let sums = AnswerSums { count: summary.count, attempts: summary.attempts, took: summary.took };
        *store.proxy.answers.entry(key).or_default() += sums;
        summarised_until = summarised_until.max(Some(end));
    }
    if let Some(until) = summarised_until {
        let second = (until - frame.from) / SECOND;
        store.problems.push(format!("{}: up to second {second} only sums of answers are kept", source.proxy));
    }
    Ok(())
}
