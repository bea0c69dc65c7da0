//! The handover between two processes of one proxy, over a Unix socket.
//!
//! A new process connects to the [`RendezvousSocket`] of the running one and receives its listening socket
//! and its state. The two then exchange [`HandoverMessage`]s over a [`HandoverLink`], as lines of JSON, until
//! one of them exits.
//!
//! - `descriptor`: passes the listening socket between processes.
//! - `link`: the exchange of messages.
//! - `rendezvous`: the socket on which a running process accepts handover requests.
//! - `request`: the new process's side of the handover.

mod descriptor;
mod link;
mod rendezvous;
mod request;

pub use link::{reject, HandoverLink};
pub use rendezvous::{socket_path, RendezvousSocket};
pub use request::{request, HandoverError, Inherited, WaitStep};

use async_io::Async;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use wharfplank_admin::HandoverMessage;

/// The maximum length of a line, which is enough for the state of some thousand members.
const MAX_LINE_BYTES: u64 = 4 * 1024 * 1024;
/// The time limit for writing a message or the state.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// An event on the rendezvous socket or on the link to the other process.
#[derive(Debug)]
pub enum HandoverEvent {
    /// A new process requests a handover on this stream.
    Requested(Async<UnixStream>),
    /// The other process sent a message.
    Message(HandoverMessage),
    /// The other process has exited, or the link to it has failed.
    Disconnected,
}
