//! The facts of each proxy.

use super::answers::{class_totals, AnswerTotals};
use serde::Serialize;
use std::collections::BTreeMap;
use wharfplank_incidents::{Evidence, Micros};
use wharfplank_records::reader::Gap;

/// The facts of a proxy.
#[derive(Debug, Serialize)]
pub struct ProxyFacts {
    /// The proxy's name.
    pub name: String,
    /// The proxy's zone, where it is known.
    pub zone: Option<String>,
    /// The proxy's answers by class.
    pub classes: BTreeMap<String, AnswerTotals>,
    /// Spans without records.
    pub gaps: Vec<GapFacts>,
}

/// A span without records.
#[derive(Debug, Serialize)]
pub struct GapFacts {
    /// The start, in µs of Unix time.
    pub from: Micros,
    /// The end, in µs of Unix time.
    pub to: Micros,
    /// The reason why the records are missing.
    pub cause: &'static str,
    /// The number of missing records, where it is known.
    pub count: Option<u64>,
}

/// Returns the facts of all proxies, by name.
pub(super) fn proxy_facts(evidence: &Evidence) -> Vec<ProxyFacts> {
    let mut proxies = Vec::new();
    for (name, proxy) in &evidence.proxies {
        proxies.push(ProxyFacts {
            name: name.clone(),
            zone: proxy.zone.clone(),
            classes: class_totals([proxy]),
            gaps: proxy.gaps.iter().map(|gap| gap_within_span(gap, evidence)).collect(),
        });
    }
    proxies
}

fn gap_within_span(gap: &Gap, evidence: &Evidence) -> GapFacts {
    GapFacts {
        from: gap.from.max(evidence.from),
        to: gap.to.min(evidence.to),
        cause: gap.cause.name(),
        count: gap.count,
    }
}
