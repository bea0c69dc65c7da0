//! Outlier detection across the fleet: which verdicts on members the proxies logged, and the effect of a slow
//! member on reads.

use crate::check::log_entries;
use crate::schedule::{Fault, Schedule};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;
use wharfplank_lab::load::{ClientOutcome, RequestRecord};
use wharfplank_lab::member_model::CLASSES;

/// The times after a slowdown begins, in seconds, at which the proxies with an adverse verdict are counted.
pub const VERDICT_CHECKS_S: [u64; 4] = [1, 2, 3, 5];

/// The results of outlier detection in a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Health {
    /// For each slow member, the fraction of proxies that judged it degraded or ejected 1, 2, 3 and 5 s after
    /// the slowdown began.
    #[serde(rename = "held_after")]
    pub adverse_after: Vec<[f64; 4]>,
    /// For each slow member, the fraction of proxies that gave such a verdict at any time while it was slow.
    #[serde(rename = "held_ever")]
    pub adverse_ever: Vec<f64>,
    /// Adverse verdicts on members that were not slow, counted once for each proxy and member: a rule
    /// violation.
    #[serde(rename = "wrongly")]
    pub wrong_verdicts: u64,
    /// Proxies with an adverse verdict on any member when the load ended.
    #[serde(rename = "held_at_end")]
    pub adverse_at_end: u64,
    /// Reads due while a member was slow, and those of them that were late or not served.
    pub reads: u64,
    /// See `reads`.
    #[serde(rename = "late")]
    pub late_reads: u64,
}

/// Returns a proxy's verdicts from its log: the time, the member, and whether the verdict was adverse.
fn verdicts(directory: &Path, proxy: usize) -> Vec<(i64, String, bool)> {
    let read = |v: Value| {
        let is_adverse = v.get("verdict")?.as_str()? != "sound";
        Some((v.get("time_ms")?.as_i64()? * 1000, v.get("name")?.as_str()?.to_string(), is_adverse))
    };
    log_entries(directory, proxy, "member_health").into_iter().filter_map(read).collect()
}

/// Evaluates the verdicts that the proxies logged, and the reads that were late or failed.
pub fn check(schedule: &Schedule, start: i64, requests: &[RequestRecord], directory: &Path) -> Health {
    let mut health = Health::default();
    let slow: Vec<(i64, i64, &str)> = schedule
        .faults
        .iter()
        .filter_map(|fault| match fault {
            Fault::Slow { at_s, for_s, member, .. } => {
                let at = |s: &u64| start + *s as i64 * 1_000_000;
                Some((at(at_s), at(&(at_s + for_s)), member.as_str()))
            }
            _ => None,
        })
        .collect();
    let verdicts: Vec<Vec<(i64, String, bool)>> =
        (0..schedule.proxies).map(|n| verdicts(directory, n)).collect();
    for (from, to, member) in &slow {
        let fraction_at = |at: i64| {
            let last = |h: &&Vec<(i64, String, bool)>| {
                h.iter().rfind(|(t, m, _)| m == member && *t <= at).map(|h| h.2)
            };
            verdicts.iter().filter(|h| last(h) == Some(true)).count() as f64 / schedule.proxies as f64
        };
        health.adverse_after.push(VERDICT_CHECKS_S.map(|s| fraction_at(from + s as i64 * 1_000_000)));
        let at_any_time = |h: &&Vec<(i64, String, bool)>| {
            h.iter().any(|(t, m, is_adverse)| m == member && *is_adverse && (*from..*to).contains(t))
        };
        health
            .adverse_ever
            .push(verdicts.iter().filter(at_any_time).count() as f64 / schedule.proxies as f64);
    }
    for verdicts in &verdicts {
        let wrong = verdicts
            .iter()
            .filter(|(_, member, is_adverse)| *is_adverse && slow.iter().all(|(_, _, m)| m != member));
        health.wrong_verdicts += wrong.map(|(_, member, _)| member).collect::<BTreeSet<_>>().len() as u64;
        let members: BTreeSet<&String> = verdicts.iter().map(|(_, member, _)| member).collect();
        let last = |member: &&String| verdicts.iter().rfind(|(_, m, _)| m == *member).is_some_and(|h| h.2);
        health.adverse_at_end += u64::from(members.iter().any(last));
    }
    for request in requests {
        let in_time = request.outcome == ClientOutcome::Served
            && request.finished_at - request.due_at <= CLASSES[request.class].latency_objective;
        if slow.iter().any(|(from, to, _)| (*from..*to).contains(&request.due_at))
            && CLASSES[request.class].name != "write"
        {
            health.reads += 1;
            health.late_reads += u64::from(!in_time);
        }
    }
    health
}

impl Health {
    /// Formats the results as text; empty if no member was slow.
    pub fn render(&self) -> String {
        let line = |(h, at_any_time): (&[f64; 4], &f64)| {
            let fractions: Vec<String> = h.iter().map(|p| format!("{p:.2}")).collect();
            format!("proxies that judged the slow member degraded after 1, 2, 3, 5 s: {}; at any time {at_any_time:.2}\n", fractions.join(" "))
        };
        let mut out: String = self.adverse_after.iter().zip(&self.adverse_ever).map(line).collect();
        if !out.is_empty() {
            out.push_str(&format!(
                "wrong verdicts on sound members: {}; reads late or lost while it was slow: {} of {}; proxies with a verdict at the end: {}\n",
                self.wrong_verdicts, self.late_reads, self.reads, self.adverse_at_end
            ));
        }
        out
    }
}
