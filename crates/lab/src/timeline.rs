//! A scripted run.

use crate::member_model::USUAL_REPORTS_PER_MILLE;
use serde::Deserialize;

/// The schema of timelines.
pub const SCHEMA: &str = include_str!("../timeline.xsd");
/// The scripted incident, and the calm while of the demonstration.
pub const INCIDENT: &str = include_str!("../timelines/incident.xml");
/// See [`INCIDENT`].
pub const DEMO: &str = include_str!("../timelines/demo.xml");

/// A run: its size, its load and its troubles.
#[derive(Clone, Debug, Deserialize)]
pub struct Timeline {
    /// Its length in seconds.
    #[serde(rename = "@seconds")]
    pub seconds: u64,
    /// Requests a second, to all proxies together.
    #[serde(rename = "@rate")]
    pub rate: u64,
    /// Proxies.
    #[serde(rename = "@proxies", default = "three")]
    pub proxies: usize,
    /// Groups.
    #[serde(rename = "@groups", default = "three")]
    pub groups: usize,
    /// Members of a group.
    #[serde(rename = "@members", default = "four")]
    pub members: usize,
    /// Reports, which take long, among a thousand requests.
    #[serde(rename = "@reports", default = "usual_reports")]
    pub reports: u64,
    /// The seed of all that is drawn.
    #[serde(rename = "@seed", default = "seven")]
    pub seed: u64,
    /// What goes wrong.
    #[serde(rename = "trouble", default)]
    pub troubles: Vec<Trouble>,
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

/// What goes wrong for a while.
#[derive(Clone, Debug, Deserialize)]
pub struct Trouble {
    /// The kind.
    #[serde(rename = "@kind")]
    pub kind: Kind,
    /// From this second on.
    #[serde(rename = "@at")]
    pub at: u64,
    /// For so many seconds.
    #[serde(rename = "@for")]
    pub lasts: u64,
    /// Names of members, a group, a zone or a proxy.
    #[serde(rename = "@on")]
    pub on: String,
    /// Per cent of the usual rate of apply, or of the usual time of work.
    #[serde(rename = "@percent", default = "hundred")]
    pub percent: u64,
}

fn hundred() -> u64 {
    100
}

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Members apply the log slowly.
    SlowApply,
    /// Members work slowly.
    SlowMember,
    /// A zone is cut off: its members hang, and hear no log.
    Cut,
    /// A group's primary dies; the replica that has most of the log takes over after the time given.
    Failover,
    /// Members drain.
    Drain,
    /// A proxy is killed, and started again after the time given.
    KillProxy,
    /// A zone is lost: its members die, and start again cold when the time is over.
    Lose,
}

impl Trouble {
    /// Whether it names this.
    pub fn names(&self, name: &str) -> bool {
        self.on.split_whitespace().any(|n| n == name)
    }

    /// Whether it is on at that second.
    pub fn during(&self, second: f64) -> bool {
        (self.at as f64..(self.at + self.lasts) as f64).contains(&second)
    }
}

/// Reads a timeline; each fault has its line.
pub fn parse(text: &str) -> Result<Timeline, Vec<String>> {
    let said = |faults: Vec<wharfplank_settings::SettingsFault>| {
        faults.iter().map(|f| f.to_string()).collect::<Vec<_>>()
    };
    wharfplank_settings::check(SCHEMA, text).map_err(said)?;
    let timeline: Timeline = quick_xml::de::from_str(text).map_err(|e| vec![e.to_string()])?;
    let names: Vec<String> = (0..timeline.groups)
        .flat_map(|g| (0..timeline.members).map(move |m| format!("g{g}m{m}")).chain([format!("g{g}")]))
        .chain((0..timeline.proxies).map(|p| format!("n{p}")))
        .chain(["a", "b", "c"].map(str::to_string))
        .collect();
    let wrong = timeline
        .troubles
        .iter()
        .flat_map(|t| t.on.split_whitespace())
        .filter(|n| !names.iter().any(|k| k == n));
    let wrong: Vec<String> =
        wrong.map(|n| format!("trouble/@on: '{n}' is none of {}", names.join(" "))).collect();
    if wrong.is_empty() {
        Ok(timeline)
    } else {
        Err(wrong)
    }
}
