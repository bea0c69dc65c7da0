//! Log lines of the shutdown, one for each step.

use super::unix_ms;
use std::fmt;
use tracing::info;

/// A step of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// A signal requested the shutdown; clients are drained.
    Requested,
    /// The listener stops accepting connections.
    ListenerClosed,
    /// The open requests are aborted.
    RequestsAborted,
    /// The event loop has ended.
    EventLoopEnded,
    /// Peers have been told that this process leaves, or the time for it has passed.
    GossipEnded,
    /// All tasks and connections have been dropped; the process exits.
    Finished,
}

impl fmt::Display for ShutdownStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ShutdownStep::Requested => "requested",
            ShutdownStep::ListenerClosed => "listener_closed",
            ShutdownStep::RequestsAborted => "requests_aborted",
            ShutdownStep::EventLoopEnded => "event_loop_ended",
            ShutdownStep::GossipEnded => "gossip_ended",
            ShutdownStep::Finished => "finished",
        })
    }
}

/// The work that is still open at a step of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenWork {
    /// Requests without a final response.
    pub requests: usize,
    /// Responses that are being streamed.
    pub streams: usize,
    /// Client connections.
    pub clients: usize,
}

/// Logs a step of the broker, with the work that is still open.
pub fn shutdown_step(step: ShutdownStep, open: OpenWork) {
    info!(
        what = %step,
        requests = open.requests as u64,
        streams = open.streams as u64,
        clients = open.clients as u64,
        at_ms = unix_ms(),
        "shutdown"
    );
}

/// Logs a step that follows the end of the event loop.
pub fn shutdown_completion(step: ShutdownStep) {
    info!(what = %step, at_ms = unix_ms(), "shutdown");
}
