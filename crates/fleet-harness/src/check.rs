//! The checker: it reads what every proxy logged, what the load saw and what the stand-ins counted, and counts the
//! broken rules and the figures of the failover decided in common.

use crate::health;
use crate::proxies::Plan;
pub use crate::report::Report;
use crate::schedule::{Fault, Schedule, ZONES};
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;
use wharfplank_lab::load::{ClientOutcome, RequestRecord};

/// Seconds after a zone is lost or returns at which agreement is counted.
pub const AFTER: [u64; 3] = [1, 2, 5];

/// Lost requests that a report names, at most.
const LOST_NAMED: usize = 20;

/// What the stand-ins and relays counted, handed to the checker.
pub struct Counted {
    /// Reads served from data too old, writes run twice, members fallen, and the peak part of what fells a member of
    /// a lost zone.
    pub stale: u64,
    /// See `stale`.
    pub twice: u64,
    /// See `stale`.
    pub fallen: u64,
    /// See `stale`.
    pub cold_peak: f64,
    /// Datagrams and bytes sent by all proxies to their peers.
    pub datagrams: u64,
    /// See `datagrams`.
    pub bytes: u64,
    /// Reads that went near and far while no zone was in trouble.
    pub near: u64,
    /// See `near`.
    pub far: u64,
    /// Proxies that ended on their own.
    pub crashed: u64,
    /// Proxies that held something else than the others long after the load, and how long it took until none did.
    pub diverged: u64,
    /// See `diverged`.
    pub converged_ms: u64,
    /// The most that the rig itself was late.
    pub late_ms: u64,
}

/// The lines of a proxy's log that are of one event, oldest first.
pub(crate) fn lines(directory: &Path, proxy: usize, event: &str) -> Vec<Value> {
    let text = std::fs::read_to_string(Plan::log(directory, proxy)).unwrap_or_default();
    let quoted = format!("\"{event}\"");
    let named = text.lines().filter(|line| line.contains(&quoted));
    let read = named.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    read.filter(|v| v.get("event").and_then(Value::as_str) == Some(event)).collect()
}

/// How many proxies hold another replicated state than most, by the digests that they told last; none where the
/// proxies do not talk.
pub fn differing(directory: &Path, schedule: &Schedule) -> u64 {
    if !schedule.peers {
        return 0;
    }
    let mut held: BTreeMap<String, u64> = BTreeMap::new();
    for proxy in 0..schedule.proxies {
        let last = lines(directory, proxy, "replica").pop();
        let digest = last.as_ref().and_then(|v| v.get("digest")?.as_str()).unwrap_or("-").to_string();
        *held.entry(digest).or_default() += 1;
    }
    schedule.proxies as u64 - held.values().max().copied().unwrap_or(0)
}

