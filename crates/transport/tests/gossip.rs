//! The serving thread's view of the gossip worker: its updates, and the detection of stalls.

use futures_lite::future::{block_on, poll_once};
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use wharfplank_shared_state::{StateUpdate, WriteOutcome, WriteRecord};
use wharfplank_transport::gossip::{
    forward_updates, GossipLogEvent, GossipUpdate, StallDetector, UpdateQueue, CATCH_UP_TIME,
    MAX_QUEUED_UPDATES, STALL_TIMEOUT,
};
use wharfplank_transport::worker::ring;
use wharfplank_transport::ProxyEvent;

fn in_doubt(write: u64) -> StateUpdate {
    StateUpdate::Write(WriteRecord { write, outcome: WriteOutcome::InDoubt, refreshed_at: 1 })
}

#[test]
fn in_doubt_writes_bypass_the_broker_queue() {
    let (mut sender, receiver) = ring(8);
    let mut queue = UpdateQueue::new(
        receiver,
        vec![WriteRecord { write: 1, outcome: WriteOutcome::Executed, refreshed_at: 1 }],
    );
    sender.send(GossipUpdate::ZoneShares(vec![("a".to_string(), 0.0)]));
    sender
        .send(GossipUpdate::StateUpdates(vec![in_doubt(2), StateUpdate::Suspected { member: 7, since: 3 }]));
    assert!(queue.is_in_doubt(1) && queue.is_in_doubt(2) && !queue.is_in_doubt(3));
    queue.record_write_outcome(5, 3, WriteOutcome::InDoubt);
    assert!(queue.is_in_doubt(3));
    sender.send(GossipUpdate::ZoneShares(vec![("a".to_string(), 1.0)]));
    drop(sender);
    let events: Vec<Option<ProxyEvent>> =
        (0..3).map(|_| block_on(poll_fn(|cx| queue.poll_event(cx)))).collect();
    assert!(
        matches!(&events[0], Some(ProxyEvent::ZoneShares(shares)) if shares[0].1 == 1.0),
        "only the newest shares are reported"
    );
    let is_expected =
        |state_updates: &[StateUpdate]| state_updates == [StateUpdate::Suspected { member: 7, since: 3 }];
    assert!(matches!(&events[1], Some(ProxyEvent::StateUpdates(updates)) if is_expected(updates)));
    assert!(events[2].is_none());
}

#[test]
fn queued_state_updates_are_bounded() {
    let (mut sender, receiver) = ring(8);
    let mut queue = UpdateQueue::new(receiver, Vec::new());
    for nth in 0..3 * MAX_QUEUED_UPDATES as u64 {
        sender.send(GossipUpdate::StateUpdates(vec![StateUpdate::Suspected { member: nth, since: 1 }]));
        assert!(!queue.is_in_doubt(9));
    }
    assert_eq!((queue.queued_state_updates(), sender.dropped()), (MAX_QUEUED_UPDATES, 0));
    assert!(matches!(
        block_on(poll_once(poll_fn(|cx| queue.poll_event(cx)))),
        Some(Some(ProxyEvent::StateUpdates(_)))
    ));
}

#[test]
fn worker_panic_restores_all_zones() {
    let (mut sender, receiver) = ring(8);
    let queue = Rc::new(RefCell::new(UpdateQueue::new(receiver, Vec::new())));
    let (events, received) = async_channel::bounded(8);
    let worker = std::thread::spawn(move || {
        sender.send(GossipUpdate::ZoneShares(vec![("a".to_string(), 0.0)]));
        panic!("expected by the test");
    });
    assert!(worker.join().is_err());
    block_on(forward_updates(queue, events, |event| assert!(matches!(event, GossipLogEvent::WorkerFailed))));
    let reported: Vec<ProxyEvent> = std::iter::from_fn(|| received.try_recv().ok()).collect();
    assert!(matches!(&reported[..],
        [ProxyEvent::ZoneShares(reduced), ProxyEvent::ZoneShares(reset), ProxyEvent::MemberFactors(factors)]
        if reduced.len() == 1 && reset.is_empty() && factors.is_empty()));
}

#[test]
fn worker_is_behind_during_and_just_after_a_stall() {
    let detector = StallDetector::new(10);
    assert!(!detector.is_behind(10) && !detector.is_behind(10 + STALL_TIMEOUT));
    assert!(detector.is_behind(11 + STALL_TIMEOUT), "the worker is stalled");
    detector.record_turn(20 + STALL_TIMEOUT);
    assert!(detector.is_behind(20 + STALL_TIMEOUT), "messages from during the stall may be unread");
    detector.record_turn(30 + STALL_TIMEOUT);
    assert!(
        detector.is_behind(19 + STALL_TIMEOUT + CATCH_UP_TIME)
            && !detector.is_behind(20 + STALL_TIMEOUT + CATCH_UP_TIME)
    );
}
