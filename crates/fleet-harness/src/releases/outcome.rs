//! What a run came to.

use super::rules::RuleViolations;
use serde::Serialize;
use std::path::Path;
use wharfplank_lab::fleet::{Micros, CLASSES};
use wharfplank_lab::load::{Done, Seen};

/// What a run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// The case and its seed.
    pub case: String,
    /// See `case`.
    pub seed: u64,
    /// The rules that were broken.
    #[serde(rename = "broken")]
    pub violations: RuleViolations,
    /// Whether all releases were over at all proxies in the end.
    pub ended: bool,
    /// Whether the case's fault came, in mid-release.
    pub faulted: bool,
    /// Whether all members served in the end, as one version; which.
    pub version: Option<u64>,
    /// Orders that were followed, members that ran the new version, and calls for launches that were over.
    pub followed: usize,
    /// See `followed`.
    pub touched: usize,
    /// See `followed`.
    pub void: u64,
    /// From the first word until all were back and it was over.
    pub took_ms: i64,
    /// Whether the release halted or went back, by the proxies' logs, and why.
    pub turned: Vec<String>,
    /// Requests, those served, and of their worth: all, and what was served.
    pub requests: usize,
    /// See `requests`.
    pub served: usize,
    /// See `requests`.
    pub worth_asked: f64,
    /// See `requests`.
    pub worth_served: f64,
}

impl Outcome {
    /// Adds up what clients saw of requests that were due in a span.
    pub fn clients(&mut self, done: &[Done], from: Micros, to: Micros) {
        for done in done.iter().filter(|done| (from..to).contains(&done.due)) {
            let (class, took) = (&CLASSES[done.class], done.at - done.due);
            let served = done.seen == Seen::Served;
            self.requests += 1;
            self.served += usize::from(served);
            self.worth_asked += class.worth;
            self.worth_served += match served {
                true if took <= class.aim => class.worth,
                true if took <= class.wait => class.worth * class.late,
                _ => 0.0,
            };
        }
    }

    /// One line for people.
    pub fn line(&self) -> String {
        format!(
            "{} seed {}: broken {:?} ended {} version {:?} followed {} touched {} void {} took {} ms turned {:?} \
             served {}/{} worth {:.0}/{:.0}",
            self.case,
            self.seed,
            self.violations,
            self.ended,
            self.version,
            self.followed,
            self.touched,
            self.void,
            self.took_ms,
            self.turned,
            self.served,
            self.requests,
            self.worth_served,
            self.worth_asked
        )
    }
}

/// Whether all releases that a proxy's status names are over, and there is one.
pub fn is_over(status: &Path) -> bool {
    let text = std::fs::read_to_string(status).unwrap_or_default();
    let mut releases = text.lines().filter(|line| line.starts_with("release ")).peekable();
    releases.peek().is_some() && releases.all(|line| line.contains(" over=true "))
}

/// The courses against going on that a proxy's log tells, with their reasons, in order.
pub fn turned(log: &Path) -> Vec<String> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let line = |line: &str| -> Option<String> {
        let value: serde_json::Value = serde_json::from_str(line).ok()?;
        let text = |name: &str| value.get(name)?.as_str();
        let turned = text("event")? == "release" && ["halted", "back"].contains(&text("what")?);
        turned.then(|| Some(format!("{}:{}", text("what")?, text("detail")?))).flatten()
    };
    text.lines().filter_map(line).collect()
}
