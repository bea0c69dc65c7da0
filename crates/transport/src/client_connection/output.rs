//! Writing of responses in the order of their commands.

use super::delivery::DeliveryProgress;
use super::input::{ReadMode, MAX_READS_IN_A_ROW};
use super::streaming::StreamProgress;
use super::{ClientConnection, CloseReason, PAUSE};
use crate::client_listener::{ClientListener, DrainPhase};
use crate::with_deadline;
use async_io::Timer;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::client_session::ProtocolViolation;
use wharfplank_protocol::pipeline::{Closing, NextWrite};

/// The maximum time without write progress, after which the client counts as stalled.
pub(super) const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum duration of one flush.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(60);
/// The time a connection stays open after a fatal error while further input is discarded.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// The output size in bytes at which buffered responses are flushed.
pub(super) const FLUSH_SIZE: usize = 64 * 1024;

/// An event during a flush.
enum FlushEvent {
    /// The number of bytes written; 0 if the connection was reset.
    Written(usize),
    /// The number of bytes read; 0 if the client disconnected.
    Read(Result<usize, CloseReason>),
}

impl ClientConnection {
    /// Writes the responses that are ready, in order. Returns whether there were any.
    ///
    /// # Errors
    ///
    /// Returns the reason why the connection ends.
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
            self.state.is_writing.set(true);
            self.delivery = DeliveryProgress::default();
            if self.session.output.len() >= FLUSH_SIZE {
                self.flush().await?;
            }
        }
        self.flush().await?;
        self.state.is_writing.set(self.active_stream.is_some());
        if wrote {
            self.response_writer.update_reservation();
            if listener.drain_phase.get() != DrainPhase::Serving {
                self.state.closes_while_draining.set(true);
            }
        }
        Ok(wrote)
    }

    /// Returns whether empty queries are answered now. They wait until the process is ready. If the process
    /// shuts down before it becomes ready, an empty query is answered only if further commands follow, so
    /// that it does not block them.
    pub(super) fn answers_empty_queries(&self, listener: &ClientListener) -> bool {
        if listener.ready.get() {
            return true;
        }
        let has_more = self.response_writer.has_following()
            || self.response_writer.is_closing()
            || !self.session.buffer.unread().is_empty();
        has_more && listener.drain_phase.get() != DrainPhase::Serving
    }

    /// Sends a fatal error and waits briefly for its delivery, unless too many connections are already
    /// waiting.
    pub(crate) async fn send_fatal(&mut self, listener: &ClientListener, violation: ProtocolViolation) {
        self.session.write_fatal(violation);
        let lingers = listener.may_linger();
        if self.flush().await.is_err() || self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        if !lingers {
            // Discards at least the input that has already arrived.
            future::poll_once(self.linger()).await;
            return;
        }
        listener.lingering.set(listener.lingering.get() + 1);
        self.linger().await;
        listener.lingering.set(listener.lingering.get() - 1);
    }

    /// Discards input for up to [`LINGER_TIME`]. Closing a socket with unread input resets the connection,
    /// and the client could lose the error message.
    async fn linger(&mut self) {
        let mut sink = [0; 4096];
        let discard = async {
            let mut reads = 0;
            while matches!((&*self.stream).read(&mut sink).await, Ok(1..)) {
                reads += 1;
                // A client that sends continuously would keep all other tasks from running.
                if reads % MAX_READS_IN_A_ROW == 0 {
                    Timer::after(PAUSE).await;
                }
            }
        };
        with_deadline(Instant::now() + LINGER_TIME, discard).await;
    }

    /// Writes all output and reads at the same time, so that the requests of a client that disconnects
    /// without reading its responses are abandoned.
    pub(super) async fn flush(&mut self) -> Result<(), CloseReason> {
        if self.session.output.is_empty() {
            return Ok(());
        }
        // The output buffer is not reused, since large responses are rare.
        let output = std::mem::take(&mut self.session.output);
        let stream = Rc::clone(&self.stream);
        let mut written = 0;
        let mut is_reading = true;
        let flush_deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut stall_deadline = Instant::now() + WRITE_STALL_TIMEOUT;
        while written < output.len() {
            let write = async {
                let result = (&*stream).write(&output[written..]).await;
                FlushEvent::Written(result.unwrap_or(0))
            };
            let read = async {
                if !is_reading {
                    return future::pending().await;
                }
                FlushEvent::Read(self.read_available(ReadMode::Ahead).await)
            };
            match with_deadline(flush_deadline.min(stall_deadline), future::or(write, read)).await {
                Some(FlushEvent::Written(0)) => return Err(CloseReason::ClientReset),
                // Write progress shows that the client still reads, however slowly.
                Some(FlushEvent::Written(count)) => {
                    written += count;
                    stall_deadline = Instant::now() + WRITE_STALL_TIMEOUT;
                }
                // A client that has only shut down its sending side still receives the remaining output.
                Some(FlushEvent::Read(Ok(0))) if self.has_no_outstanding_requests() => is_reading = false,
                Some(FlushEvent::Read(Ok(0))) => return Err(CloseReason::ClientGone),
                Some(FlushEvent::Read(Ok(_))) => {}
                Some(FlushEvent::Read(Err(reason))) => return Err(reason),
                None => return Err(CloseReason::ClientStalled),
            }
        }
        self.unwritten_rows.clear();
        Ok(())
    }

    /// Returns whether no request of the client is open or waiting to be parsed.
    fn has_no_outstanding_requests(&self) -> bool {
        let has_unread_command =
            !self.response_writer.is_closing() && self.session.next_command_bytes().is_some();
        !has_unread_command && !self.response_writer.has_open_request()
    }
}
