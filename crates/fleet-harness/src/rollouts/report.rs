//! The report of a run.

use super::rules::RuleViolations;
use serde::Serialize;
use std::path::Path;
use wharfplank_lab::load::{ClientOutcome, RequestRecord};
use wharfplank_lab::member_model::{Micros, RequestClass, CLASSES};

/// The report of a run. The encoded names are those of `outcome.json`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The name of the case.
    pub case: String,
    /// The seed.
    pub seed: u64,
    /// The violations that the checker counted.
    #[serde(rename = "broken")]
    pub violations: RuleViolations,
    /// Whether all rollouts had finished at all proxies, and all members served.
    #[serde(rename = "ended")]
    pub is_finished: bool,
    /// Whether the case's fault was injected, which happens during the rollout.
    #[serde(rename = "faulted")]
    pub had_fault: bool,
    /// The version that all members served with at the end; none if they differed.
    #[serde(rename = "version")]
    pub final_version: Option<u64>,
    /// The number of orders that were followed.
    #[serde(rename = "followed")]
    pub followed_orders: usize,
    /// The number of members that ran the new version at any time.
    #[serde(rename = "touched")]
    pub touched_members: usize,
    /// The number of orders for incarnations that had already ended.
    #[serde(rename = "void")]
    pub stale_orders: u64,
    /// The time from the first command until everything was finished, in milliseconds.
    #[serde(rename = "took_ms")]
    pub duration_ms: i64,
    /// The halts and rollbacks with their reasons, from the proxies' logs.
    #[serde(rename = "turned")]
    pub halts: Vec<String>,
    /// The number of requests.
    pub requests: usize,
    /// The number of requests that were served.
    pub served: usize,
    /// The weight of all requests.
    #[serde(rename = "worth_asked")]
    pub offered_weight: f64,
    /// The weight served; a late answer counts for the class's late fraction of it.
    #[serde(rename = "worth_served")]
    pub served_weight: f64,
}

impl Report {
    /// Adds the outcomes of the requests that were due in a span of time.
    pub(super) fn add_requests(&mut self, requests: &[RequestRecord], from: Micros, until: Micros) {
        for request in requests.iter().filter(|request| (from..until).contains(&request.due_at)) {
            let class = &CLASSES[request.class];
            self.requests += 1;
            self.offered_weight += class.weight;
            if request.outcome == ClientOutcome::Served {
                self.served += 1;
                self.served_weight += weight(class, request.finished_at - request.due_at);
            }
        }
    }

    /// Formats the report as one line of text.
    pub fn line(&self) -> String {
        format!(
            "{} seed {}: broken {:?} ended {} version {:?} followed {} touched {} void {} took {} ms turned {:?} \
             served {}/{} worth {:.0}/{:.0}",
            self.case,
            self.seed,
            self.violations,
            self.is_finished,
            self.final_version,
            self.followed_orders,
            self.touched_members,
            self.stale_orders,
            self.duration_ms,
            self.halts,
            self.served,
            self.requests,
            self.served_weight,
            self.offered_weight
        )
    }
}

/// Returns the weight of an answer with this latency.
fn weight(class: &RequestClass, latency: Micros) -> f64 {
    if latency <= class.latency_objective {
        class.weight
    } else if latency <= class.timeout {
        class.weight * class.late_fraction
    } else {
        0.0
    }
}

/// Returns whether a proxy's status file lists a rollout, and all listed rollouts are finished.
pub(super) fn are_rollouts_finished(status_file: &Path) -> bool {
    let text = std::fs::read_to_string(status_file).unwrap_or_default();
    let mut rollouts = text.lines().filter(|line| line.starts_with("release ")).peekable();
    rollouts.peek().is_some() && rollouts.all(|line| line.contains(" over=true "))
}

/// Returns the halts and rollbacks in a proxy's log with their reasons, in order.
pub(super) fn halts(log: &Path) -> Vec<String> {
    std::fs::read_to_string(log).unwrap_or_default().lines().filter_map(halt).collect()
}

fn halt(line: &str) -> Option<String> {
    let entry: serde_json::Value = serde_json::from_str(line).ok()?;
    let text = |name: &str| entry.get(name)?.as_str();
    let (event, what) = (text("event")?, text("what")?);
    if event != "release" || !["halted", "back"].contains(&what) {
        return None;
    }
    Some(format!("{what}:{}", text("detail")?))
}
