//! What a connection writes: responses in the order of their commands.

use super::input::ReadMode;
use super::streaming::StreamProgress;
use super::{ClientConnection, CloseReason};
use crate::client_listener::{ClientListener, DrainPhase};
use crate::with_deadline;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::client_session::ProtocolViolation;
use wharfplank_protocol::pipeline::{Closing, NextWrite};

/// For how long a client may take nothing of what is written to it.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a client may take to take one flush.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the connection is kept open after an error that ends it, while what the client still sends is discarded.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// The size of responses that are gathered before they are written.
pub(super) const FLUSH_SIZE: usize = 64 * 1024;

/// What happened while output was flushed.
enum FlushEvent {
    /// So many bytes were written; 0 if the connection broke.
    Written(usize),
    /// So many bytes were read; 0 if the client disconnected.
    Read(Result<usize, CloseReason>),
}

impl ClientConnection {
    /// Writes the responses that are ready, in order. Returns whether there was any.
    ///
    /// # Errors
    ///
    /// Returns why the connection ends.
    pub(super) async fn write_responses(&mut self, listener: &ClientListener) -> Result<bool, CloseReason> {
        let mut wrote = false;
        loop {
            let answers_empty_queries = self.answers_empty_queries(listener);
            let next = self.response_writer.next_write(answers_empty_queries);
            match next {
                None => break,
                Some(NextWrite::Stream(number)) => match self.advance_stream(number) {
                    StreamProgress::Advanced => {}
                    StreamProgress::Pending => break,
                    StreamProgress::CutOff(remaining) => self.on_stream_cut_off(remaining).await?,
                },
                Some(NextWrite::EmptyQuery) => self.session.write_empty_query_response(),
                Some(NextWrite::Response(response)) => self.session.write_response(response),
                Some(NextWrite::Close(Closing { reason: code, violation })) => {
                    match violation {
                        Some(violation) => self.send_fatal(listener, violation).await,
                        None => self.flush().await?,
                    }
                    return Err(CloseReason::Pipeline(code));
                }
            }
            wrote = true;
            if self.session.output.len() >= FLUSH_SIZE {
                self.flush().await?;
            }
        }
        self.flush().await?;
        if wrote {
            self.response_writer.update_reservation();
            if listener.drain_phase.get() != DrainPhase::Serving {
                self.state.closes_while_draining.set(true);
            }
        }
        Ok(wrote)
    }

    /// Whether an empty query is answered. It waits until the process is ready. If that will not come, since the
    /// process was asked to shut down before, it is answered for the sake of the commands behind it.
    pub(super) fn answers_empty_queries(&self, listener: &ClientListener) -> bool {
        if listener.ready.get() {
            return true;
        }
        let has_more = self.response_writer.has_following()
            || self.response_writer.is_closing()
            || !self.session.buffer.unread().is_empty();
        has_more && listener.drain_phase.get() != DrainPhase::Serving
    }

    /// Tells the client why the connection ends, and waits a little until that has arrived, unless many connections
    /// do.
    pub(crate) async fn send_fatal(&mut self, listener: &ClientListener, violation: ProtocolViolation) {
        self.session.write_fatal(violation);
        let lingers = listener.may_linger();
        if self.flush().await.is_err() || self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        if !lingers {
            // At least what has arrived already is discarded.
            future::poll_once(self.linger()).await;
            return;
        }
        listener.lingering.set(listener.lingering.get() + 1);
        self.linger().await;
        listener.lingering.set(listener.lingering.get() - 1);
    }

    /// Discards what the client still sends, for a moment: a connection that is closed over unread bytes is reset, and
    /// the error would be lost with it.
    async fn linger(&mut self) {
        let mut sink = [0; 4096];
        let discard = async { while matches!((&*self.stream).read(&mut sink).await, Ok(1..)) {} };
        with_deadline(Instant::now() + LINGER_TIME, discard).await;
    }

    /// Writes all output, and reads meanwhile: a client that disconnects while it takes nothing must not leave
    /// requests behind.
    pub(super) async fn flush(&mut self) -> Result<(), CloseReason> {
        if self.session.output.is_empty() {
            return Ok(());
        }
        // Large responses are rare, so the memory of the output is not reused.
        let output = std::mem::take(&mut self.session.output);
        let stream = Rc::clone(&self.stream);
        let mut written = 0;
        let mut reads = true;
        let flush_deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut stall_deadline = Instant::now() + WRITE_STALL_TIMEOUT;
        while written < output.len() {
            let write = async {
                let result = (&*stream).write(&output[written..]).await;
                FlushEvent::Written(result.unwrap_or(0))
            };
            let read = async {
                if !reads {
                    return future::pending().await;
                }
                FlushEvent::Read(self.read_available(ReadMode::Ahead).await)
            };
            match with_deadline(flush_deadline.min(stall_deadline), future::or(write, read)).await {
                Some(FlushEvent::Written(0)) => return Err(CloseReason::ClientReset),
                // Slow is not stalled: what the client takes shows that it still reads.
                Some(FlushEvent::Written(count)) => {
                    written += count;
                    stall_deadline = Instant::now() + WRITE_STALL_TIMEOUT;
                }
                // A client that has only ended its sending still gets the rest.
                Some(FlushEvent::Read(Ok(0))) if self.has_no_outstanding_requests() => reads = false,
                Some(FlushEvent::Read(Ok(0))) => return Err(CloseReason::ClientGone),
                Some(FlushEvent::Read(Ok(_))) => {}
                Some(FlushEvent::Read(Err(reason))) => return Err(reason),
                None => return Err(CloseReason::ClientStalled),
            }
        }
        Ok(())
    }

    /// Whether nothing that the client requested may still have to be forwarded.
    fn has_no_outstanding_requests(&self) -> bool {
        let has_unread_command =
            !self.response_writer.is_closing() && self.session.next_command_bytes().is_some();
        !has_unread_command && !self.response_writer.has_open_request()
    }
}
