//! The time limits of an attempt.

use std::time::Instant;

/// The points in time that limit an attempt. They count from the decision, however late the attempt starts or finds a
/// connection.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// Until when the response must come. For a streamed response that is its first bytes.
    pub deadline: Instant,
    /// Until when the statement must be written, if that is sooner: later the reason for the attempt holds no more.
    pub send_by: Option<Instant>,
}

impl AttemptLimits {
    /// Until when the statement must be written.
    pub(super) fn send_until(&self) -> Instant {
        self.send_by.map_or(self.deadline, |at| self.deadline.min(at))
    }
}
