//! Worker threads and the bounded rings that connect them to the serving thread.

use futures_lite::future::block_on;
use std::rc::Rc;
use wharfplank_transport::worker::{ring, start};

#[test]
fn full_ring_drops_new_items_and_counts_them() {
    let (mut sender, mut receiver) = ring(2);
    let sent: Vec<bool> = (1..=5).map(|item| sender.send(item)).collect();
    assert_eq!((sent, sender.dropped()), (vec![true, true, false, false, false], 3));
    assert_eq!((receiver.try_recv(), sender.send(6)), (Some(1), true));
    drop(sender);
    let rest: Vec<i32> = std::iter::from_fn(|| block_on(receiver.recv())).collect();
    assert_eq!((rest, receiver.has_panicked()), (vec![2, 6], false));
}

#[test]
fn ring_without_receiver_drops_and_counts() {
    let (mut sender, receiver) = ring(2);
    assert!(!sender.is_closed());
    drop(receiver);
    assert!(sender.is_closed() && !sender.send(1) && !sender.send_lazy(2));
    assert_eq!(sender.dropped(), 2);
}

/// Guards against lost wake-ups: both sides sleep and wake for every item, so that the test hangs if one is
/// lost.
#[test]
fn wake_ups_are_not_lost_and_order_is_kept() {
    const ITEMS: u64 = 100_000;
    let (mut sender, mut receiver) = start("echo", 4, |mut receiver, mut sender| async move {
        // Values on the worker's thread need not be `Send`.
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
fn lazy_items_wake_the_receiver_of_a_half_full_ring() {
    let (mut sender, mut receiver) = start("sums", 8, |mut receiver, mut sender| async move {
        let mut sum = 0;
        while let Some(item) = receiver.recv().await {
            sum += item;
        }
        sender.send(sum);
    })
    .unwrap();
    block_on(async {
        let mut sent = 0;
        for item in 1..=10_000_u64 {
            sent += if sender.send_lazy(item) { item } else { 0 };
        }
        assert!(sent > 0 && sender.free_slots() >= 1, "the last eighth is reserved for `send`");
        drop(sender);
        assert_eq!((receiver.recv().await, receiver.recv().await), (Some(sent), None));
    });
}

#[test]
fn worker_panic_is_detected() {
    let (mut sender, mut receiver) = start("fails", 4, |mut receiver, mut sender| async move {
        while let Some(item) = receiver.recv().await {
            assert_ne!(item, 2, "expected by the test");
            sender.send(item);
        }
    })
    .unwrap();
    block_on(async {
        assert!(sender.send(1) && sender.send(2));
        assert_eq!((receiver.recv().await, receiver.recv().await), (Some(1), None));
        assert!(receiver.has_panicked());
    });
    // The serving thread continues: items for the worker are dropped and counted.
    while !sender.is_closed() {
        std::thread::yield_now();
    }
    assert_eq!((sender.send(3), sender.dropped()), (false, 1));
}
