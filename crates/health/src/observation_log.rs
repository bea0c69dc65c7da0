//! This proxy's own summaries and observations of the members.

use crate::baseline::ClassBaselines;
use crate::median::median;
use crate::observation::{HealthObservation, Outcome};
use crate::window::{MemberSummary, WindowCounts, LOG_RATIO_SCALE};
use crate::Micros;
use std::collections::BTreeMap;

/// The minimum number of outcomes that an observation is based on; fewer are not significant.
pub(crate) const MIN_SAMPLES: u32 = 4;
/// The score of the median member (twice the baseline latency) above which a proxy reports on no member: its
/// own link is bad, or it stalled.
const BAD_LINK_SCORE: f64 = 0.69;
/// The minimum number of members for which the median over the members is subtracted from each observation.
const MIN_MEMBERS_FOR_MEDIAN: usize = 3;

/// This proxy's own summaries of the members.
#[derive(Clone, Debug, Default)]
pub struct ObservationLog {
    members: BTreeMap<u64, MemberSummary>,
    baselines: ClassBaselines,
}

/// A member with enough outcomes to report on it.
struct SampledMember<'a> {
    id: u64,
    summary: &'a MemberSummary,
    counts: WindowCounts,
}

impl ObservationLog {
    /// Tracks a member with the incarnation from the endpoint list; a new incarnation starts with an empty
    /// summary. The caller bounds the number of members.
    pub fn track_member(&mut self, member: u64, incarnation_ms: i64) {
        let summary = self.members.entry(member).or_insert(MemberSummary::new(incarnation_ms));
        if summary.incarnation_ms != incarnation_ms {
            *summary = MemberSummary::new(incarnation_ms);
        }
    }

    /// Removes the members that are no longer on the endpoint list.
    pub fn retain(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.members.retain(|member, _| is_listed(*member));
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: Micros, member: u64, outcome: Outcome) {
        let counts = match outcome {
            Outcome::Answered { class, latency } => {
                let Some(log_ratio_sum) = self.baselines.log_ratio(class, latency) else { return };
                WindowCounts { answers: 1, log_ratio_sum, ..WindowCounts::default() }
            }
            Outcome::Error => WindowCounts { errors: 1, ..WindowCounts::default() },
            Outcome::Rejected => WindowCounts { rejections: 1, ..WindowCounts::default() },
            Outcome::Unreachable => WindowCounts { unreachable: 1, ..WindowCounts::default() },
        };
        self.add(now, member, &counts);
    }

    /// Records a member's replication lag.
    pub fn record_lag(&mut self, now: Micros, member: u64, lag: Micros) {
        let max_lag_ms = u32::try_from((lag / 1000).max(0)).unwrap_or(u32::MAX);
        self.add(now, member, &WindowCounts { max_lag_ms, ..WindowCounts::default() });
    }

    fn add(&mut self, now: Micros, member: u64, counts: &WindowCounts) {
        if let Some(summary) = self.members.get_mut(&member) {
            summary.add(now, counts);
        }
    }

    /// Returns the summary of a member.
    pub fn summary(&self, member: u64) -> Option<&MemberSummary> {
        self.members.get(&member)
    }

    /// Returns this proxy's observation of each member with enough outcomes. There are none if most members
    /// appear bad, as that is evidence against this proxy's own link rather than against the members.
    pub fn observations(&self, now: Micros) -> BTreeMap<u64, HealthObservation> {
        let sampled = self.sampled_members(now);
        let median = median_score(&sampled);
        if median > BAD_LINK_SCORE {
            return BTreeMap::new();
        }
        sampled.iter().map(|member| (member.id, observe(member, now, median))).collect()
    }

    fn sampled_members(&self, now: Micros) -> Vec<SampledMember<'_>> {
        self.members
            .iter()
            .map(|(id, summary)| SampledMember { id: *id, summary, counts: summary.total(now) })
            .filter(|member| member.counts.samples() >= MIN_SAMPLES)
            .collect()
    }
}

/// Returns the score of the median member, or 0 if there are too few members.
fn median_score(members: &[SampledMember<'_>]) -> f64 {
    if members.len() < MIN_MEMBERS_FOR_MEDIAN {
        return 0.0;
    }
    median(members.iter().map(|member| member.counts.mean_log_ratio()).collect())
}

fn observe(member: &SampledMember<'_>, now: Micros, median_score: f64) -> HealthObservation {
    let saturate = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    let counts = &member.counts;
    HealthObservation {
        incarnation_ms: member.summary.incarnation_ms,
        newest_window: MemberSummary::window_at(now),
        log_ratio: ((counts.mean_log_ratio() - median_score) * LOG_RATIO_SCALE) as i16,
        samples: saturate(counts.samples()),
        errors: saturate(counts.errors),
        rejections: saturate(counts.rejections),
        unreachable: saturate(counts.unreachable),
        max_lag_ms: counts.max_lag_ms,
    }
}
