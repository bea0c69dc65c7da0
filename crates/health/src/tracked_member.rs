//! The state of one member in the outlier detector: its reporters, its score and its ejection.

use crate::ejection::{EjectionLimit, EjectionState};
use crate::median::{weighted_median, WeightedScore};
use crate::observation::QUESTIONABLE_SCORE;
use crate::Micros;
use std::ops::Range;

/// The minimum total number of samples in the observations of a member.
const MIN_TOTAL_SAMPLES: u64 = 12;
/// A member is evaluated if at least `1 / QUORUM_DIVISOR` of its reporters, and at least [`MIN_REPORTS`],
/// report.
const QUORUM_DIVISOR: usize = 3;
/// The minimum number of reports.
const MIN_REPORTS: usize = 2;
/// The minimum time for which a healthy member is in question before it is ejected, unless all reporters have
/// reported. It prevents the first reports from deciding while others are in transit.
const SETTLING_TIME: Micros = 500_000;
/// The numbers of reports for which the worst report is dropped if there are more reporters, as a single
/// false report would be a fifth to a third of them.
const FEW_REPORTS: Range<usize> = 3..6;

/// The state of one member in the outlier detector.
pub(crate) struct TrackedMember {
    pub(crate) zone: u64,
    pub(crate) incarnation_ms: i64,
    /// The proxies that report on it, ordered by their hash.
    pub(crate) reporters: Vec<u64>,
    pub(crate) ejection: EjectionState,
    /// The time since which a reporter has reported it as bad.
    in_question_since: Option<Micros>,
    pub(crate) score: Option<f64>,
    /// The number of reports that the score is based on.
    pub(crate) reports: usize,
}

impl TrackedMember {
    pub(crate) fn new(zone: u64, incarnation_ms: i64, reporters: Vec<u64>) -> TrackedMember {
        TrackedMember {
            zone,
            incarnation_ms,
            reporters,
            ejection: EjectionState::default(),
            in_question_since: None,
            score: None,
            reports: 0,
        }
    }

    /// Returns whether its reporters should publish their observations: one of them reports it as bad, or it
    /// is not healthy.
    pub(crate) fn is_in_question(&self) -> bool {
        self.in_question_since.is_some() || !self.ejection.is_healthy()
    }

    /// Evaluates the current reports. Returns whether the verdict or the step of the recovery ramp changed.
    pub(crate) fn evaluate(
        &mut self,
        now: Micros,
        reports: Vec<WeightedScore>,
        limit: EjectionLimit,
    ) -> bool {
        let is_questionable = reports.iter().any(|report| report.score >= QUESTIONABLE_SCORE);
        self.in_question_since = is_questionable.then_some(self.in_question_since.unwrap_or(now));
        self.reports = reports.len();
        let is_complete = self.reports == self.reporters.len();
        self.score = self.combine(reports, is_complete);
        let has_settled =
            is_complete || self.in_question_since.is_some_and(|since| now - since >= SETTLING_TIME);
        let is_premature = !has_settled && self.ejection.is_healthy();
        self.ejection.evaluate(now, self.score.filter(|_| !is_premature), limit)
    }

    /// Returns the combined score of all reports, or none if there are too few.
    fn combine(&self, mut reports: Vec<WeightedScore>, is_complete: bool) -> Option<f64> {
        if !self.has_quorum(&reports) {
            return None;
        }
        if !is_complete && FEW_REPORTS.contains(&reports.len()) {
            drop_worst(&mut reports);
        }
        weighted_median(&reports).map(|score| score - chance_margin(total_weight(&reports)))
    }

    fn has_quorum(&self, reports: &[WeightedScore]) -> bool {
        // Only few proxies use a member on probation, so their reports are sufficient.
        let min_reports = if self.ejection.is_on_probation() {
            MIN_REPORTS
        } else {
            self.reporters.len().div_ceil(QUORUM_DIVISOR).max(MIN_REPORTS)
        };
        reports.len() >= min_reports && total_weight(reports) >= MIN_TOTAL_SAMPLES
    }
}

fn total_weight(reports: &[WeightedScore]) -> u64 {
    reports.iter().map(|report| report.weight).sum()
}

fn drop_worst(reports: &mut Vec<WeightedScore>) {
    reports.sort_by(|a, b| a.score.total_cmp(&b.score));
    reports.pop();
}

/// Returns the margin for chance that is subtracted from the median; it decreases with the total number of
/// samples.
fn chance_margin(samples: u64) -> f64 {
    0.9 / (samples.max(1) as f64).sqrt()
}
