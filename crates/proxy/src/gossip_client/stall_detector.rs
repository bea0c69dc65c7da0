//! Detects that the process was stalled, for example because the machine was paused.

use wharfplank_routing::Micros;
use wharfplank_transport::gossip::{CATCH_UP_TIME, STALL_TIMEOUT};

/// Detects stalls from the times of the event loop's turns, which are at most a second apart in a running
/// process.
///
/// A request read just after a stall may have been sent before it, and the client may since have sent it to
/// another proxy.
#[derive(Default)]
pub(super) struct StallDetector {
    last_turn_at: Option<Micros>,
    resumed_at: Option<Micros>,
}

impl StallDetector {
    /// Records a turn of the event loop.
    pub(super) fn on_turn(&mut self, now: Micros) {
        if self.last_turn_at.is_some_and(|at| now - at > STALL_TIMEOUT) {
            self.resumed_at = Some(now);
        }
        self.last_turn_at = Some(now);
    }

    /// Returns whether the process resumed from a stall so recently that requests may be duplicates.
    pub(super) fn has_just_resumed(&self, now: Micros) -> bool {
        self.resumed_at.is_some_and(|at| now - at < CATCH_UP_TIME)
    }
}
