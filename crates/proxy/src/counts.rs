//! What one proxy does, counted: a line of the log each second at level `debug`. Added up over all proxies of a fleet
//! (`wharfplank lab counts`) it shows what each does little of and all together do much of.

use std::collections::BTreeMap;
use std::fmt::Write;
use wharfplank_routing::{AttemptOutcome, ProbePurpose};

/// Counters by name, up to a class's name each.
#[derive(Default)]
pub struct Counts {
    on: bool,
    counts: BTreeMap<(&'static str, &'static str, String), u64>,
}

impl Counts {
    /// Counts where lines of level `debug` are written, and does nothing elsewhere.
    pub fn start() -> Self {
        Counts { on: tracing::enabled!(tracing::Level::DEBUG), ..Counts::default() }
    }

    /// Whether anything is counted.
    pub fn on(&self) -> bool {
        self.on
    }

    /// Adds one.
    pub fn one(&mut self, what: &'static str, how: &'static str, class: &str) {
        self.add(what, how, class, 1);
    }

    /// Adds some.
    pub fn add(&mut self, what: &'static str, how: &'static str, class: &str, count: u64) {
        if self.on && count > 0 {
            *self.counts.entry((what, how, class.to_string())).or_default() += count;
        }
    }

    /// The counts since the last call as `what.how.class=count`, apart by commas.
    pub fn take(&mut self) -> Option<String> {
        let mut text = String::new();
        for ((what, how, class), count) in std::mem::take(&mut self.counts) {
            // Records name reasons in words; here a gap would end the value.
            let how = how.replace(' ', "_");
            let gap = if text.is_empty() { "" } else { "," };
            let dot = if class.is_empty() { "" } else { "." };
            let _ = write!(text, "{gap}{what}.{how}{dot}{class}={count}");
        }
        (!text.is_empty()).then_some(text)
    }
}

/// The name of an attempt's end.
pub fn ending(ending: AttemptOutcome) -> &'static str {
    match ending {
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

/// The name of what a probe is for.
pub fn probe_purpose(purpose: ProbePurpose) -> &'static str {
    match purpose {
        ProbePurpose::ReadPosition => "read",
        ProbePurpose::SuspectRecovery => "suspect",
        ProbePurpose::PrimarySearch => "search",
    }
}
