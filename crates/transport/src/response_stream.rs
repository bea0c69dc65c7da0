//! Streaming of long responses from a member to a client, through a bounded queue of chunks between the two
//! connections.
//!
//! The bound gives backpressure: if the client reads slowly, the member is not read beyond a few chunks.

use crate::{MemoryBudget, MemoryReservation};
use async_channel::{bounded, Receiver, Sender, TryRecvError};
use std::cell::Cell;
use std::rc::Rc;

/// The maximum number of queued chunks. Chunks are 64 KiB while memory is available, so a slow client
/// occupies a member's connection only if more than a quarter of a megabyte remains; otherwise they are 16
/// KiB.
pub const MAX_QUEUED_CHUNKS: usize = 4;

/// A chunk of a streamed response.
pub enum StreamChunk {
    /// Bytes of the row, sent as they arrive.
    Row(RowBytes),
    /// The messages after the row, which complete the response.
    End(Vec<u8>),
}

/// Bytes of a row, which count towards the memory budget until dropped.
pub struct RowBytes {
    /// The bytes.
    pub bytes: Vec<u8>,
    _reservation: MemoryReservation,
}

/// The client side of a streamed response. If the queue closes without an end chunk, the response was cut
/// off.
pub struct ResponseStream {
    /// The row description and the first bytes of the row.
    pub(crate) first: Vec<u8>,
    /// The number of bytes of the row that follow `first`.
    pub(crate) remaining: usize,
    chunks: Receiver<StreamChunk>,
    /// Whether the sender has sent the end of the response.
    finished: Rc<Cell<bool>>,
    _reservation: MemoryReservation,
}

/// The member side of a streamed response.
pub struct ResponseStreamSender {
    chunks: Sender<StreamChunk>,
    finished: Rc<Cell<bool>>,
    budget: Rc<MemoryBudget>,
}

/// Creates both sides of a response that starts with `first`, with `remaining` bytes of its row still to
/// come.
pub fn channel(
    first: Vec<u8>,
    remaining: usize,
    budget: &Rc<MemoryBudget>,
) -> (ResponseStream, ResponseStreamSender) {
    let (sender, chunks) = bounded(MAX_QUEUED_CHUNKS);
    let mut reservation = MemoryReservation::new(budget);
    reservation.resize(first.len());
    let finished: Rc<Cell<bool>> = Rc::default();
    let sender =
        ResponseStreamSender { chunks: sender, finished: Rc::clone(&finished), budget: Rc::clone(budget) };
    let stream = ResponseStream { first, remaining, chunks, finished, _reservation: reservation };
    (stream, sender)
}

impl std::fmt::Debug for ResponseStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ResponseStream({} bytes to come)", self.remaining)
    }
}

impl ResponseStream {
    /// Returns whether the member side was dropped before the end of the response.
    pub fn is_cut_off(&self) -> bool {
        self.chunks.is_closed() && !self.finished.get()
    }

    /// Returns the queue of chunks, to wait for the next one. It is closed once the member side is dropped.
    pub fn chunks(&self) -> Receiver<StreamChunk> {
        self.chunks.clone()
    }

    /// Returns the next chunk, if one is queued.
    ///
    /// # Errors
    ///
    /// Returns whether the queue is empty, or closed because the member side was dropped.
    pub(crate) fn try_next(&self) -> Result<StreamChunk, TryRecvError> {
        self.chunks.try_recv()
    }
}

impl ResponseStreamSender {
    /// Sends bytes of the row, waiting for space in the queue. Returns false if the client side was dropped.
    pub async fn send(&self, bytes: Vec<u8>) -> bool {
        let mut reservation = MemoryReservation::new(&self.budget);
        reservation.resize(bytes.len());
        let row = RowBytes { bytes, _reservation: reservation };
        self.chunks.send(StreamChunk::Row(row)).await.is_ok()
    }

    /// Sends the messages after the row, which completes the response.
    pub async fn finish(&self, rest: Vec<u8>) {
        self.finished.set(true);
        let _ = self.chunks.send(StreamChunk::End(rest)).await;
    }
}
