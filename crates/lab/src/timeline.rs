//! Scripted runs: the size of the fleet, the load, and the faults with their times.

use crate::member_model::USUAL_REPORTS_PER_MILLE;
use serde::Deserialize;

/// The XML schema of timelines.
pub const SCHEMA: &str = include_str!("../timeline.xsd");
/// The timeline of `lab incident`: slow log apply, a slow member and a killed proxy.
pub const INCIDENT: &str = include_str!("../timelines/incident.xml");
/// The timeline of `lab demo`: mixed traffic without faults.
pub const DEMO: &str = include_str!("../timelines/demo.xml");

/// A run: its size, its load and its faults.
#[derive(Clone, Debug, Deserialize)]
pub struct Timeline {
    /// The length of the load, in seconds.
    #[serde(rename = "@seconds")]
    pub seconds: u64,
    /// The requests per second to all proxies together.
    #[serde(rename = "@rate")]
    pub rate: u64,
    /// The number of proxies.
    #[serde(rename = "@proxies", default = "three")]
    pub proxies: usize,
    /// The number of groups.
    #[serde(rename = "@groups", default = "three")]
    pub groups: usize,
    /// The number of members in each group.
    #[serde(rename = "@members", default = "four")]
    pub members: usize,
    /// The number of long-running reads (class `report`) per thousand requests.
    #[serde(rename = "@reports", default = "usual_reports")]
    pub reports: u64,
    /// The seed of the random numbers.
    #[serde(rename = "@seed", default = "seven")]
    pub seed: u64,
    /// The faults of the run.
    #[serde(rename = "trouble", default)]
    pub scripted_faults: Vec<ScriptedFault>,
}

fn three() -> usize {
    3
}

fn four() -> usize {
    4
}

fn usual_reports() -> u64 {
    USUAL_REPORTS_PER_MILLE
}

fn seven() -> u64 {
    7
}

/// A fault that is active for a span of a run.
#[derive(Clone, Debug, Deserialize)]
pub struct ScriptedFault {
    /// The kind of fault.
    #[serde(rename = "@kind")]
    pub kind: FaultKind,
    /// The start of the fault, in seconds of the run.
    #[serde(rename = "@at")]
    pub at: u64,
    /// The duration of the fault, in seconds.
    #[serde(rename = "@for")]
    pub duration: u64,
    /// The targets, separated by white space: names of members, a group, a zone or a proxy.
    #[serde(rename = "@on")]
    pub targets: String,
    /// The log apply rate, or the time that requests take, in percent of the usual one.
    #[serde(rename = "@percent", default = "hundred")]
    pub percent: u64,
}

fn hundred() -> u64 {
    100
}

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Members apply the replication log slowly.
    SlowApply,
    /// Members execute requests slowly.
    SlowMember,
    /// A zone is partitioned from the others: its members answer nothing and receive no log.
    #[serde(rename = "cut")]
    Partition,
    /// A group's primary fails; the most advanced replica becomes the primary when the fault ends.
    Failover,
    /// Members drain.
    Drain,
    /// A proxy is killed, and started again when the fault ends.
    KillProxy,
    /// A zone fails: its members go down, and restart without warm caches when the fault ends.
    #[serde(rename = "lose")]
    ZoneLoss,
}

impl ScriptedFault {
    /// Returns whether the fault has a target of this name.
    pub fn has_target(&self, name: &str) -> bool {
        self.targets.split_whitespace().any(|n| n == name)
    }

    /// Returns whether the fault is active at a second of the run.
    pub fn is_active_at(&self, second: f64) -> bool {
        (self.at as f64..(self.at + self.duration) as f64).contains(&second)
    }
}

/// Parses a timeline.
///
/// # Errors
///
/// All violations of the schema, each with its line, or all targets that do not exist.
pub fn parse(text: &str) -> Result<Timeline, Vec<String>> {
    let to_texts = |violations: Vec<wharfplank_settings::SettingsFault>| {
        violations.iter().map(|f| f.to_string()).collect::<Vec<_>>()
    };
    wharfplank_settings::check(SCHEMA, text).map_err(to_texts)?;
    let timeline: Timeline = quick_xml::de::from_str(text).map_err(|e| vec![e.to_string()])?;
    let known_names: Vec<String> = (0..timeline.groups)
        .flat_map(|g| (0..timeline.members).map(move |m| format!("g{g}m{m}")).chain([format!("g{g}")]))
        .chain((0..timeline.proxies).map(|p| format!("n{p}")))
        .chain(["a", "b", "c"].map(str::to_string))
        .collect();
    let unknown_targets = timeline
        .scripted_faults
        .iter()
        .flat_map(|t| t.targets.split_whitespace())
        .filter(|n| !known_names.iter().any(|k| k == n));
    let violations: Vec<String> =
        unknown_targets.map(|n| format!("trouble/@on: '{n}' is none of {}", known_names.join(" "))).collect();
    if violations.is_empty() {
        Ok(timeline)
    } else {
        Err(violations)
    }
}
