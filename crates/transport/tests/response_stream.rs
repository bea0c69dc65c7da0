//! The queue between a member and a client whose long response is streamed.

use futures_lite::future::{block_on, poll_once};
use wharfplank_transport::response_stream::{channel, StreamPiece, MAX_QUEUED_PIECES};
use wharfplank_transport::MemoryBudget;

/// Guards against a client that takes nothing while its member's bytes pile up here: past a few pieces the
/// member waits, each piece taken lets one on, and what was held is given back.
#[test]
fn untaken_pieces_stay_with_the_member() {
    block_on(async {
        let memory = MemoryBudget::new(1 << 20);
        let (stream, sender) = channel(vec![0; 100], 64 << 20, &memory);
        let mut queued = 0;
        while poll_once(sender.send(vec![1; 64 * 1024])).await.is_some() {
            queued += 1;
        }
        assert_eq!(queued, MAX_QUEUED_PIECES);
        let reserved = (1 << 20) - memory.available();
        assert!((1..=MAX_QUEUED_PIECES * 64 * 1024).contains(&reserved), "{reserved} reserved");
        for _ in 0..100 {
            let piece = stream.pieces().recv().await;
            assert!(matches!(piece, Ok(StreamPiece::Row(row)) if row.bytes.len() == 64 * 1024));
            assert!(sender.send(vec![1; 64 * 1024]).await);
            assert!(poll_once(sender.send(vec![1])).await.is_none());
        }
        drop(stream);
        assert!(!sender.send(vec![1]).await, "nobody takes it any more");
        drop(sender);
        assert_eq!(memory.available(), 1 << 20);
    });
}

/// Guards against a response that was cut off and looks complete, and the other way round.
#[test]
fn only_a_sent_end_makes_a_response_complete() {
    block_on(async {
        let memory = MemoryBudget::new(1 << 20);
        let (complete, sender) = channel(vec![0], 1, &memory);
        assert!(sender.send(vec![1]).await && !complete.is_cut_off());
        sender.finish(vec![2]).await;
        drop(sender);
        assert!(!complete.is_cut_off());
        let (cut_off, sender) = channel(vec![0], 1, &memory);
        sender.send(vec![1]).await;
        drop(sender);
        assert!(cut_off.is_cut_off());
    });
}
