//! Reasons for the end of member connections and for read failures.

use wharfplank_routing::AttemptOutcome;

/// The reason why a member connection ended; logged as its code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndReason {
    /// The attempt that used it was dropped.
    Abandoned,
    /// The connection was idle when the process ended.
    Shutdown,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection was not established in time.
    ConnectTimeout,
    /// Reading from the connection failed.
    Read(ReadError),
    /// No response was received in time.
    Timeout,
    /// The connection exceeds the fleet-wide budget.
    OverBudget,
    /// The member's address has changed.
    Relocated,
    /// The member no longer accepts work.
    Deactivated,
    /// The connection exceeded the idle timeout.
    IdleTimeout,
    /// The member sent bytes without a request.
    Unsolicited,
    /// The connection was found dead by a liveness check, or had been idle for at least as long as one
    /// that was.
    Stale,
    /// The member sent nothing at all.
    Unresponsive,
}

impl EndReason {
    /// The member closed the connection.
    pub(super) const MEMBER_CLOSED: EndReason = EndReason::Read(ReadError::Closed);
    /// The connection was reset.
    pub(super) const RESET: EndReason = EndReason::Read(ReadError::Reset);

    /// Returns the code used in the log.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            EndReason::Abandoned => "abandoned",
            EndReason::Shutdown => "shutdown",
            EndReason::ConnectFailed => "connect_failed",
            EndReason::ConnectTimeout => "connect_timeout",
            EndReason::Read(ReadError::Malformed) => "malformed",
            EndReason::Read(ReadError::OutOfMemory) => "out_of_memory",
            EndReason::Read(ReadError::Stalled) => "stalled",
            EndReason::Read(ReadError::Closed) => "member_closed",
            EndReason::Read(ReadError::Reset) => "reset",
            EndReason::Timeout => "timeout",
            EndReason::OverBudget => "over_budget",
            EndReason::Relocated => "moved",
            EndReason::Deactivated => "left",
            EndReason::IdleTimeout => "retired",
            EndReason::Unsolicited => "unsolicited",
            EndReason::Stale => "stale",
            EndReason::Unresponsive => "silent",
        }
    }
}

impl From<ReadError> for EndReason {
    fn from(error: ReadError) -> Self {
        EndReason::Read(error)
    }
}

/// The reason why nothing more can be read from a member connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReadError {
    /// The member violated the protocol.
    #[error("member violated the protocol")]
    Malformed,
    /// The rest of the response does not fit in the memory budget.
    #[error("rest of the response exceeds the memory budget")]
    OutOfMemory,
    /// The response paused for too long after it had started.
    #[error("response stalled before it was complete")]
    Stalled,
    /// The member closed the connection.
    #[error("member closed the connection")]
    Closed,
    /// The connection was reset.
    #[error("connection was reset")]
    Reset,
}

impl ReadError {
    /// Returns the outcome of an attempt whose response could not be read for this reason.
    pub(super) fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            // An unreadable response still shows that the member is running and may have executed the
            // request.
            ReadError::Malformed | ReadError::Stalled | ReadError::OutOfMemory => AttemptOutcome::Error,
            ReadError::Closed | ReadError::Reset => AttemptOutcome::Reset,
        }
    }
}
