//! Detection of stalls of this process: pauses, or starvation of CPU time.

use crate::Micros;

/// Detects stalls of this process by the gaps between calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct StallDetector {
    last_call_at: Option<Micros>,
    resumed_at: Option<Micros>,
}

impl StallDetector {
    /// Records a call. Returns whether the process was stalled until now.
    pub fn record_call(&mut self, now: Micros, max_call_gap: Micros) -> bool {
        let was_stalled = self.last_call_at.is_some_and(|last| now - last > max_call_gap);
        if was_stalled {
            self.resumed_at = Some(now);
        }
        self.last_call_at = Some(now);
        was_stalled
    }

    /// Returns whether the process resumed within `span` before `now`. What it reads then may have been
    /// waiting since before the stall.
    pub fn is_catching_up(&self, now: Micros, span: Micros) -> bool {
        self.resumed_at.is_some_and(|resumed_at| now - resumed_at < span)
    }

    /// Returns whether `at` is before the process last resumed.
    pub fn is_before_resumption(&self, at: Micros) -> bool {
        self.resumed_at.is_some_and(|resumed_at| resumed_at > at)
    }
}