/// Each proxy's zone decisions from its log: when, which zone, whether left.
fn decisions(directory: &Path, proxies: usize) -> Vec<Vec<(i64, String, bool)>> {
    (0..proxies)
        .map(|n| {
            lines(directory, n, "zone")
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

/// Whether the proxy held the zone left at that time.
fn left_at(decided: &[(i64, String, bool)], zone: &str, at: i64) -> bool {
    decided.iter().rfind(|(when, z, _)| z == zone && *when <= at).is_some_and(|(_, _, left)| *left)
}

/// The spans in µs of the load in which each proxy was dead or paused.
fn away(schedule: &Schedule, start: i64) -> Vec<Vec<(i64, i64)>> {
    let mut away = vec![Vec::new(); schedule.proxies];
    let ms = |ms: u64| start + ms as i64 * 1000;
    for fault in &schedule.faults {
        match fault {
            Fault::Kill { at_ms, back_ms, proxies } => {
                // A restarted proxy takes a moment to serve: its clients found it dead until then.
                proxies.iter().for_each(|p| away[*p].push((ms(*at_ms), ms(at_ms + back_ms + 3_000))));
            }
            Fault::Pause { at_ms, for_ms, proxy } => away[*proxy].push((ms(*at_ms), ms(at_ms + for_ms))),
            _ => {}
        }
    }
    away
}

/// Counts it all.
pub fn check(
    schedule: &Schedule,
    start: i64,
    requests: &[RequestRecord],
    retry_outcomes: &[ClientOutcome],
    counted: &Counted,
    directory: &Path,
) -> Report {
    let mut report = Report {
        scenario: schedule.scenario.name().to_string(),
        seed: schedule.seed,
        proxies: schedule.proxies,
        peers: schedule.peers,
        stale: counted.stale,
        twice: counted.twice,
        fallen: counted.fallen,
        crashed: counted.crashed,
        cold_peak: counted.cold_peak,
        diverged: counted.diverged,
        converged_ms: counted.converged_ms,
        late_ms: counted.late_ms,
        ..Report::default()
    };
    for outcome in retry_outcomes {
        *report.again.entry(outcome.to_string()).or_default() += 1;
    }
    for proxy in 0..schedule.proxies {
        let told = lines(directory, proxy, "replica");
        let of = |name: &str| told.last().and_then(|v| v.get(name)?.as_u64()).unwrap_or(0);
        report.replica_bytes_a_second += (of("rumour_bytes") + of("sync_bytes")) as f64;
        report.replica_entries = report.replica_entries.max(of("entries"));
        report.exchanges += of("asked");
        report.exchanges_differed += of("differed");
    }
    report.replica_bytes_a_second /= schedule.seconds.max(1) as f64 * schedule.proxies as f64;
    for proxy in 0..schedule.proxies {
        for line in lines(directory, proxy, "request_unserved") {
            let of = |name: &str| line.get(name).and_then(Value::as_str).unwrap_or("-").to_string();
            let group = line.get("group").and_then(Value::as_u64).unwrap_or(0);
            let (class, why) = (of("class"), of("why"));
            *report.given_up.entry(format!("{class} of group {group}: {why}")).or_default() += 1;
            let at = line.get("time_ms").and_then(Value::as_i64).unwrap_or(0) * 1000 - start;
            *report.given_up_at.entry((at / 1_000_000).max(0) as u64).or_default() += 1;
        }
    }
    let away = away(schedule, start);
    // A request was at a proxy that was away if that proxy was dead or paused at any time between its due time and
    // a second after it ended: a client keeps sending to a dead proxy for a while.
    let at_away = |d: &RequestRecord| {
        away[d.proxy].iter().any(|(from, to)| d.due_at <= *to && d.finished_at + 1_000_000 >= *from)
    };
    for d in requests {
        *report.requests.entry(d.outcome.to_string()).or_default() += 1;
        if matches!(
            d.outcome,
            ClientOutcome::TimedOut | ClientOutcome::ConnectionLost | ClientOutcome::Unreachable
        ) {
            if at_away(d) {
                report.unanswered_at_a_dead_proxy += 1;
            } else if d.outcome != ClientOutcome::Unreachable {
                report.lost += 1;
                if report.lost_named.len() < LOST_NAMED {
                    let ms = |at: i64| (at - start) / 1000;
                    let class = wharfplank_lab::member_model::CLASSES[d.class].name;
                    let (due, at) = (ms(d.due_at), ms(d.finished_at));
                    report
                        .lost_named
                        .push(format!("n{} {class} due {due} ended {at} {}", d.proxy, d.outcome));
                }
            }
        }
    }
    let decided = decisions(directory, schedule.proxies);
    for (from_ms, to_ms, zone) in schedule.zone_spans() {
        let (from, to) = (start + from_ms as i64 * 1000, start + to_ms as i64 * 1000);
        let part = |at: i64, left: bool| {
            let live: Vec<usize> = (0..schedule.proxies)
                .filter(|p| !away[*p].iter().any(|(a, b)| (*a..=*b).contains(&at)))
                .collect();
            let count = live.iter().filter(|p| left_at(&decided[**p], &zone, at) == left).count();
            count as f64 / live.len().max(1) as f64
        };
        report.left_after.push(AFTER.map(|s| part(from + s as i64 * 1_000_000, true)));
        report.back_after.push(AFTER.map(|s| part(to + s as i64 * 1_000_000, false)));
    }
    let end = start + schedule.seconds as i64 * 1_000_000;
    let left = |d: &&Vec<(i64, String, bool)>| ZONES.iter().any(|zone| left_at(d, zone, end));
    report.left_at_end = decided.iter().filter(left).count();
    report.far_reads = counted.far as f64 / (counted.near + counted.far).max(1) as f64;
    let seconds = schedule.seconds.max(1) as f64 * schedule.proxies.max(1) as f64;
    report.udp_bytes_a_second = counted.bytes as f64 / seconds;
    report.udp_datagrams_a_second = counted.datagrams as f64 / seconds;
    report.health = health::check(schedule, start, requests, directory);
    report.broken =
        report.lost + report.stale + report.twice + report.fallen + report.crashed + report.diverged;
    report.broken += report.health.wrongly;
    report
}
