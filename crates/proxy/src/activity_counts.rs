//! Counts the activities of one proxy, for one log line per second at level `debug`. Summed over all proxies
//! of a fleet (`wharfplank lab counts`), the counts show activities that are rare at each proxy but frequent
//! in the fleet.

use std::collections::BTreeMap;
use std::fmt::Write;
use wharfplank_routing::{AttemptOutcome, ProbePurpose};

/// The key of a counter. Counters are ordered by these fields.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CounterKey {
    activity: &'static str,
    result: &'static str,
    /// The class of the request, or empty if the activity belongs to no class.
    class: String,
}

/// The counters since the last log line.
#[derive(Debug, Default)]
pub struct ActivityCounts {
    is_enabled: bool,
    counters: BTreeMap<CounterKey, u64>,
}

impl ActivityCounts {
    /// Creates counters that are enabled if lines of level `debug` are written.
    pub fn new() -> Self {
        ActivityCounts { is_enabled: tracing::enabled!(tracing::Level::DEBUG), ..ActivityCounts::default() }
    }

    /// Returns whether counting is enabled.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Adds one to a counter. `class` is empty for an activity that belongs to no class.
    pub fn increment(&mut self, activity: &'static str, result: &'static str, class: &str) {
        self.add(activity, result, class, 1);
    }

    /// Adds `count` to a counter. `class` is empty for an activity that belongs to no class.
    pub fn add(&mut self, activity: &'static str, result: &'static str, class: &str, count: u64) {
        if !self.is_enabled || count == 0 {
            return;
        }
        let key = CounterKey { activity, result, class: class.to_string() };
        *self.counters.entry(key).or_default() += count;
    }

    /// Resets the counters, and returns them as comma-separated entries `activity.result.class=count`; `None`
    /// if nothing was counted.
    pub fn take_text(&mut self) -> Option<String> {
        let mut text = String::new();
        for (key, count) in std::mem::take(&mut self.counters) {
            // Names of reasons contain spaces, which would end the value of the log field.
            let result = key.result.replace(' ', "_");
            let separator = if text.is_empty() { "" } else { "," };
            let dot = if key.class.is_empty() { "" } else { "." };
            let (activity, class) = (key.activity, key.class);
            let _ = write!(text, "{separator}{activity}.{result}{dot}{class}={count}");
        }
        (!text.is_empty()).then_some(text)
    }
}

/// Returns the name of an attempt's outcome in the log.
pub fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Ok => "ok",
        AttemptOutcome::Error => "error",
        AttemptOutcome::Overloaded => "full",
        AttemptOutcome::Timeout => "timeout",
        AttemptOutcome::ConnectFailed => "connect_failed",
        AttemptOutcome::Reset => "reset",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::NotSent => "moot",
        AttemptOutcome::Misrouted => "miss",
    }
}

/// Returns the name of a probe's purpose in the log.
pub fn probe_purpose_name(purpose: ProbePurpose) -> &'static str {
    match purpose {
        ProbePurpose::ReadPosition => "read",
        ProbePurpose::SuspectRecovery => "suspect",
        ProbePurpose::PrimarySearch => "search",
    }
}
