//! Tests of the queue that streams long responses from a member to a client.

use futures_lite::future::{block_on, poll_once};
use wharfplank_transport::response_stream::{channel, StreamChunk, MAX_QUEUED_CHUNKS};
use wharfplank_transport::MemoryBudget;

/// Guards against unbounded buffering for a client that does not read: beyond a few chunks the member has to
/// wait, each chunk received allows one more, and the reserved memory is released.
#[test]
fn slow_client_applies_backpressure() {
    block_on(async {
        let memory = MemoryBudget::new(1 << 20);
        let (stream, sender) = channel(vec![0; 100], 64 << 20, &memory);
        let mut queued = 0;
        while poll_once(sender.send(vec![1; 64 * 1024])).await.is_some() {
            queued += 1;
        }
        assert_eq!(queued, MAX_QUEUED_CHUNKS);
        let reserved = (1 << 20) - memory.available();
        assert!((1..=MAX_QUEUED_CHUNKS * 64 * 1024).contains(&reserved), "{reserved} reserved");
        for _ in 0..100 {
            let chunk = stream.chunks().recv().await;
            assert!(matches!(chunk, Ok(StreamChunk::Row(row)) if row.bytes.len() == 64 * 1024));
            assert!(sender.send(vec![1; 64 * 1024]).await);
            assert!(poll_once(sender.send(vec![1])).await.is_none());
        }
        drop(stream);
        assert!(!sender.send(vec![1]).await, "the client side was dropped");
        drop(sender);
        assert_eq!(memory.available(), 1 << 20);
    });
}

/// Guards against treating a cut-off response as complete, and a complete one as cut off.
#[test]
fn response_without_end_is_cut_off() {
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
