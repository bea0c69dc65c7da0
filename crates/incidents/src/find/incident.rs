//! An incident: its kind, its subject, how well the records support it, and how it is built from a run of
//! bins.

use super::attribution::attribute;
use super::runs::Run;
use crate::evidence::{Coverage, Evidence};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_records::Micros;

/// The kind of an incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Log apply was slow on many replicas.
    SlowApply,
    /// A member answered slowly.
    SlowMember,
    /// A group had no primary.
    NoPrimary,
    /// A zone was partitioned from the others.
    Cut,
    /// Proxies restarted in a wave.
    RestartWave,
    /// Many requests were rejected or failed.
    Surge,
    /// A member drained.
    Drain,
}

/// The degree to which the records support an incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Confidence {
    /// Fewer than half of the proxies have records of the whole incident.
    Weak,
    /// At least half of the proxies have records of the whole incident, or there is only one proxy.
    Likely,
    /// All of several proxies have records of the whole incident.
    Clear,
}

impl Confidence {
    /// Returns the name that reports show.
    pub fn name(self) -> &'static str {
        match self {
            Confidence::Weak => "weak",
            Confidence::Likely => "likely",
            Confidence::Clear => "clear",
        }
    }

    /// Returns the confidence in a statement about the span of a run.
    fn in_run(evidence: &Evidence, run: Run) -> Confidence {
        let Coverage { covering, proxies } = evidence.coverage(run.from, run.to);
        if covering == proxies && proxies > 1 {
            Confidence::Clear
        } else if covering * 2 >= proxies && covering > 0 {
            Confidence::Likely
        } else {
            Confidence::Weak
        }
    }
}

/// One incident. The serialised field names belong to the JSON report and do not change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Incident {
    /// The kind of an incident.
    pub kind: Kind,
    /// The member, group, zone or proxies concerned; empty for the fleet.
    pub subject: String,
    /// The start, in µs of Unix time, rounded to the bin.
    pub from: Micros,
    /// The end, in µs of Unix time, rounded to the bin.
    pub to: Micros,
    /// Whether the incident reaches the start or the end of the records, so that it may have lasted longer.
    pub open: bool,
    /// The affected members.
    pub members: Vec<String>,
    /// The affected groups.
    pub groups: Vec<u64>,
    /// The degree to which the records support the incident.
    #[serde(rename = "strength")]
    pub confidence: Confidence,
    /// Statements that are based on reports of discovery or of proxies.
    #[serde(rename = "told")]
    pub reported: Vec<String>,
    /// Statements that are inferred from measurements.
    pub inferred: Vec<String>,
    /// Statements on what the records do not show.
    pub unknown: Vec<String>,
    /// Rejections and failures attributed to the incident, by reason.
    #[serde(rename = "refusals")]
    pub rejections: BTreeMap<String, u64>,
    /// Late answers attributed to the incident.
    pub late: u64,
}

impl Incident {
    /// Builds the incident of a run, with its groups, its confidence and the answers attributed to it. The
    /// texts are added by [`crate::explanation::explain`].
    pub(super) fn from_run(
        evidence: &Evidence,
        kind: Kind,
        subject: &str,
        run: Run,
        members: Vec<String>,
    ) -> Incident {
        let groups = groups_of(evidence, &members);
        let attributed = attribute(evidence, kind, &groups, run);
        Incident {
            kind,
            subject: subject.to_string(),
            from: run.from,
            to: run.to,
            open: run.open,
            members,
            groups: groups.into_iter().collect(),
            confidence: Confidence::in_run(evidence, run),
            reported: Vec::new(),
            inferred: Vec::new(),
            unknown: Vec::new(),
            rejections: attributed.rejections,
            late: attributed.late,
        }
    }
}

/// Returns the groups to which the members belonged when proxies first observed them.
fn groups_of(evidence: &Evidence, members: &[String]) -> BTreeSet<u64> {
    evidence
        .proxies
        .values()
        .flat_map(|proxy| members.iter().filter_map(|member| proxy.observations.get(member)))
        .filter_map(|observations| observations.first().map(|observation| observation.group))
        .collect()
}
