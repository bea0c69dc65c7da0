//! Attributes rejections, failures and late answers to incidents, by time, group and reason.

use super::incident::Kind;
use super::runs::Run;
use super::SECOND;
use crate::evidence::Evidence;
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_records::{FailureReason, Micros, Outcome};

/// Answers are attributed to an incident until this long after its end: requests that were queued then are
/// still rejected.
const ATTRIBUTION_DELAY: Micros = 2 * SECOND;

/// The answers attributed to one incident.
#[derive(Default)]
pub(super) struct Attribution {
    /// Rejections and failures by reason.
    pub rejections: BTreeMap<String, u64>,
    /// Late answers.
    pub late: u64,
}

/// Sums the unsuccessful answers that can be due to an incident; an empty set stands for all groups.
pub(super) fn attribute(evidence: &Evidence, kind: Kind, groups: &BTreeSet<u64>, run: Run) -> Attribution {
    let span = run.from..run.to + ATTRIBUTION_DELAY;
    let mut attributed = Attribution::default();
    for ((bin, group, outcome), count) in evidence.proxies.values().flat_map(|proxy| &proxy.not_served) {
        let is_affected = groups.is_empty() || groups.contains(group);
        if !span.contains(bin) || !is_affected {
            continue;
        }
        match outcome {
            Outcome::Late => attributed.late += count,
            Outcome::Rejected(reason) | Outcome::Failed(reason) if can_cause(kind, *reason) => {
                *attributed.rejections.entry(reason.name().to_string()).or_default() += count;
            }
            _ => {}
        }
    }
    attributed
}

/// Returns whether an incident of this kind can cause a rejection or failure for this reason.
fn can_cause(kind: Kind, reason: FailureReason) -> bool {
    use FailureReason::{
        AttemptsExhausted, DeadlineExceeded, LoadShed, MayHaveRun, NoMember, NoPrimary, QueuedTooLong,
        ShuttingDown, TooStale,
    };
    match kind {
        Kind::SlowApply => matches!(reason, TooStale | LoadShed | QueuedTooLong | DeadlineExceeded),
        Kind::SlowMember => {
            matches!(reason, QueuedTooLong | DeadlineExceeded | AttemptsExhausted | LoadShed | MayHaveRun)
        }
        Kind::NoPrimary => {
            matches!(reason, NoPrimary | TooStale | QueuedTooLong | DeadlineExceeded | MayHaveRun)
        }
        Kind::Cut => reason != ShuttingDown,
        Kind::RestartWave => {
            matches!(reason, ShuttingDown | QueuedTooLong | DeadlineExceeded | TooStale | NoPrimary)
        }
        Kind::Drain => {
            matches!(reason, NoPrimary | NoMember | QueuedTooLong | DeadlineExceeded | AttemptsExhausted)
        }
        Kind::Surge => true,
    }
}
