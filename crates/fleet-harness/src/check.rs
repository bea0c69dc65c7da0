//! The checker of a run. From the logs of all proxies, the outcomes that the load generator saw and the
//! counters of the stand-in members it counts rule violations, and measures how the fleet agreed on zone
//! failover.

use crate::health;
use crate::proxies::ProxyConfig;
pub use crate::report::Report;
use crate::schedule::{Fault, Schedule, ZONES};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;
use wharfplank_lab::load::{ClientOutcome, RequestRecord};

/// The times after a zone is lost or returns, in seconds, at which agreement among the proxies is measured.
pub const AGREEMENT_CHECKS_S: [u64; 3] = [1, 2, 5];

/// The maximum number of lost requests that a report describes.
const MAX_LOST_EXAMPLES: usize = 20;

/// The counters of the stand-in members, the relays and the harness.
pub struct RunCounters {
    /// Reads served from data that was too old.
    pub stale_reads: u64,
    /// Writes that were executed twice.
    pub duplicate_writes: u64,
    /// Members that collapsed under load.
    pub collapsed_members: u64,
    /// The peak load on a member of a lost zone, as a fraction of the load under which it collapses.
    pub peak_cold_load: f64,
    /// Datagrams and bytes that all proxies sent to their peers.
    pub datagrams: u64,
    /// See `datagrams`.
    pub bytes: u64,
    /// Reads that went to a replica of the proxy's own zone, and of another zone, while no zone fault was
    /// active.
    pub same_zone_reads: u64,
    /// See `same_zone_reads`.
    pub cross_zone_reads: u64,
    /// Proxies that exited on their own.
    pub crashed: u64,
    /// Proxies whose replicated state still differed after the load, and the time until all were equal.
    pub diverged: u64,
    /// See `diverged`.
    pub converged_ms: u64,
    /// The greatest delay of the harness's own timers.
    pub harness_delay_ms: u64,
}

/// Returns the entries of one event in a proxy's log, oldest first.
pub(crate) fn log_entries(directory: &Path, proxy: usize, event: &str) -> Vec<Value> {
    let text = std::fs::read_to_string(ProxyConfig::log_path(directory, proxy)).unwrap_or_default();
    let quoted = format!("\"{event}\"");
    let candidates = text.lines().filter(|line| line.contains(&quoted));
    let entries = candidates.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    entries.filter(|v| v.get("event").and_then(Value::as_str) == Some(event)).collect()
}

/// Returns the number of proxies whose replicated state differs from that of the majority, by their last
/// logged digests; zero if the proxies exchange no gossip.
pub fn count_diverged(directory: &Path, schedule: &Schedule) -> u64 {
    if !schedule.peers {
        return 0;
    }
    let mut digests: BTreeMap<String, u64> = BTreeMap::new();
    for proxy in 0..schedule.proxies {
        let last = log_entries(directory, proxy, "replica").pop();
        let digest = last.as_ref().and_then(|v| v.get("digest")?.as_str()).unwrap_or("-").to_string();
        *digests.entry(digest).or_default() += 1;
    }
    schedule.proxies as u64 - digests.values().max().copied().unwrap_or(0)
}

/// Returns each proxy's zone decisions from its log: the time, the zone, and whether the zone is evacuated.
fn zone_decisions(directory: &Path, proxies: usize) -> Vec<Vec<(i64, String, bool)>> {
    (0..proxies)
        .map(|n| {
            log_entries(directory, n, "zone")
                .into_iter()
                .filter_map(|v| {
                    let at = v.get("time_ms")?.as_i64()? * 1000;
                    let zone = v.get("zone")?.as_str()?.to_string();
                    Some((at, zone, v.get("standing")?.as_str()? == "left"))
                })
                .collect()
        })
        .collect()
}

/// Returns whether the proxy had evacuated the zone at that time.
fn is_evacuated_at(decisions: &[(i64, String, bool)], zone: &str, at: i64) -> bool {
    decisions
        .iter()
        .rfind(|(when, z, _)| z == zone && *when <= at)
        .is_some_and(|(_, _, evacuated)| *evacuated)
}

/// Returns the spans of time in which each proxy was down or paused.
fn outages(schedule: &Schedule, start: i64) -> Vec<Vec<(i64, i64)>> {
    let mut outages = vec![Vec::new(); schedule.proxies];
    let ms = |ms: u64| start + ms as i64 * 1000;
    for fault in &schedule.faults {
        match fault {
            Fault::Kill { at_ms, back_ms, proxies } => {
                // A restarted proxy needs up to 3 s to serve, and its clients cannot reach it until then.
                proxies.iter().for_each(|p| outages[*p].push((ms(*at_ms), ms(at_ms + back_ms + 3_000))));
            }
            Fault::Pause { at_ms, for_ms, proxy } => outages[*proxy].push((ms(*at_ms), ms(at_ms + for_ms))),
            _ => {}
        }
    }
    outages
}

