//! Log lines of members in slow start.

use super::unix_ms;
use tracing::{debug, info};
use wharfplank_routing::SlowStartView;

/// How far a member's slow start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowStartStage {
    /// The proxy was notified of the start.
    Began,
    /// It was logged before.
    Continued,
    /// The member has its full capacity again, or has left the list.
    Ended,
}

impl SlowStartStage {
    fn name(self) -> &'static str {
        match self {
            SlowStartStage::Began => "began",
            SlowStartStage::Continued => "continued",
            SlowStartStage::Ended => "ended",
        }
    }
}

/// A member in slow start: its age, the part of its capacity that it has at least, what this proxy may send it per
/// second, and what it has sent since the notification. Its beginning and its end are logged at level `info`.
pub fn slow_start(stage: SlowStartStage, member: &str, view: &SlowStartView) {
    let age_ms = view.age / 1000;
    let capacity = format_args!("{:.2}", view.capacity).to_string();
    let sends_per_s = format_args!("{:.2}", view.sends_per_second).to_string();
    let attempts = view.sent.attempts;
    let work = format_args!("{:.1}", view.sent.work).to_string();
    let (what, name, at_ms) = (stage.name(), member, unix_ms());
    match stage {
        SlowStartStage::Continued => {
            debug!(what, name, age_ms, capacity, sends_per_s, attempts, work, at_ms, "slow_start");
        }
        SlowStartStage::Began | SlowStartStage::Ended => {
            info!(what, name, age_ms, capacity, sends_per_s, attempts, work, at_ms, "slow_start");
        }
    }
}
