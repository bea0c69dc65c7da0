//! Why connections to members end, and why reading from them fails.

use wharfplank_routing::AttemptOutcome;

/// Why a connection to a member ended. The log shows its code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndReason {
    /// The attempt that used it was dropped.
    Abandoned,
    /// It was idle when the process ended.
    Shutdown,
    /// It could not be established.
    ConnectFailed,
    /// It was not established in time.
    ConnectTimeout,
    /// Reading from it failed.
    Read(ReadError),
    /// No response came in time.
    Timeout,
    /// The fleet's budget has no room for it any more.
    OverBudget,
    /// The member has another address now.
    Relocated,
    /// The member takes no work any more.
    Deactivated,
    /// It was idle for too long.
    Retired,
    /// The member sent something without a request.
    Unsolicited,
    /// A connection that had been idle for as long was found dead.
    Stale,
    /// The member did not respond at all.
    Silent,
}

impl EndReason {
    /// The member closed the connection.
    pub(super) const MEMBER_CLOSED: EndReason = EndReason::Read(ReadError::Closed);
    /// The connection broke.
    pub(super) const RESET: EndReason = EndReason::Read(ReadError::Reset);

    /// The code in the log.
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
            EndReason::Retired => "retired",
            EndReason::Unsolicited => "unsolicited",
            EndReason::Stale => "stale",
            EndReason::Silent => "silent",
        }
    }
}

impl From<ReadError> for EndReason {
    fn from(error: ReadError) -> Self {
        EndReason::Read(error)
    }
}

/// Why nothing more can be read from a connection to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReadError {
    /// The member broke the protocol.
    #[error("the member broke the protocol")]
    Malformed,
    /// The memory budget has no room for the rest of the response.
    #[error("no memory for the rest of the response")]
    OutOfMemory,
    /// The response stopped half-way.
    #[error("the response stalled")]
    Stalled,
    /// The member closed the connection.
    #[error("the member closed the connection")]
    Closed,
    /// The connection broke.
    #[error("the connection was reset")]
    Reset,
}

impl ReadError {
    /// The outcome of an attempt whose response could not be read for this reason.
    pub(super) fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            // An unreadable response is a response all the same: the member works, and the request may have run.
            ReadError::Malformed | ReadError::Stalled | ReadError::OutOfMemory => AttemptOutcome::Error,
            ReadError::Closed | ReadError::Reset => AttemptOutcome::Reset,
        }
    }
}