/// Checks a run.
pub fn check(
    schedule: &Schedule,
    start: i64,
    requests: &[RequestRecord],
    retry_outcomes: &[ClientOutcome],
    counters: &RunCounters,
    directory: &Path,
) -> Report {
    let mut report = Report {
        scenario: schedule.scenario.name().to_string(),
        seed: schedule.seed,
        proxies: schedule.proxies,
        peers: schedule.peers,
        stale_reads: counters.stale_reads,
        duplicate_writes: counters.duplicate_writes,
        collapsed_members: counters.collapsed_members,
        crashed: counters.crashed,
        peak_cold_load: counters.peak_cold_load,
        diverged: counters.diverged,
        converged_ms: counters.converged_ms,
        harness_delay_ms: counters.harness_delay_ms,
        ..Report::default()
    };
    for outcome in retry_outcomes {
        *report.write_retries.entry(outcome.to_string()).or_default() += 1;
    }
    for proxy in 0..schedule.proxies {
        let states = log_entries(directory, proxy, "replica");
        let of = |name: &str| states.last().and_then(|v| v.get(name)?.as_u64()).unwrap_or(0);
        report.replica_bytes_per_second += (of("rumour_bytes") + of("sync_bytes")) as f64;
        report.replica_entries = report.replica_entries.max(of("entries"));
        report.exchanges += of("asked");
        report.exchanges_differed += of("differed");
    }
    report.replica_bytes_per_second /= schedule.seconds.max(1) as f64 * schedule.proxies as f64;
    for proxy in 0..schedule.proxies {
        for line in log_entries(directory, proxy, "request_unserved") {
            let of = |name: &str| line.get(name).and_then(Value::as_str).unwrap_or("-").to_string();
            let group = line.get("group").and_then(Value::as_u64).unwrap_or(0);
            let (class, why) = (of("class"), of("why"));
            *report.unserved.entry(format!("{class} of group {group}: {why}")).or_default() += 1;
            let at = line.get("time_ms").and_then(Value::as_i64).unwrap_or(0) * 1000 - start;
            *report.unserved_by_second.entry((at / 1_000_000).max(0) as u64).or_default() += 1;
        }
    }
    let outages = outages(schedule, start);
    // A request counts as sent to an unavailable proxy if that proxy was down or paused at any time from its
    // due time to one second after its end, because a client keeps sending to a dead proxy for a while.
    let was_at_unavailable_proxy = |request: &RequestRecord| {
        outages[request.proxy]
            .iter()
            .any(|(from, to)| request.due_at <= *to && request.finished_at + 1_000_000 >= *from)
    };
    for request in requests {
        *report.requests.entry(request.outcome.to_string()).or_default() += 1;
        if matches!(
            request.outcome,
            ClientOutcome::TimedOut | ClientOutcome::ConnectionLost | ClientOutcome::Unreachable
        ) {
            if was_at_unavailable_proxy(request) {
                report.unanswered_at_unavailable_proxy += 1;
            } else if request.outcome != ClientOutcome::Unreachable {
                report.lost += 1;
                if report.lost_examples.len() < MAX_LOST_EXAMPLES {
                    let ms = |at: i64| (at - start) / 1000;
                    let class = wharfplank_lab::member_model::CLASSES[request.class].name;
                    let (due, at) = (ms(request.due_at), ms(request.finished_at));
                    report
                        .lost_examples
                        .push(format!("n{} {class} due {due} ended {at} {}", request.proxy, request.outcome));
                }
            }
        }
    }
    let decisions = zone_decisions(directory, schedule.proxies);
    for (from_ms, to_ms, zone) in schedule.zone_spans() {
        let (from, to) = (start + from_ms as i64 * 1000, start + to_ms as i64 * 1000);
        let fraction_at = |at: i64, evacuated: bool| {
            let live: Vec<usize> = (0..schedule.proxies)
                .filter(|p| !outages[*p].iter().any(|(a, b)| (*a..=*b).contains(&at)))
                .collect();
            let count =
                live.iter().filter(|p| is_evacuated_at(&decisions[**p], &zone, at) == evacuated).count();
            count as f64 / live.len().max(1) as f64
        };
        report
            .evacuated_after
            .push(AGREEMENT_CHECKS_S.map(|s| fraction_at(from + s as i64 * 1_000_000, true)));
        report.returned_after.push(AGREEMENT_CHECKS_S.map(|s| fraction_at(to + s as i64 * 1_000_000, false)));
    }
    let end = start + schedule.seconds as i64 * 1_000_000;
    let evacuated_any =
        |d: &&Vec<(i64, String, bool)>| ZONES.iter().any(|zone| is_evacuated_at(d, zone, end));
    report.evacuated_at_end = decisions.iter().filter(evacuated_any).count();
    report.cross_zone_read_fraction = counters.cross_zone_reads as f64
        / (counters.same_zone_reads + counters.cross_zone_reads).max(1) as f64;
    let seconds = schedule.seconds.max(1) as f64 * schedule.proxies.max(1) as f64;
    report.udp_bytes_per_second = counters.bytes as f64 / seconds;
    report.udp_datagrams_per_second = counters.datagrams as f64 / seconds;
    report.health = health::check(schedule, start, requests, directory);
    report.violations = report.lost
        + report.stale_reads
        + report.duplicate_writes
        + report.collapsed_members
        + report.crashed
        + report.diverged;
    report.violations += report.health.wrong_verdicts;
    report
}
