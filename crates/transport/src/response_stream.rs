//! A long value on its way from a member to a client: pieces in a bounded queue between the two connections. What the
//! client does not take stays with the member, beyond a few pieces.

use super::{MemoryBudget, MemoryReservation};
use async_channel::{bounded, Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// Pieces that wait: while memory is left they are of 64 KiB, so that a slow client keeps a member's connection only
/// with what is past a quarter of a megabyte; later ones are of 16 KiB.
const PIECES: usize = 4;

/// A part of an answer.
pub(super) enum Piece {
    /// Bytes of the row.
    Row(Vec<u8>, MemoryReservation),
    /// What follows the row: the answer is whole.
    End(Vec<u8>),
}

/// The client's end of it. Pieces that stop without an end were cut off.
pub struct ResponseStream {
    /// The row's description and the first bytes of the row.
    pub(super) first: Vec<u8>,
    /// Bytes of the row that are to come after those.
    pub(super) left: usize,
    pub(super) pieces: Receiver<Piece>,
    /// Whether its end has been handed on.
    whole: Rc<Cell<bool>>,
    _part: MemoryReservation,
}

impl std::fmt::Debug for ResponseStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ResponseStream({} to come)", self.left)
    }
}

/// The member's end of it.
pub(super) struct ResponseStreamSender {
    pieces: Sender<Piece>,
    whole: Rc<Cell<bool>>,
    memory: Rc<MemoryBudget>,
}

impl ResponseStream {
    /// Both ends of a value that has begun.
    pub(super) fn new(
        first: Vec<u8>,
        left: usize,
        memory: &Rc<MemoryBudget>,
    ) -> (ResponseStream, ResponseStreamSender) {
        let (sender, pieces) = bounded(PIECES);
        let mut part = MemoryReservation::new(memory);
        part.resize(first.len());
        let whole: Rc<Cell<bool>> = Rc::default();
        let source =
            ResponseStreamSender { pieces: sender, whole: Rc::clone(&whole), memory: Rc::clone(memory) };
        (ResponseStream { first, left, pieces, whole, _part: part }, source)
    }

    /// Whether the member's side ended without an end.
    pub(super) fn is_cut(&self) -> bool {
        self.pieces.is_closed() && !self.whole.get()
    }
}

impl ResponseStreamSender {
    /// Hands a piece on once there is room for it; false where nobody wants it any more.
    pub(super) async fn give(&self, bytes: Vec<u8>) -> bool {
        let mut part = MemoryReservation::new(&self.memory);
        part.resize(bytes.len());
        self.pieces.send(Piece::Row(bytes, part)).await.is_ok()
    }

    /// Hands the end on.
    pub(super) async fn end(&self, rest: Vec<u8>) {
        self.whole.set(true);
        let _ = self.pieces.send(Piece::End(rest)).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_lite::future::{block_on, poll_once};

    /// Guards against a client that takes nothing while its member's bytes pile up here: past a few pieces the
    /// member waits, each piece taken lets one on, and what was held is given back.
    #[test]
    fn what_is_not_taken_stays_with_the_member() {
        block_on(async {
            let memory = MemoryBudget::new(1 << 20);
            let (flow, source) = ResponseStream::new(vec![0; 100], 64 << 20, &memory);
            let mut given = 0;
            while poll_once(source.give(vec![1; 64 * 1024])).await.is_some() {
                given += 1;
            }
            assert_eq!(given, PIECES);
            let held = (1 << 20) - memory.available();
            assert!((1..=PIECES * 64 * 1024).contains(&held), "{held} held");
            for _ in 0..100 {
                assert!(
                    matches!(flow.pieces.recv().await, Ok(Piece::Row(bytes, _)) if bytes.len() == 64 * 1024)
                );
                assert!(source.give(vec![1; 64 * 1024]).await);
                assert!(poll_once(source.give(vec![1])).await.is_none());
            }
            drop(flow);
            assert!(!source.give(vec![1]).await, "nobody takes it any more");
            drop(source);
            assert_eq!(memory.available(), 1 << 20);
        });
    }

    /// Guards against a value that was cut off and looks whole, and the other way round.
    #[test]
    fn only_an_end_that_was_handed_on_makes_it_whole() {
        block_on(async {
            let memory = MemoryBudget::new(1 << 20);
            let (whole, source) = ResponseStream::new(vec![0], 1, &memory);
            assert!(source.give(vec![1]).await && !whole.is_cut());
            source.end(vec![2]).await;
            drop(source);
            assert!(!whole.is_cut());
            let (cut, source) = ResponseStream::new(vec![0], 1, &memory);
            source.give(vec![1]).await;
            drop(source);
            assert!(cut.is_cut());
        });
    }
}
