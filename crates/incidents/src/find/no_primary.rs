//! Detects groups without a primary.

use super::incident::{Incident, Kind};
use super::runs::{find_runs, Series};
use crate::evidence::Evidence;
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_records::Micros;

/// The members that the proxies that know a group consider its usable primary, one entry for each such proxy,
/// by group and bin. A bin in which no proxy knows the group is absent.
pub(super) type ObservedPrimaries = BTreeMap<u64, BTreeMap<Micros, Vec<Option<String>>>>;

/// Collects the primaries that each proxy observed; a suspected primary does not count as one.
pub(super) fn observed_primaries(evidence: &Evidence) -> ObservedPrimaries {
    let mut primaries = ObservedPrimaries::new();
    for proxy in evidence.proxies.values() {
        let mut seen_by_proxy: BTreeMap<(u64, Micros), Option<String>> = BTreeMap::new();
        for (name, observations) in &proxy.observations {
            for observation in observations {
                let bin = evidence.bin_of(observation.at);
                let primary = seen_by_proxy.entry((observation.group, bin)).or_default();
                if observation.primary && !observation.suspected {
                    *primary = Some(name.clone());
                }
            }
        }
        for ((group, bin), primary) in seen_by_proxy {
            primaries.entry(group).or_default().entry(bin).or_default().push(primary);
        }
    }
    primaries
}

/// Finds the spans in which most proxies knew no usable primary of a group.
pub(super) fn detect(evidence: &Evidence, primaries: &ObservedPrimaries) -> Vec<Incident> {
    let mut incidents = Vec::new();
    for (group, bins) in primaries {
        let series: Series = bins.iter().map(|(bin, seen)| (*bin, is_missed_by_most(seen))).collect();
        for run in find_runs(evidence, &series) {
            let subject = format!("group {group}");
            let members = members_of(evidence, *group);
            incidents.push(Incident::from_run(evidence, Kind::NoPrimary, &subject, run, members));
        }
    }
    incidents
}

/// Returns whether most proxies know no primary. One of several proxies does not suffice: it may have just
/// started and not know the primary yet.
fn is_missed_by_most(seen: &[Option<String>]) -> bool {
    let missing = seen.iter().filter(|primary| primary.is_none()).count();
    missing * 2 > seen.len()
}

/// Returns the members that any proxy observed in a group.
fn members_of(evidence: &Evidence, group: u64) -> Vec<String> {
    let mut members = BTreeSet::new();
    for (name, observations) in evidence.proxies.values().flat_map(|proxy| &proxy.observations) {
        if observations.iter().any(|observation| observation.group == group) {
            members.insert(name.clone());
        }
    }
    members.into_iter().collect()
}
