//! Detection of stalls of the gossip worker by the serving thread.

use std::sync::atomic::{AtomicI64, Ordering};
use wharfplank_routing::Micros;

/// A thread that has not run for longer than this is stalled.
pub const STALL_TIMEOUT: Micros = 2_000_000;
/// For this long after a stall, the thread may still be reading messages that arrived during it.
pub const CATCH_UP_TIME: Micros = 500_000;

/// The times when the worker last ran and when it last resumed after a stall. The worker records its turns,
/// and the serving thread checks for a stall.
#[derive(Debug)]
pub struct StallDetector {
    ran_at: AtomicI64,
    resumed_at: AtomicI64,
}

impl StallDetector {
    /// Creates the detector for a thread that starts now.
    pub fn new(now: Micros) -> StallDetector {
        StallDetector { ran_at: AtomicI64::new(now), resumed_at: AtomicI64::new(now - CATCH_UP_TIME) }
    }

    /// Records a turn of the worker's loop.
    pub fn record_turn(&self, now: Micros) {
        if now - self.ran_at.load(Ordering::Relaxed) > STALL_TIMEOUT {
            self.resumed_at.store(now, Ordering::Release);
        }
        // Stored after `resumed_at`: a reader that sees this turn sees the resumption as well.
        self.ran_at.store(now, Ordering::Release);
    }

    /// Returns whether the worker is stalled or was until just now, so that it may not have read all messages
    /// sent to it during the stall.
    pub fn is_behind(&self, now: Micros) -> bool {
        let is_stalled = now - self.ran_at.load(Ordering::Acquire) > STALL_TIMEOUT;
        is_stalled || now - self.resumed_at.load(Ordering::Acquire) < CATCH_UP_TIME
    }
}
