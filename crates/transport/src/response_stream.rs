//! A long response on its way from a member to a client: pieces in a bounded queue between the two connections.
//!
//! What the client does not take stays with the member, beyond a few pieces.

use crate::{MemoryBudget, MemoryReservation};
use async_channel::{bounded, Receiver, Sender, TryRecvError};
use std::cell::Cell;
use std::rc::Rc;

/// The most pieces that are queued. While memory is left they are of 64 KiB, so that a slow client keeps a member's
/// connection only with what is past a quarter of a megabyte; later ones are of 16 KiB.
pub const MAX_QUEUED_PIECES: usize = 4;

/// A part of a streamed response.
pub enum StreamPiece {
    /// Bytes of the row.
    Row(RowBytes),
    /// What follows the row: the response is complete.
    End(Vec<u8>),
}

/// Bytes of a row, which count towards the memory budget until they are dropped.
pub struct RowBytes {
    /// The bytes.
    pub bytes: Vec<u8>,
    _reservation: MemoryReservation,
}

/// The client's side of a streamed response. If its pieces stop without an end, it was cut off.
pub struct ResponseStream {
    /// The row's description and the first bytes of the row.
    pub(crate) first: Vec<u8>,
    /// Bytes of the row that follow those.
    pub(crate) remaining: usize,
    pieces: Receiver<StreamPiece>,
    /// Whether the end of the response was sent.
    finished: Rc<Cell<bool>>,
    _reservation: MemoryReservation,
}

/// The member's side of a streamed response.
pub struct ResponseStreamSender {
    pieces: Sender<StreamPiece>,
    finished: Rc<Cell<bool>>,
    budget: Rc<MemoryBudget>,
}

/// Creates both sides of a response that has begun with `first`, and of whose row `remaining` bytes are to come.
pub fn channel(
    first: Vec<u8>,
    remaining: usize,
    budget: &Rc<MemoryBudget>,
) -> (ResponseStream, ResponseStreamSender) {
    let (sender, pieces) = bounded(MAX_QUEUED_PIECES);
    let mut reservation = MemoryReservation::new(budget);
    reservation.resize(first.len());
    let finished: Rc<Cell<bool>> = Rc::default();
    let sender =
        ResponseStreamSender { pieces: sender, finished: Rc::clone(&finished), budget: Rc::clone(budget) };
    let stream = ResponseStream { first, remaining, pieces, finished, _reservation: reservation };
    (stream, sender)
}

impl std::fmt::Debug for ResponseStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ResponseStream({} bytes to come)", self.remaining)
    }
}

impl ResponseStream {
    /// Whether the member's side ended without the end of the response.
    pub fn is_cut_off(&self) -> bool {
        self.pieces.is_closed() && !self.finished.get()
    }

    /// The queue of pieces, to wait for the next one. It is closed once the member's side is dropped.
    pub fn pieces(&self) -> Receiver<StreamPiece> {
        self.pieces.clone()
    }

    /// The next piece, if one is queued.
    ///
    /// # Errors
    ///
    /// Returns whether a piece may still come or the member's side is dropped.
    pub(crate) fn try_next(&self) -> Result<StreamPiece, TryRecvError> {
        self.pieces.try_recv()
    }
}

impl ResponseStreamSender {
    /// Sends bytes of the row once there is room in the queue. Returns false if the client's side was dropped.
    pub async fn send(&self, bytes: Vec<u8>) -> bool {
        let mut reservation = MemoryReservation::new(&self.budget);
        reservation.resize(bytes.len());
        let row = RowBytes { bytes, _reservation: reservation };
        self.pieces.send(StreamPiece::Row(row)).await.is_ok()
    }

    /// Sends what follows the row, which completes the response.
    pub async fn finish(&self, rest: Vec<u8>) {
        self.finished.set(true);
        let _ = self.pieces.send(StreamPiece::End(rest)).await;
    }
}
