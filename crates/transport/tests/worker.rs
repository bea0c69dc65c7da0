//! Worker threads and the bounded rings that join them to the serving thread.

use futures_lite::future::block_on;
use std::rc::Rc;
use wharfplank_transport::worker::{ring, start};

#[test]
fn a_full_ring_drops_the_newest_and_counts_it() {
    let (mut sender, mut receiver) = ring(2);
    let taken: Vec<bool> = (1..=5).map(|item| sender.send(item)).collect();
    assert_eq!((taken, sender.dropped()), (vec![true, true, false, false, false], 3));
    assert_eq!((receiver.try_recv(), sender.send(6)), (Some(1), true));
    drop(sender);
    let rest: Vec<i32> = std::iter::from_fn(|| block_on(receiver.recv())).collect();
    assert_eq!((rest, receiver.has_panicked()), (vec![2, 6], false));
}

#[test]
fn a_ring_whose_receiver_ended_drops_and_counts() {
    let (mut sender, receiver) = ring(2);
    assert!(!sender.is_closed());
    drop(receiver);
    assert!(sender.is_closed() && !sender.send(1) && !sender.send_lazy(2));
    assert_eq!(sender.dropped(), 2);
}

/// Both sides sleep and wake all the time: one lost wake and the test never ends.
#[test]
fn no_wake_up_is_lost_and_the_order_is_kept() {
    const ITEMS: u64 = 100_000;
    let (mut sender, mut receiver) = start("echo", 4, |mut receiver, mut sender| async move {
        // What is not Send may live on the worker's thread.
        let count = Rc::new(std::cell::Cell::new(0_u64));
        while let Some(item) = receiver.recv().await {
            count.set(count.get() + 1);
            sender.send((item, count.get()));
        }
    })
    .unwrap();
    block_on(async {
        for item in 1..=ITEMS {
            assert!(sender.send(item));
            assert_eq!(receiver.recv().await, Some((item, item)));
        }
        drop(sender);
        assert_eq!((receiver.recv().await, receiver.has_panicked()), (None, false));
    });
}

#[test]
fn lazy_items_wake_the_receiver_once_half_of_the_ring_is_in_use() {
    let (mut sender, mut receiver) = start("sums", 8, |mut receiver, mut sender| async move {
        let mut sum = 0;
        while let Some(item) = receiver.recv().await {
            sum += item;
        }
        sender.send(sum);
    })
    .unwrap();
    block_on(async {
        let mut taken = 0;
        for item in 1..=10_000_u64 {
            taken += if sender.send_lazy(item) { item } else { 0 };
        }
        assert!(taken > 0 && sender.free_slots() >= 1, "the last eighth is for what is sent eagerly");
        drop(sender);
        assert_eq!((receiver.recv().await, receiver.recv().await), (Some(taken), None));
    });
}

#[test]
fn a_panic_ends_the_worker_and_is_seen() {
    let (mut sender, mut receiver) = start("fails", 4, |mut receiver, mut sender| async move {
        while let Some(item) = receiver.recv().await {
            assert_ne!(item, 2, "as the test wants it");
            sender.send(item);
        }
    })
    .unwrap();
    block_on(async {
        assert!(sender.send(1) && sender.send(2));
        assert_eq!((receiver.recv().await, receiver.recv().await), (Some(1), None));
        assert!(receiver.has_panicked());
    });
    // Serving goes on: what is for the worker is dropped and counted.
    while !sender.is_closed() {
        std::thread::yield_now();
    }
    assert_eq!((sender.send(3), sender.dropped()), (false, 1));
}
