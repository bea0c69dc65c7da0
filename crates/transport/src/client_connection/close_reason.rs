//! Reasons for the end of client connections.

use wharfplank_protocol::client_session::ProtocolViolation;

/// The reason why a client connection ended; logged as its code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The client sent a Terminate message.
    Terminated,
    /// The connection carried a cancel request.
    CancelRequest,
    /// The client violated the protocol.
    ProtocolViolation,
    /// The process is shutting down.
    Shutdown,
    /// The client disconnected while a request was open.
    ClientGone,
    /// The client disconnected while no request was open.
    ClientClosed,
    /// The connection was reset.
    ClientReset,
    /// The client did not read the output in time.
    ClientStalled,
    /// The connection was evicted to make room for another one.
    Evicted,
    /// The startup message was not received in time.
    StartupTimeout,
    /// A message was not received completely in time.
    RequestTimeout,
    /// The connection exceeded the idle timeout.
    IdleTimeout,
    /// The message did not fit in the memory budget.
    OutOfMemory,
    /// A streamed response ended before it was complete.
    StreamCutOff,
    /// The connection limit was reached.
    TooManyConnections,
    /// The pipeline closed the connection with this reason code.
    Pipeline(&'static str),
}

impl CloseReason {
    /// Returns the code used in the log.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            CloseReason::Terminated => "terminated",
            CloseReason::CancelRequest => "cancel_request",
            CloseReason::ProtocolViolation => "protocol_violation",
            CloseReason::Shutdown => "shutdown",
            CloseReason::ClientGone => "client_gone",
            CloseReason::ClientClosed => "client_closed",
            CloseReason::ClientReset => "client_reset",
            CloseReason::ClientStalled => "client_stalled",
            CloseReason::Evicted => "evicted",
            CloseReason::StartupTimeout => "startup_timeout",
            CloseReason::RequestTimeout => "request_timeout",
            CloseReason::IdleTimeout => "idle_timeout",
            CloseReason::OutOfMemory => "out_of_memory",
            CloseReason::StreamCutOff => "cut_off",
            CloseReason::TooManyConnections => "too_many_connections",
            CloseReason::Pipeline(code) => code,
        }
    }

    /// Returns whether the client may still read the output that was written before the end.
    pub(super) fn client_may_still_read(self) -> bool {
        !matches!(
            self,
            CloseReason::ClientGone
                | CloseReason::ClientClosed
                | CloseReason::ClientReset
                | CloseReason::ClientStalled
        )
    }

    /// Returns the error sent to the client when the connection ends for this reason, if any.
    pub(super) fn violation(self) -> Option<ProtocolViolation> {
        let (code, text) = match self {
            CloseReason::OutOfMemory => ("53200", "no memory for the message"),
            CloseReason::StartupTimeout | CloseReason::RequestTimeout => {
                ("57P05", "nothing whole was asked in time")
            }
            _ => return None,
        };
        Some(ProtocolViolation { code, message: text })
    }
}
