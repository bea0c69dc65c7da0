//! Tests of the queue that streams long responses from a member to a client.

use futures_lite::future::{block_on, poll_once};
use wharfplank_transport::response_stream::{channel, StreamChunk, CHUNK_BYTES, MAX_QUEUED_CHUNKS};
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
        assert_eq!(reserved, MAX_QUEUED_CHUNKS * 64 * 1024 + 100, "all bytes that are held count");
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

/// Guards against streams that hold several chunks each while memory is scarce, also of chunks that were
/// taken and not yet written, and against a stream that waits although its client has taken everything.
#[test]
fn a_stream_holds_one_chunk_while_memory_is_scarce() {
    const SMALL_CHUNK: usize = 4 * 1024;
    const STREAMS: usize = 400;
    const BUDGET: usize = 1 << 20;
    block_on(async {
        let memory = MemoryBudget::new(BUDGET);
        let streams: Vec<_> = (0..STREAMS).map(|_| channel(Vec::new(), 64 << 20, &memory)).collect();
        let mut held = 0;
        for (_, sender) in &streams {
            while poll_once(sender.wait_for_room()).await.is_some() {
                let bytes = if memory.available() >= CHUNK_BYTES { CHUNK_BYTES } else { SMALL_CHUNK };
                if poll_once(sender.send(vec![1; bytes])).await.is_none() {
                    break;
                }
                held += bytes;
            }
        }
        assert!(held <= BUDGET + STREAMS * SMALL_CHUNK, "{held} bytes are held");
        // The last stream found memory scarce: it holds one chunk, queued and then being written.
        let (stream, sender) = streams.last().expect("a stream");
        let chunk = stream.chunks().recv().await;
        assert!(poll_once(sender.wait_for_room()).await.is_none(), "its chunk is not written yet");
        drop(chunk);
        assert!(poll_once(sender.wait_for_room()).await.is_some(), "its chunk is written");
    });
}
