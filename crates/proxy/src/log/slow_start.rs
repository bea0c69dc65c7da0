//! Log lines of members in slow start.

use super::unix_ms;
use tracing::{debug, info};
use wharfplank_routing::SlowStartView;

/// The stage of a member's slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowStartStage {
    /// The slow start has been detected since the last log line.
    Began,
    /// The slow start was logged before.
    Continued,
    /// The member has its full capacity again, or has been removed from the list.
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

/// Logs a member in slow start: its age, its minimum fraction of full capacity, the rate at which this proxy
/// may send to it, and what has been sent since the notification of the start. The start and the end are
/// logged at level `info`, the progress at `debug`.
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
