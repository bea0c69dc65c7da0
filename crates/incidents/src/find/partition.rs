//! Detects zones that are partitioned from the others.

use super::incident::{Incident, Kind};
use super::runs::{find_runs, Series};
use crate::evidence::{Evidence, ProxyEvidence};
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_records::Micros;

/// A partition needs at least this many zones.
const MIN_ZONES: usize = 2;
/// If a zone has fewer members, their suspicion points to the members and not to the zone.
const MIN_MEMBERS: u32 = 2;

/// The active members that one proxy observed in one bin, and how many of them it suspected.
#[derive(Clone, Copy, Default)]
struct SuspicionCount {
    members: u32,
    suspected: u32,
}

impl SuspicionCount {
    /// Returns whether at least two thirds of enough members are suspected.
    fn is_mostly_suspected(self) -> bool {
        self.members >= MIN_MEMBERS && self.suspected * 3 >= self.members * 2
    }

    /// Returns whether fewer than half of the members are suspected.
    fn is_mostly_trusted(self) -> bool {
        self.suspected * 2 < self.members
    }
}

/// Returns, by zone and bin, whether a proxy in another zone suspected most members of the zone, but not
/// those of the others.
pub(super) fn partitioned_zones(evidence: &Evidence) -> BTreeMap<String, Series> {
    let zones: BTreeSet<&String> = evidence.zones.values().collect();
    let mut partitions: BTreeMap<String, Series> = BTreeMap::new();
    if zones.len() < MIN_ZONES {
        return partitions;
    }
    for zone in zones {
        let is_elsewhere = |proxy: &&ProxyEvidence| proxy.zone.as_ref().is_some_and(|own| own != zone);
        for proxy in evidence.proxies.values().filter(is_elsewhere) {
            for (bin, is_partitioned) in observed_partition(evidence, proxy, zone) {
                let known = partitions.entry(zone.clone()).or_default().entry(bin).or_default();
                *known |= is_partitioned;
            }
        }
    }
    partitions
}

/// Returns by bin whether one proxy, which is in another zone, saw the zone partitioned.
fn observed_partition(evidence: &Evidence, proxy: &ProxyEvidence, zone: &String) -> Series {
    let mut inside: BTreeMap<Micros, SuspicionCount> = BTreeMap::new();
    let mut outside: BTreeMap<Micros, SuspicionCount> = BTreeMap::new();
    for (name, observations) in &proxy.observations {
        let is_inside = evidence.zones.get(name) == Some(zone);
        let counts = if is_inside { &mut inside } else { &mut outside };
        for observation in observations.iter().filter(|observation| observation.active) {
            let count = counts.entry(evidence.bin_of(observation.at)).or_default();
            count.members += 1;
            count.suspected += u32::from(observation.suspected);
        }
    }
    let mut series = Series::new();
    for (bin, count) in inside {
        let others_trusted = outside.get(&bin).is_some_and(|others| others.is_mostly_trusted());
        series.insert(bin, count.is_mostly_suspected() && others_trusted);
    }
    series
}

/// Finds the spans in which a zone was partitioned.
pub(super) fn detect(evidence: &Evidence, partitions: &BTreeMap<String, Series>) -> Vec<Incident> {
    let mut incidents = Vec::new();
    for (zone, series) in partitions {
        let members = members_in(evidence, zone);
        for run in find_runs(evidence, series) {
            incidents.push(Incident::from_run(evidence, Kind::Cut, zone, run, members.clone()));
        }
    }
    incidents
}

fn members_in(evidence: &Evidence, zone: &str) -> Vec<String> {
    let in_zone = evidence.zones.iter().filter(|(_, member_zone)| *member_zone == zone);
    in_zone.map(|(name, _)| name.clone()).collect()
}
