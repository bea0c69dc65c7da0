//! Counts what one proxy does, for one log line per second at level `debug`. Added up over all proxies of a fleet
//! (`wharfplank lab counts`) they show what each proxy does little of and the fleet much.

use std::collections::BTreeMap;
use std::fmt::Write;
use wharfplank_routing::{AttemptOutcome, ProbePurpose};

/// What a counter counts. Counters are ordered by their fields.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CounterKey {
    activity: &'static str,
    result: &'static str,
    /// The class of the request, or empty.
    class: String,
}

/// The counters since the last line of the log.
#[derive(Debug, Default)]
pub struct ActivityCounts {
    is_enabled: bool,
    counters: BTreeMap<CounterKey, u64>,
}

impl ActivityCounts {
    /// Counts where lines of level `debug` are written, and does nothing elsewhere.
    pub fn new() -> Self {
        ActivityCounts { is_enabled: tracing::enabled!(tracing::Level::DEBUG), ..ActivityCounts::default() }
    }

    /// Whether anything is counted.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Adds one. `class` is empty for what belongs to no class.
    pub fn increment(&mut self, activity: &'static str, result: &'static str, class: &str) {
        self.add(activity, result, class, 1);
    }

    /// Adds `count`. `class` is empty for what belongs to no class.
    pub fn add(&mut self, activity: &'static str, result: &'static str, class: &str, count: u64) {
        if !self.is_enabled || count == 0 {
            return;
        }
        let key = CounterKey { activity, result, class: class.to_string() };
        *self.counters.entry(key).or_default() += count;
    }

    /// Resets the counters, and returns them as `activity.result.class=count`, separated by commas; `None` where
    /// nothing was counted.
    pub fn take_text(&mut self) -> Option<String> {
        let mut text = String::new();
        for (key, count) in std::mem::take(&mut self.counters) {
            // Records name reasons by several words; a space would end the value of the log's field.
            let result = key.result.replace(' ', "_");
            let separator = if text.is_empty() { "" } else { "," };
            let dot = if key.class.is_empty() { "" } else { "." };
            let (activity, class) = (key.activity, key.class);
            let _ = write!(text, "{separator}{activity}.{result}{dot}{class}={count}");
        }
        (!text.is_empty()).then_some(text)
    }
}

/// The name of an attempt's outcome in the log.
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

/// The name of a probe's purpose in the log.
pub fn probe_purpose_name(purpose: ProbePurpose) -> &'static str {
    match purpose {
        ProbePurpose::ReadPosition => "read",
        ProbePurpose::SuspectRecovery => "suspect",
        ProbePurpose::PrimarySearch => "search",
    }
}
