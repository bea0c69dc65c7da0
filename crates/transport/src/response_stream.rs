//! Streaming of long responses from a member to a client, through a bounded queue of chunks between the two
//! connections.
//!
//! The bound gives backpressure: if the client reads slowly, the member is not read beyond a few chunks, or,
//! while memory is scarce, beyond a single one. A chunk counts until the client's system has taken it.

use crate::{MemoryBudget, MemoryReservation};
use async_channel::{bounded, Receiver, Sender, TryRecvError};
use event_listener::Event;
use std::cell::Cell;
use std::rc::Rc;

/// The maximum number of queued chunks. Chunks are [`CHUNK_BYTES`] while memory is available, so a slow
/// client occupies a member's connection only if more than a quarter of a megabyte remains.
pub const MAX_QUEUED_CHUNKS: usize = 4;
/// The size of a chunk while memory is available. Memory is scarce when no chunk of this size is available.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// The size of a chunk while memory is scarce.
pub const SCARCE_CHUNK_BYTES: usize = 16 * 1024;

/// A chunk of a streamed response.
pub enum StreamChunk {
    /// Bytes of the row, sent as they arrive.
    Row(RowBytes),
    /// The messages after the row, which complete the response.
    End(Vec<u8>),
}

/// Bytes of a row, which count towards the memory budget until dropped, also after the bytes were moved to
/// the client's output.
pub struct RowBytes {
    /// The bytes.
    pub bytes: Vec<u8>,
    _reservation: MemoryReservation,
    unwritten: Rc<UnwrittenChunks>,
}

/// The chunks that were sent and not yet dropped.
#[derive(Default)]
struct UnwrittenChunks {
    count: Cell<usize>,
    /// Notified when the count falls, and when the client side ends.
    changed: Event,
}

impl Drop for RowBytes {
    fn drop(&mut self) {
        self.unwritten.count.set(self.unwritten.count.get() - 1);
        self.unwritten.changed.notify(usize::MAX);
    }
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
    unwritten: Rc<UnwrittenChunks>,
    _reservation: MemoryReservation,
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        self.chunks.close();
        self.unwritten.changed.notify(usize::MAX);
    }
}

/// The member side of a streamed response.
pub struct ResponseStreamSender {
    chunks: Sender<StreamChunk>,
    finished: Rc<Cell<bool>>,
    unwritten: Rc<UnwrittenChunks>,
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
    reservation.charge(first.len());
    let finished: Rc<Cell<bool>> = Rc::default();
    let unwritten: Rc<UnwrittenChunks> = Rc::default();
    let sender = ResponseStreamSender {
        chunks: sender,
        finished: Rc::clone(&finished),
        unwritten: Rc::clone(&unwritten),
        budget: Rc::clone(budget),
    };
    let stream = ResponseStream { first, remaining, chunks, finished, unwritten, _reservation: reservation };
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
    /// Waits until the next chunk may be read from the member: while memory is scarce, until all earlier
    /// chunks were written to the client, so that each stream holds one small chunk at most.
    pub async fn wait_for_room(&self) {
        loop {
            let changed = self.unwritten.changed.listen();
            if self.has_room() {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether the next chunk may be read from the member now.
    pub fn has_room(&self) -> bool {
        let is_scarce = self.budget.available() < CHUNK_BYTES;
        !is_scarce || self.unwritten.count.get() == 0 || self.chunks.is_closed()
    }

    /// Sends bytes of the row, waiting for space in the queue. Returns false if the client side was dropped.
    pub async fn send(&self, bytes: Vec<u8>) -> bool {
        let mut reservation = MemoryReservation::new(&self.budget);
        reservation.charge(bytes.len());
        self.unwritten.count.set(self.unwritten.count.get() + 1);
        let unwritten = Rc::clone(&self.unwritten);
        let row = RowBytes { bytes, _reservation: reservation, unwritten };
        self.chunks.send(StreamChunk::Row(row)).await.is_ok()
    }

    /// Sends the messages after the row, which completes the response.
    pub async fn finish(&self, rest: Vec<u8>) {
        self.finished.set(true);
        let _ = self.chunks.send(StreamChunk::End(rest)).await;
    }
}
