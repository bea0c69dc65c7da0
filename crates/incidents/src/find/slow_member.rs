//! Detects members that answer more slowly than the others.
//!
//! Latencies are compared as ratios to the usual latency of their class, so that different classes can be
//! summed. A member that receives more work than usual is overloaded and not slow.

use super::incident::{Incident, Kind};
use super::runs::{find_runs, Series};
use super::SECOND;
use crate::evidence::{Coverage, Evidence};
use std::collections::BTreeMap;
use wharfplank_records::Micros;

/// A member is slow if its answers take this many times as long as those of the others.
const SLOW_RATIO: f64 = 2.0;
/// The latencies of fewer answers are not compared.
const MIN_ANSWERS: u64 = 3;
/// The latencies of a bin include this many bins on each side.
const LATENCY_WINDOW_BINS: i64 = 1;
/// A member is overloaded if it receives this many times its usual work and that of the others.
const OVERLOAD_RATIO: f64 = 1.2;
/// The work of a bin includes this many bins on each side.
const WORK_WINDOW_BINS: i64 = 2;
/// Shorter slow spans are discarded: the latencies of single answers vary, so they may be chance.
const MIN_LENGTH: Micros = 6 * SECOND;
/// The usual work of a member is that of the bin at this fraction of its bins in ascending order, as a
/// divisor: 4 is the lower quartile.
const USUAL_WORK_DIVISOR: usize = 4;
/// A lower bound for the median ratio of the other members.
const MIN_OTHERS_RATIO: f64 = 0.5;

/// Answers of one member and class in one bin.
#[derive(Clone, Copy, Default)]
struct LatencySum {
    answers: u64,
    took: Micros,
}

/// Answers of one member in one bin, each with the ratio of its latency to the usual one of its class.
#[derive(Clone, Copy, Default)]
struct RatioSum {
    answers: u64,
    ratios: f64,
}

/// The latencies, by member and class, and by bin.
type Latencies<'a> = BTreeMap<(&'a str, &'a str), BTreeMap<Micros, LatencySum>>;

/// A member's answers over time.
#[derive(Default)]
struct MemberProfile {
    /// Latency ratios by bin.
    ratios: BTreeMap<Micros, RatioSum>,
    /// The work that the member received, in µs of usual latency, by bin.
    work: BTreeMap<Micros, f64>,
}

/// The profiles of all members, by name.
type Profiles<'a> = BTreeMap<&'a str, MemberProfile>;

/// Finds the spans in which a member answered slowly.
pub(super) fn detect(evidence: &Evidence) -> Vec<Incident> {
    let latencies = sum_latencies(evidence);
    let usual_latencies = usual_latencies(&latencies);
    let profiles = profile_members(evidence, &latencies, &usual_latencies);
    let mut incidents = Vec::new();
    for member in profiles.keys() {
        let series = slow_bins(evidence, &profiles, member);
        for run in find_runs(evidence, &series) {
            if run.length() >= MIN_LENGTH {
                let members = vec![member.to_string()];
                incidents.push(Incident::from_run(evidence, Kind::SlowMember, member, run, members));
            }
        }
    }
    incidents
}

fn sum_latencies(evidence: &Evidence) -> Latencies<'_> {
    let mut latencies = Latencies::new();
    for ((bin, member, class), answers) in evidence.proxies.values().flat_map(|proxy| &proxy.served) {
        let bins = latencies.entry((&**member, &**class)).or_default();
        let sum = bins.entry(*bin).or_default();
        sum.answers += answers.count;
        sum.took += answers.took;
    }
    latencies
}

/// Returns by class the median of the members' mean latencies, which one slow member does not shift.
fn usual_latencies<'a>(latencies: &Latencies<'a>) -> BTreeMap<&'a str, f64> {
    let mut means: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for ((_, class), bins) in latencies {
        let answers: u64 = bins.values().map(|sum| sum.answers).sum();
        let took: Micros = bins.values().map(|sum| sum.took).sum();
        if answers >= MIN_ANSWERS {
            means.entry(class).or_default().push(took as f64 / answers as f64);
        }
    }
    let median = |mut means: Vec<f64>| {
        means.sort_by(f64::total_cmp);
        means[(means.len() - 1) / 2].max(1.0)
    };
    means.into_iter().map(|(class, means)| (class, median(means))).collect()
}

