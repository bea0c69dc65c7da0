//! The new process's side: requests a handover and receives the listening socket and the state.

use super::descriptor::{receive_reply, Reply};
use super::MAX_LINE_BYTES;
use crate::socket::open;
use crate::socket::stream::Connection;
use crate::with_deadline;
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, AsyncReadExt};
use std::io;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};
use thiserror::Error;
use wharfplank_admin::handover::PROTOCOL_VERSION;
use wharfplank_admin::HandoverState;

/// The time limit for the complete reply of the running process. The new process waits for it at its start.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The reason why a handover did not take place.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// Another process is already taking over from the running one.
    #[error("another process replaces it already")]
    AlreadyReplaced,
    /// The reply carries no listening socket.
    #[error("handover reply carries no listening socket")]
    NoListener,
    /// The version of the state differs from the version of this program.
    #[error("unsupported version of the handover state")]
    UnsupportedVersion,
    /// The state is not valid JSON.
    #[error("invalid handover state: {0}")]
    InvalidState(#[from] serde_json::Error),
    /// The stream failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The listening socket and the state that the new process inherits from the running one.
#[derive(Debug)]
pub struct Inherited {
    listener: TcpListener,
    /// The state of the running process.
    pub state: HandoverState,
    pub(super) stream: BufReader<Connection<UnixStream>>,
}

impl Inherited {
    /// Returns the listening socket for clients.
    pub fn listener(&self) -> io::Result<TcpListener> {
        self.listener.try_clone()
    }
}

/// Requests a handover from the process that accepts requests on this path.
///
/// Returns `Ok(None)` if there is no such process, or if it does not send a complete reply of a supported
/// version within 1.5 s.
///
/// # Errors
///
/// Fails with [`HandoverError::AlreadyReplaced`] if another process is already taking over.
pub fn request(path: &Path) -> Result<Option<Inherited>, HandoverError> {
    let Ok(stream) = open::retry_at_start(|| UnixStream::connect(path)) else { return Ok(None) };
    let reply = with_deadline(Instant::now() + REPLY_TIMEOUT, receive(stream));
    match async_io::block_on(reply) {
        Some(Ok(inherited)) => Ok(Some(inherited)),
        Some(Err(error @ HandoverError::AlreadyReplaced)) => Err(error),
        Some(Err(_)) | None => Ok(None),
    }
}

async fn receive(stream: UnixStream) -> Result<Inherited, HandoverError> {
    let stream = Connection::new(stream)?;
    let descriptor = match stream.as_async().read_with(receive_reply).await? {
        Reply::Accepted(descriptor) => descriptor.ok_or(HandoverError::NoListener)?,
        Reply::Busy => return Err(HandoverError::AlreadyReplaced),
    };
    // Messages after the line stay in the buffered reader, for the link.
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    (&mut stream).take(MAX_LINE_BYTES).read_line(&mut line).await?;
    let state: HandoverState = serde_json::from_str(&line)?;
    if state.version != PROTOCOL_VERSION {
        return Err(HandoverError::UnsupportedVersion);
    }
    Ok(Inherited { listener: TcpListener::from(descriptor), state, stream })
}
