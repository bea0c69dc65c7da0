//! One connection to a member: its state, and reading what the member sends on it.

use super::end_reason::{EndReason, ReadError};
use super::{AttemptReport, MemberPool};
use crate::socket::peek;
use crate::socket::stream::TcpConnection;
use crate::{with_deadline, ConnectionEnd, MemoryReservation, Remote};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::member_request;
use wharfplank_protocol::member_response::{
    MemberResponse, ProtocolError, ResponseEvent, ResponseKind, ResponseReader,
};
use wharfplank_routing::AttemptOutcome;

/// How long the response to an empty query may take; a member sends it at once.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(100);
/// A short response that has begun to arrive and pauses for so long is taken as broken off: another member may still
/// serve its request. Slow members and split writes were seen to pause for less, silent members for more.
const STALL_TIMEOUT: Duration = Duration::from_millis(150);
/// A streamed row may pause for longer, since its request cannot be retried any more.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The bytes of a streamed row that are read at a time, where there is memory for them.
const STREAM_READ_SIZE: usize = 64 * 1024;

/// Whether a connection that was idle still works.
pub(super) enum Liveness {
    /// The member responded to an empty query.
    Alive,
    /// The connection is broken.
    Dead,
    /// The member did not respond in time.
    Silent,
}

/// An established connection to a member. Dropping it closes it, releases its place and reports its end.
pub(super) struct MemberConnection {
    pub(super) stream: TcpConnection,
    pub(super) reader: ResponseReader,
    pub(super) peer: SocketAddr,
    pub(super) pool: Rc<MemberPool>,
    pub(super) opened_at: Instant,
    /// When a response was last complete, or the connection was opened.
    pub(super) last_used: Instant,
    pub(super) requests: u64,
    pub(super) memory: MemoryReservation,
    /// The reason that is reported if the connection is dropped now.
    pub(super) end_reason: EndReason,
}

impl Drop for MemberConnection {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
        self.pool.release_reservation();
        (self.pool.context.on_connection_end)(&ConnectionEnd {
            remote: Remote::Member(&self.pool.name),
            address: self.peer,
            reason: self.end_reason.as_str(),
            requests: self.requests,
            started_at: self.opened_at,
        });
    }
}

impl MemberConnection {
    /// Wraps an established stream and counts it in its pool.
    pub(super) fn new(
        pool: Rc<MemberPool>,
        peer: SocketAddr,
        stream: TcpConnection,
        reader: ResponseReader,
    ) -> Self {
        pool.open.set(pool.open.get() + 1);
        let now = Instant::now();
        let memory = MemoryReservation::new(&pool.context.memory_budget);
        MemberConnection {
            stream,
            reader,
            peer,
            pool,
            opened_at: now,
            last_used: now,
            requests: 0,
            memory,
            end_reason: EndReason::Shutdown,
        }
    }

    /// Closes the connection for this reason.
    pub(super) fn close(mut self, reason: EndReason) {
        self.end_reason = reason;
    }

    /// Whether the member has neither closed the connection nor sent anything without a request.
    pub(super) fn is_quiet(&self) -> bool {
        !self.reader.has_partial_response() && peek::is_quiet(self.stream.get_ref())
    }

    /// Whether the member has sent something that was not consumed yet.
    pub(super) fn has_unread_bytes(&self) -> bool {
        self.reader.has_partial_response() || peek::has_unread_bytes(self.stream.get_ref())
    }

    /// Checks with an empty query whether the connection works.
    pub(super) async fn check_liveness(&mut self) -> Liveness {
        let deadline = Instant::now() + LIVENESS_TIMEOUT;
        let Some(responded) = with_deadline(deadline, self.exchange_empty_query()).await else {
            return Liveness::Silent;
        };
        self.last_used = Instant::now();
        if responded && self.is_quiet() {
            Liveness::Alive
        } else {
            Liveness::Dead
        }
    }

    /// Whether the member responds to an empty query as it should.
    async fn exchange_empty_query(&mut self) -> bool {
        if self.stream.write_all(&member_request::query_message(|_| {})).await.is_err() {
            return false;
        }
        let response = self.read_event().await;
        matches!(response, Ok(ResponseEvent::Complete(response)) if response.kind == ResponseKind::Done)
    }

    /// Reads the next part of a response, or all of it.
    ///
    /// # Errors
    ///
    /// Returns why nothing more can be read. What the member sent completely before it closed the connection, or
    /// before the connection broke, is returned first.
    pub(super) async fn read_event(&mut self) -> Result<ResponseEvent, ReadError> {
        let mut ended: Option<ReadError> = None;
        loop {
            let event = self.reader.advance(ended.is_some()).map_err(|ProtocolError| ReadError::Malformed)?;
            match (event, ended) {
                (Some(event), ended) => {
                    if let Some(error) = ended {
                        self.end_reason = error.into();
                    }
                    return Ok(event);
                }
                (None, Some(error)) => return Err(error),
                (None, None) => {}
            }
            let streaming = self.reader.is_streaming();
            let min_capacity = self.min_read_capacity(streaming);
            let fits = self.memory.resize(self.reader.buffer.next_capacity(min_capacity));
            if !fits && !streaming {
                // What there is of a row is streamed, so that no memory is needed for the rest.
                if !self.reader.stream_any_row() {
                    return Err(ReadError::OutOfMemory);
                }
                continue;
            }
            match self.read_into_buffer(streaming, min_capacity).await {
                Ok(()) => {}
                Err(ReadError::Stalled) => return Err(ReadError::Stalled),
                Err(error) => ended = Some(error),
            }
        }
    }

    /// The least capacity of the buffer that is read into.
    fn min_read_capacity(&self, streaming: bool) -> usize {
        if streaming && self.memory.budget().available() >= STREAM_READ_SIZE {
            STREAM_READ_SIZE
        } else {
            0
        }
    }

    /// Reads once. A response that has begun may pause only for a limited time.
    async fn read_into_buffer(&mut self, streaming: bool, min_capacity: usize) -> Result<(), ReadError> {
        let stall_timeout = if streaming { STREAM_STALL_TIMEOUT } else { STALL_TIMEOUT };
        let begun = self.reader.has_partial_response();
        let read = self.stream.read(self.reader.buffer.spare_with_capacity(min_capacity));
        let result = if begun {
            with_deadline(Instant::now() + stall_timeout, read).await.ok_or(ReadError::Stalled)?
        } else {
            read.await
        };
        match result {
            Ok(0) => Err(ReadError::Closed),
            Ok(count) => {
                self.reader.buffer.commit(count);
                Ok(())
            }
            Err(_) => Err(ReadError::Reset),
        }
    }

    /// Evaluates a complete response, and returns the connection to its pool if it is still usable.
    pub(super) fn complete(mut self, response: MemberResponse) -> AttemptReport {
        let now = Instant::now();
        self.pool.last_response.set(now);
        self.last_used = now;
        let outcome = match response.kind {
            ResponseKind::Row | ResponseKind::NoRow => AttemptOutcome::Ok,
            ResponseKind::Ineligible => AttemptOutcome::Misrouted,
            ResponseKind::Overloaded => AttemptOutcome::Overloaded,
            ResponseKind::NotReady | ResponseKind::Done | ResponseKind::Error => AttemptOutcome::Error,
        };
        if self.end_reason == EndReason::Abandoned {
            self.reader.buffer.release_memory();
            self.memory.resize(0);
            let pool = Rc::clone(&self.pool);
            pool.settle_and_release(self);
        }
        AttemptReport { outcome, response: Some(response), stream: None }
    }
}
