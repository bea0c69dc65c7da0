//! Detects members that discovery listed as draining.

use super::incident::{Incident, Kind};
use super::runs::Run;
use crate::evidence::Evidence;
use std::collections::BTreeMap;
use wharfplank_records::Micros;

/// The health that the endpoint list gives a draining member.
const DRAINING: &str = "leaving";

/// Finds the spans in which members were listed as draining.
pub(super) fn detect(evidence: &Evidence) -> Vec<Incident> {
    let mut incidents = Vec::new();
    for (member, health) in listed_health(evidence) {
        for run in draining_spans(evidence, &health) {
            incidents.push(Incident::from_run(evidence, Kind::Drain, member, run, vec![member.to_string()]));
        }
    }
    incidents
}

/// Returns the health that the endpoint list gave each member, by time, as any proxy received it.
fn listed_health(evidence: &Evidence) -> BTreeMap<&str, BTreeMap<Micros, &str>> {
    let mut by_member: BTreeMap<&str, BTreeMap<Micros, &str>> = BTreeMap::new();
    for (member, listed) in evidence.proxies.values().flat_map(|proxy| &proxy.listed_health) {
        let health = by_member.entry(member).or_default();
        health.extend(listed.iter().map(|listed| (listed.at, listed.health.as_str())));
    }
    by_member
}

/// Returns the spans from a listing as draining to the next other listing, or to the end of the records.
fn draining_spans(evidence: &Evidence, health: &BTreeMap<Micros, &str>) -> Vec<Run> {
    let mut spans = Vec::new();
    let mut draining_since = None;
    for (&at, &health) in health {
        if health == DRAINING {
            draining_since = draining_since.or(Some(at));
        } else if let Some(from) = draining_since.take() {
            spans.push(Run { from, to: at, open: false });
        }
    }
    if let Some(from) = draining_since {
        spans.push(Run { from, to: evidence.to, open: true });
    }
    spans
}
