//! A connection to a member, and reading of the member's responses.

use super::end_reason::{EndReason, ReadError};
use super::{AttemptReport, MemberPool};
use crate::response_stream::{CHUNK_BYTES, SCARCE_CHUNK_BYTES};
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
use wharfplank_protocol::read_buffer::ReadBuffer;
use wharfplank_routing::AttemptOutcome;

/// The time limit for the response to an empty query, which members send immediately.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum pause within a short response, after which the attempt fails so that another member can still
/// serve the request. Observed pauses of slow members and split writes were shorter, those of unresponsive
/// members longer.
const STALL_TIMEOUT: Duration = Duration::from_millis(150);
/// The maximum pause within a streamed row; longer, since its request can no longer be retried.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of a liveness check.
pub(super) enum Liveness {
    /// The member responded to an empty query.
    Alive,
    /// The connection failed, or the member sent something else.
    Dead,
    /// The member did not respond in time.
    Unresponsive,
}

/// An established connection to a member. Dropping it closes it, releases its reservation and reports its
/// end.
pub(super) struct MemberConnection {
    pub(super) stream: TcpConnection,
    pub(super) reader: ResponseReader,
    pub(super) peer: SocketAddr,
    pub(super) pool: Rc<MemberPool>,
    pub(super) opened_at: Instant,
    /// When the last response was completed, or else when the connection was opened.
    pub(super) last_used: Instant,
    pub(super) requests: u64,
    pub(super) memory: MemoryReservation,
    /// The end reason that is reported on drop.
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
            undelivered_bytes: 0,
            requests: self.requests,
            started_at: self.opened_at,
        });
    }
}

impl MemberConnection {
    /// Creates the connection of an established stream and counts it in its pool.
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

    /// Releases the memory of the read buffer if it is empty, for a connection that is not read for a while.
    pub(super) fn release_read_buffer(&mut self) {
        if self.reader.buffer.unread().is_empty() {
            self.reader.buffer = ReadBuffer::default();
            self.memory.charge(0);
        }
    }

    /// Closes the connection and reports this reason.
    pub(super) fn close(mut self, reason: EndReason) {
        self.end_reason = reason;
    }

    /// Returns whether the connection can carry another request: it is open, and no unsolicited bytes were
    /// received.
    pub(super) fn is_reusable(&self) -> bool {
        !self.reader.has_partial_response() && peek::is_idle(self.stream.get_ref())
    }

    /// Returns whether the member has sent bytes that were not consumed yet.
    pub(super) fn has_unread_bytes(&self) -> bool {
        self.reader.has_partial_response() || peek::has_unread_bytes(self.stream.get_ref())
    }

    /// Checks with an empty query whether the connection still works.
    pub(super) async fn check_liveness(&mut self) -> Liveness {
        let deadline = Instant::now() + LIVENESS_TIMEOUT;
        let Some(responded) = with_deadline(deadline, self.exchange_empty_query()).await else {
            return Liveness::Unresponsive;
        };
        self.last_used = Instant::now();
        if responded && self.is_reusable() {
            Liveness::Alive
        } else {
            Liveness::Dead
        }
    }

    /// Sends an empty query and returns whether the member responds correctly.
    async fn exchange_empty_query(&mut self) -> bool {
        if self.stream.write_all(&member_request::query_message(|_| {})).await.is_err() {
            return false;
        }
        let response = self.read_event().await;
        matches!(response, Ok(ResponseEvent::Complete(response)) if response.kind == ResponseKind::Done)
    }

    /// Reads the next part of a response, or all of a short one.
    ///
    /// # Errors
    ///
    /// Returns the reason why nothing more can be read. Complete responses that arrived before the connection
    /// was closed or reset are returned first.
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
                // Streams the partial row, so that no memory is needed for the rest.
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

    /// Returns the minimum capacity of the read buffer.
    fn min_read_capacity(&self, streaming: bool) -> usize {
        match streaming {
            true if self.memory.budget().available() >= CHUNK_BYTES => CHUNK_BYTES,
            true => SCARCE_CHUNK_BYTES,
            false => 0,
        }
    }

    /// Reads once, with a time limit if a response has started to arrive.
    async fn read_into_buffer(&mut self, streaming: bool, min_capacity: usize) -> Result<(), ReadError> {
        let stall_timeout = if streaming { STREAM_STALL_TIMEOUT } else { STALL_TIMEOUT };
        let has_started = self.reader.has_partial_response();
        let read = self.stream.read(self.reader.buffer.spare_with_capacity(min_capacity));
        let result = if has_started {
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

    /// Determines the outcome of a complete response, and returns the connection to its pool if it is still
    /// usable.
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
        let stated = response.stated;
        AttemptReport { outcome, response: Some(response), stated, stream: None }
    }
}