fn profile_members<'a>(
    evidence: &Evidence,
    latencies: &Latencies<'a>,
    usual_latencies: &BTreeMap<&str, f64>,
) -> Profiles<'a> {
    let mut profiles = Profiles::new();
    let mut coverage: BTreeMap<Micros, Coverage> = BTreeMap::new();
    for ((member, class), bins) in latencies {
        let Some(usual) = usual_latencies.get(class) else { continue };
        for (bin, sum) in bins {
            let profile = profiles.entry(member).or_default();
            let ratios = profile.ratios.entry(*bin).or_default();
            ratios.answers += sum.answers;
            ratios.ratios += sum.took as f64 / usual;
            // The work from proxies without records is unknown: assume as much as from each of the others.
            let Coverage { covering, proxies } =
                *coverage.entry(*bin).or_insert_with(|| evidence.coverage(*bin, bin + evidence.bin));
            let work = profile.work.entry(*bin).or_default();
            *work += sum.answers as f64 * usual * proxies as f64 / covering.max(1) as f64;
        }
    }
    profiles
}

/// Returns whether a member was slow, by bin. If most members are slow at once, the cause is the load or the
/// network and not the member.
fn slow_bins(evidence: &Evidence, profiles: &Profiles, member: &str) -> Series {
    let profile = &profiles[member];
    let usual_work = usual_work(profile);
    let last_bin = profiles.values().flat_map(|profile| profile.ratios.keys()).max().copied().unwrap_or(0);
    let mut series = Series::new();
    for bin in evidence.bins().take_while(|bin| *bin < last_bin) {
        let Some(ratio) = mean_ratio(evidence, profile, bin) else { continue };
        let others_ratio = median_ratio_of_others(evidence, profiles, member, bin);
        let is_slow = ratio >= SLOW_RATIO * others_ratio.max(1.0);
        series.insert(bin, is_slow && !is_overloaded(evidence, profiles, member, usual_work, bin));
    }
    series
}

/// Returns the mean latency ratio around a bin, unless there are too few answers.
fn mean_ratio(evidence: &Evidence, profile: &MemberProfile, bin: Micros) -> Option<f64> {
    let reach = LATENCY_WINDOW_BINS * evidence.bin;
    let mut total = RatioSum::default();
    for sum in profile.ratios.range(bin - reach..=bin + reach).map(|(_, sum)| sum) {
        total.answers += sum.answers;
        total.ratios += sum.ratios;
    }
    (total.answers >= MIN_ANSWERS).then(|| total.ratios / total.answers as f64)
}

fn median_ratio_of_others(evidence: &Evidence, profiles: &Profiles, member: &str, bin: Micros) -> f64 {
    let others = profiles.iter().filter(|(name, _)| **name != member);
    let mut ratios: Vec<f64> = others.filter_map(|(_, profile)| mean_ratio(evidence, profile, bin)).collect();
    ratios.sort_by(f64::total_cmp);
    ratios.get(ratios.len() / 2).copied().unwrap_or(1.0).max(MIN_OTHERS_RATIO)
}

/// Returns the lower quartile of the work in the member's bins.
fn usual_work(profile: &MemberProfile) -> f64 {
    let mut work: Vec<f64> = profile.work.values().copied().collect();
    work.sort_by(f64::total_cmp);
    work[work.len() / USUAL_WORK_DIVISOR]
}

/// Returns whether the member received more work than usual and more than the others. It then answers late
/// because of the work; a member that is slow by itself receives less, since proxies avoid it.
fn is_overloaded(
    evidence: &Evidence,
    profiles: &Profiles,
    member: &str,
    usual_work: f64,
    bin: Micros,
) -> bool {
    let window_bins = (2 * WORK_WINDOW_BINS + 1) as f64;
    let own = work_around(evidence, &profiles[member], bin);
    let others = profiles.iter().filter(|(name, _)| **name != member);
    let others_work = others.map(|(_, profile)| work_around(evidence, profile, bin)).sum::<f64>();
    let others_mean = others_work / (profiles.len().max(2) - 1) as f64;
    own >= OVERLOAD_RATIO * usual_work * window_bins && own >= OVERLOAD_RATIO * others_mean
}

fn work_around(evidence: &Evidence, profile: &MemberProfile, bin: Micros) -> f64 {
    let reach = WORK_WINDOW_BINS * evidence.bin;
    profile.work.range(bin - reach..=bin + reach).map(|(_, work)| work).sum::<f64>()
}
