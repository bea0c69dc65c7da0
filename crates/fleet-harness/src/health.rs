//! Members judged in common: what the proxies' logs say they held of the slow member and of the others, and what its
//! slowness cost.

use crate::check::lines;
use crate::schedule::{Fault, Schedule};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::Path;
use wharfplank_lab::load::{ClientOutcome, RequestRecord};
use wharfplank_lab::member_model::CLASSES;

/// Seconds after a member is slow at which the proxies that hold it degraded are counted.
pub const AFTER: [u64; 4] = [1, 2, 3, 5];

/// What a run showed of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Health {
    /// For each slow member, the part of the proxies that held it degraded or out 1, 2, 3 and 5 s after it was slow.
    pub held_after: Vec<[f64; 4]>,
    /// For each, the part that held it so at any time while it was slow.
    pub held_ever: Vec<f64>,
    /// Members that were not slow and a proxy held for it: a broken rule, as each proxy counts.
    pub wrongly: u64,
    /// Proxies that held something of a member when the load ended.
    pub held_at_end: u64,
    /// Reads due while a member was slow, and those of them that came late or not at all.
    pub reads: u64,
    /// See `reads`.
    pub late: u64,
}

/// When a proxy came to hold what of which member.
fn held(directory: &Path, proxy: usize) -> Vec<(i64, String, bool)> {
    let read = |v: Value| {
        let bad = v.get("verdict")?.as_str()? != "sound";
        Some((v.get("time_ms")?.as_i64()? * 1000, v.get("name")?.as_str()?.to_string(), bad))
    };
    lines(directory, proxy, "member_health").into_iter().filter_map(read).collect()
}

/// Counts it.
pub fn check(schedule: &Schedule, start: i64, done: &[RequestRecord], directory: &Path) -> Health {
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
    let held: Vec<Vec<(i64, String, bool)>> = (0..schedule.proxies).map(|n| held(directory, n)).collect();
    for (from, to, member) in &slow {
        let part = |at: i64| {
            let last = |h: &&Vec<(i64, String, bool)>| {
                h.iter().rfind(|(t, m, _)| m == member && *t <= at).map(|h| h.2)
            };
            held.iter().filter(|h| last(h) == Some(true)).count() as f64 / schedule.proxies as f64
        };
        health.held_after.push(AFTER.map(|s| part(from + s as i64 * 1_000_000)));
        let ever = |h: &&Vec<(i64, String, bool)>| {
            h.iter().any(|(t, m, bad)| m == member && *bad && (*from..*to).contains(t))
        };
        health.held_ever.push(held.iter().filter(ever).count() as f64 / schedule.proxies as f64);
    }
    for held in &held {
        let named = held.iter().filter(|(_, member, bad)| *bad && slow.iter().all(|(_, _, m)| m != member));
        health.wrongly += named.map(|(_, member, _)| member).collect::<BTreeSet<_>>().len() as u64;
        let members: BTreeSet<&String> = held.iter().map(|(_, member, _)| member).collect();
        let last = |member: &&String| held.iter().rfind(|(_, m, _)| m == *member).is_some_and(|h| h.2);
        health.held_at_end += u64::from(members.iter().any(last));
    }
    for d in done {
        let in_time = d.outcome == ClientOutcome::Served
            && d.finished_at - d.due_at <= CLASSES[d.class].latency_objective;
        if slow.iter().any(|(from, to, _)| (*from..*to).contains(&d.due_at))
            && CLASSES[d.class].name != "write"
        {
            health.reads += 1;
            health.late += u64::from(!in_time);
        }
    }
    health
}

impl Health {
    /// Lines for people; none where no member was slow.
    pub fn render(&self) -> String {
        let held = |(h, ever): (&[f64; 4], &f64)| {
            let parts: Vec<String> = h.iter().map(|p| format!("{p:.2}")).collect();
            format!("held the slow member degraded after 1, 2, 3, 5 s: {}; ever {ever:.2}\n", parts.join(" "))
        };
        let mut out: String = self.held_after.iter().zip(&self.held_ever).map(held).collect();
        if !out.is_empty() {
            out.push_str(&format!(
                "sound members named: {}; reads late or lost while it was slow: {} of {}; proxies that held something at the end: {}\n",
                self.wrongly, self.late, self.reads, self.held_at_end
            ));
        }
        out
    }
}
