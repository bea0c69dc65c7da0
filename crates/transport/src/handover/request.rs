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
use std::pin::pin;
use std::time::{Duration, Instant};
use thiserror::Error;
use wharfplank_admin::handover::PROTOCOL_VERSION;
use wharfplank_admin::HandoverState;

/// The time limit for the complete reply of the running process, which may be suspended or short of CPU time.
/// The new process waits for it at its start, since without the reply it would not know the cordons.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// The time without a reply after which the wait is reported.
const SLOW_REPLY_TIME: Duration = Duration::from_millis(1_500);

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

/// What a new process learns from its wait for the running one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitStep {
    /// The running process has not replied for a while.
    SlowReply,
    /// The running process has not replied in time, or has ended or replied something unknown. The new
    /// process starts without its state.
    NoReply,
}

/// Requests a handover from the process that accepts requests on this path, and reports a long wait.
///
/// Returns `Ok(None)` if there is no such process, or if it ends, or does not send a complete reply of a
/// supported version within [`REPLY_TIMEOUT`].
///
/// # Errors
///
/// Fails with [`HandoverError::AlreadyReplaced`] if another process is already taking over.
pub fn request(path: &Path, report: impl Fn(WaitStep)) -> Result<Option<Inherited>, HandoverError> {
    let Ok(stream) = open::retry_at_start(|| UnixStream::connect(path)) else { return Ok(None) };
    let started = Instant::now();
    let mut reply = pin!(receive(stream));
    let received = async_io::block_on(async {
        match with_deadline(started + SLOW_REPLY_TIME, reply.as_mut()).await {
            Some(received) => Some(received),
            None => {
                report(WaitStep::SlowReply);
                with_deadline(started + REPLY_TIMEOUT, reply).await
            }
        }
    });
    match received {
        Some(Ok(inherited)) => Ok(Some(inherited)),
        Some(Err(error @ HandoverError::AlreadyReplaced)) => Err(error),
        Some(Err(_)) | None => {
            report(WaitStep::NoReply);
            Ok(None)
        }
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
