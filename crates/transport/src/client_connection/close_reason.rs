//! Why client connections end.

use wharfplank_protocol::client_session::ProtocolViolation;

/// Why a client connection ended. The log shows its code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The client ended it in due form.
    Terminated,
    /// It carried a cancel request.
    CancelRequest,
    /// The client broke the protocol.
    ProtocolViolation,
    /// The process shuts down.
    Shutdown,
    /// The client disconnected while a request was open.
    ClientGone,
    /// The client disconnected while no request was open.
    ClientClosed,
    /// The connection broke.
    ClientReset,
    /// The client did not take what was written to it.
    ClientStalled,
    /// It made room for others.
    Evicted,
    /// The startup did not arrive in time.
    StartupTimeout,
    /// A message did not arrive in time.
    RequestTimeout,
    /// It was idle for too long.
    IdleTimeout,
    /// The memory budget has no room for its message.
    OutOfMemory,
    /// A streamed response was cut off.
    StreamCutOff,
    /// There was no place for it.
    TooManyConnections,
    /// The reason of this code that its pipeline gave.
    Pipeline(&'static str),
}

impl CloseReason {
    /// The code in the log.
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

    /// The error that the client is sent where the connection ends for this reason, if any.
    pub(super) fn violation(self) -> Option<ProtocolViolation> {
        let (code, what) = match self {
            CloseReason::OutOfMemory => ("53200", "no memory for the message"),
            CloseReason::StartupTimeout | CloseReason::RequestTimeout => {
                ("57P05", "nothing whole was asked in time")
            }
            _ => return None,
        };
        Some(ProtocolViolation { code, message: what })
    }
}
