//! Detects slow log apply on many replicas at a time.

use super::incident::{Incident, Kind};
use super::no_primary::ObservedPrimaries;
use super::runs::{find_runs, Run, Series};
use super::SECOND;
use crate::evidence::Evidence;
use std::collections::BTreeMap;
use wharfplank_records::Micros;

/// A replica applies slowly if its position advances by less than this fraction of the elapsed time.
const SLOW_RATE: f64 = 0.6;
/// The apply rate is measured over at least this long.
const MIN_RATE_SPAN: Micros = 2 * SECOND;
/// Positions that were observed further apart than this, beyond [`MIN_RATE_SPAN`], give no rate.
const MAX_POSITION_AGE: Micros = 4 * SECOND;
/// Slow log apply is an incident if more than this fraction of the replicas apply slowly at a time...
const MIN_SLOW_FRACTION: f64 = 0.5;
/// ...and at least this many. A single stalled replica most likely serves a long read.
const MIN_SLOW_REPLICAS: usize = 2;

/// The advance of each member's position as a fraction of the elapsed time, by member and bin.
type ApplyRates<'a> = BTreeMap<&'a str, BTreeMap<Micros, f64>>;

/// The position of a member as a proxy observed it.
#[derive(Clone, Copy)]
struct PositionSample {
    seen_at: Micros,
    position: Micros,
}

/// The replicas of one bin whose apply rate counts.
#[derive(Default)]
struct BinReplicas<'a> {
    measured: usize,
    slow: Vec<&'a str>,
}

/// Finds the spans in which most replicas applied the log slowly.
pub(super) fn detect(
    evidence: &Evidence,
    primaries: &ObservedPrimaries,
    partitions: &BTreeMap<String, Series>,
) -> Vec<Incident> {
    let rates = apply_rates(evidence);
    let mut series = Series::new();
    let mut slow_replicas: BTreeMap<Micros, Vec<&str>> = BTreeMap::new();
    for bin in evidence.bins() {
        let is_measurable = |name: &str| {
            is_replica_with_primary(evidence, primaries, name, bin)
                && !is_partitioned(evidence, partitions, name, bin)
        };
        let replicas = replicas_in_bin(&rates, bin, is_measurable);
        // Rates of a minority do not show what most replicas did: the bin stays unknown.
        if replicas.measured * 2 > rates.len() {
            series.insert(bin, are_many_slow(&replicas));
            slow_replicas.insert(bin, replicas.slow);
        }
    }
    let mut incidents = Vec::new();
    for run in find_runs(evidence, &series) {
        let members = mostly_slow_replicas(&slow_replicas, run);
        incidents.push(Incident::from_run(evidence, Kind::SlowApply, "", run, members));
    }
    incidents
}

fn replicas_in_bin<'a>(
    rates: &ApplyRates<'a>,
    bin: Micros,
    is_measurable: impl Fn(&str) -> bool,
) -> BinReplicas<'a> {
    let mut replicas = BinReplicas::default();
    for (name, rates) in rates {
        let Some(rate) = rates.get(&bin) else { continue };
        if !is_measurable(name) {
            continue;
        }
        replicas.measured += 1;
        if *rate < SLOW_RATE {
            replicas.slow.push(name);
        }
    }
    replicas
}

fn are_many_slow(replicas: &BinReplicas) -> bool {
    let slow = replicas.slow.len();
    slow >= MIN_SLOW_REPLICAS && slow as f64 > replicas.measured as f64 * MIN_SLOW_FRACTION
}

/// Returns whether the member's group has a primary other than the member. Without a primary no position
/// advances, which is another kind of incident.
fn is_replica_with_primary(
    evidence: &Evidence,
    primaries: &ObservedPrimaries,
    name: &str,
    bin: Micros,
) -> bool {
    let group = group_of(evidence, name);
    let Some(seen) = group.and_then(|group| primaries.get(&group)).and_then(|bins| bins.get(&bin)) else {
        return false;
    };
    let has_primary = seen.iter().flatten().next().is_some();
    let is_primary = seen.iter().flatten().any(|primary| primary == name);
    has_primary && !is_primary
}

/// Returns whether the member's zone is partitioned: behind a partition no position advances, which is
/// another kind of incident.
fn is_partitioned(
    evidence: &Evidence,
    partitions: &BTreeMap<String, Series>,
    name: &str,
    bin: Micros,
) -> bool {
    let series = evidence.zones.get(name).and_then(|zone| partitions.get(zone));
    series.and_then(|series| series.get(&bin)) == Some(&true)
}

/// Returns the group in which a proxy first observed the member.
fn group_of(evidence: &Evidence, name: &str) -> Option<u64> {
    evidence.observations_of(name).map(|observation| observation.group).next()
}

/// Returns the replicas that were slow in at least half of the known bins of a run. One that stalled only
/// briefly served a long read.
fn mostly_slow_replicas(slow_replicas: &BTreeMap<Micros, Vec<&str>>, run: Run) -> Vec<String> {
    let mut slow_bins: BTreeMap<&str, usize> = BTreeMap::new();
    let mut known_bins = 0;
    for names in slow_replicas.range(run.from..run.to).map(|(_, names)| names) {
        known_bins += 1;
        for name in names {
            *slow_bins.entry(name).or_default() += 1;
        }
    }
    let mostly_slow = slow_bins.into_iter().filter(|(_, slow)| slow * 2 >= known_bins);
    mostly_slow.map(|(name, _)| name.to_string()).collect()
}

fn apply_rates(evidence: &Evidence) -> ApplyRates<'_> {
    let mut rates = ApplyRates::new();
    for name in evidence.members() {
        let member_rates = member_apply_rates(evidence, &position_samples(evidence, name));
        if !member_rates.is_empty() {
            rates.insert(name, member_rates);
        }
    }
    rates
}

/// Returns the member's positions over time. They are the member's own, so the observations of all proxies
/// count.
fn position_samples(evidence: &Evidence, name: &str) -> Vec<PositionSample> {
    let mut newest: BTreeMap<Micros, Micros> = BTreeMap::new();
    for observation in evidence.observations_of(name) {
        if observation.position_seen_at > 0 && observation.position > 0 {
            let position = newest.entry(observation.position_seen_at).or_default();
            *position = (*position).max(observation.position);
        }
    }
    newest.into_iter().map(|(seen_at, position)| PositionSample { seen_at, position }).collect()
}

/// Returns the apply rate by bin; each is measured over the shortest span of samples of at least
/// [`MIN_RATE_SPAN`].
fn member_apply_rates(evidence: &Evidence, samples: &[PositionSample]) -> BTreeMap<Micros, f64> {
    let max_span = MAX_POSITION_AGE.max(evidence.bin) + MIN_RATE_SPAN;
    let mut rates = BTreeMap::new();
    let mut first = 0;
    for last in 1..samples.len() {
        while first + 1 < last && samples[last].seen_at - samples[first + 1].seen_at >= MIN_RATE_SPAN {
            first += 1;
        }
        let start = samples[first];
        let end = samples[last];
        let span = end.seen_at - start.seen_at;
        if !(MIN_RATE_SPAN..=max_span).contains(&span) {
            continue;
        }
        let rate = (end.position - start.position) as f64 / span as f64;
        // The rate counts for the middle of the span over which it was measured.
        rates.insert(evidence.bin_of(start.seen_at + span / 2), rate);
    }
    rates
}
