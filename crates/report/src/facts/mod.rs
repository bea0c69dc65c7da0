//! The facts of a report, with the version of their JSON form.
//!
//! The serialised field names and the order of the fields belong to the JSON form and do not change within a
//! version.

mod answers;
mod members;
mod proxies;
mod series;
mod summary;

pub use answers::{AnswerTotals, OutcomeCounts};
pub use members::MemberFacts;
pub use proxies::{GapFacts, ProxyFacts};
pub use series::BinFacts;
pub use summary::incident_title;

use serde::Serialize;
use std::collections::BTreeMap;
use wharfplank_incidents::evidence::StaleRead;
use wharfplank_incidents::{find, Evidence, Incident, Micros};

/// The version of the JSON form. It is increased when a field changes its meaning or is removed; new fields
/// do not change it.
pub const VERSION: u32 = 1;

/// All facts of a span.
#[derive(Debug, Serialize)]
pub struct Facts {
    /// The version of the form, [`VERSION`].
    pub version: u32,
    /// The start of the span, in µs of Unix time.
    pub from: Micros,
    /// The end of the span, in µs of Unix time.
    pub to: Micros,
    /// The length of a bin of the series, in µs.
    pub bin: Micros,
    /// A summary of what happened, in sentences.
    pub summary: Vec<String>,
    /// The incidents, by their start.
    pub incidents: Vec<Incident>,
    /// The proxies, by name.
    pub proxies: Vec<ProxyFacts>,
    /// The members, by name.
    pub members: Vec<MemberFacts>,
    /// Answers by class, over all proxies.
    pub classes: BTreeMap<String, AnswerTotals>,
    /// Answers by bin, over all proxies. Each bin has the number of proxies whose records cover it.
    pub series: Vec<BinFacts>,
    /// The number of reads that were rejected as too stale.
    #[serde(rename = "stale_count")]
    pub stale_read_count: u64,
    /// The first of the reads that were rejected as too stale.
    #[serde(rename = "stale")]
    pub stale_reads: Vec<StaleRead>,
    /// Records that could not be read, described in sentences for people.
    pub problems: Vec<String>,
}

impl Facts {
    /// Derives the facts from the evidence.
    pub fn from_evidence(evidence: Evidence) -> Facts {
        let mut facts = Facts {
            version: VERSION,
            from: evidence.from,
            to: evidence.to,
            bin: evidence.bin,
            summary: Vec::new(),
            incidents: find(&evidence),
            proxies: proxies::proxy_facts(&evidence),
            members: members::member_facts(&evidence),
            classes: answers::class_totals(evidence.proxies.values()),
            series: series::bin_series(&evidence),
            stale_read_count: evidence.stale_read_count,
            stale_reads: evidence.stale_reads,
            problems: evidence.problems,
        };
        facts.summary = summary::summarise(&facts);
        facts
    }

    /// Returns the time from the start of the span, in seconds.
    pub fn seconds_since_start(&self, at: Micros) -> f64 {
        (at - self.from) as f64 / 1e6
    }
}
