//! Detects that this process was stalled: paused, or starved of CPU time.

use crate::Micros;

/// Tells a process that was stalled from one that runs, by the gaps between the calls to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct StallDetector {
    last_call_at: Option<Micros>,
    resumed_at: Option<Micros>,
}

impl StallDetector {
    /// Records a call; true where the process was stalled until now.
    pub fn on_call(&mut self, now: Micros, max_call_gap: Micros) -> bool {
        let was_stalled = self.last_call_at.is_some_and(|last| now - last > max_call_gap);
        if was_stalled {
            self.resumed_at = Some(now);
        }
        self.last_call_at = Some(now);
        was_stalled
    }

    /// Whether the process resumed within the span before now: what it reads may have waited since before the stall.
    pub fn is_catching_up(&self, now: Micros, span: Micros) -> bool {
        self.resumed_at.is_some_and(|resumed_at| now - resumed_at < span)
    }

    /// Whether a time is before the process last resumed.
    pub fn is_before_resumption(&self, at: Micros) -> bool {
        self.resumed_at.is_some_and(|resumed_at| resumed_at > at)
    }
}
