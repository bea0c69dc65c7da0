//! Time limits of an attempt.

use std::time::Instant;

/// The time limits of an attempt. They are relative to the routing decision, no matter how late the attempt
/// starts or gets a connection.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// The time by which the response must arrive; for a streamed response, its first bytes.
    pub deadline: Instant,
    /// The time by which the statement must be written, if earlier than the deadline. After that, the
    /// conditions under which the attempt was decided no longer hold.
    pub send_by: Option<Instant>,
}

impl AttemptLimits {
    /// Returns the time by which the statement must be written.
    pub(super) fn send_until(&self) -> Instant {
        self.send_by.map_or(self.deadline, |at| self.deadline.min(at))
    }
}
