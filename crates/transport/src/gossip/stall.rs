//! Whether the gossip worker stands still, as the serving thread sees it.

use std::sync::atomic::{AtomicI64, Ordering};
use wharfplank_routing::Micros;

/// A thread that has not run for longer than this stands still.
pub const STALL_TIMEOUT: Micros = 2_000_000;
/// For this long after it runs again, what the thread reads may have waited since before.
pub const CATCH_UP_TIME: Micros = 500_000;

/// When the worker last ran, and when it last resumed after it had stood still. The worker records its turns, and the
/// serving thread asks.
#[derive(Debug)]
pub struct StallDetector {
    ran_at: AtomicI64,
    resumed_at: AtomicI64,
}

impl StallDetector {
    /// The state of a thread that starts now.
    pub fn new(now: Micros) -> StallDetector {
        StallDetector { ran_at: AtomicI64::new(now), resumed_at: AtomicI64::new(now - CATCH_UP_TIME) }
    }

    /// Records that the worker runs.
    pub fn record_turn(&self, now: Micros) {
        if now - self.ran_at.load(Ordering::Relaxed) > STALL_TIMEOUT {
            self.resumed_at.store(now, Ordering::Release);
        }
        // Released after the time of resuming: who sees the turn sees that as well.
        self.ran_at.store(now, Ordering::Release);
    }

    /// Whether the worker stands still, or has until just now, so that it may not have read what was sent to it meanwhile.
    pub fn is_behind(&self, now: Micros) -> bool {
        let is_stalled = now - self.ran_at.load(Ordering::Acquire) > STALL_TIMEOUT;
        is_stalled || now - self.resumed_at.load(Ordering::Acquire) < CATCH_UP_TIME
    }
}
