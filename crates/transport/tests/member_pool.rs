//! Which connections carry an attempt: not those that spoke, ended, are late, stood idle for long or lead elsewhere.

mod stand;

use stand::*;
use std::io::Write;
use std::time::Duration;
use wharfplank_routing::AttemptOutcome;
use wharfplank_transport::member_pool::AttemptStage;

const SHORT: Duration = Duration::from_millis(100);

/// Guards against what an idle connection says unasked, long after its answer, and that would be read as the next
/// one's: a second copy, or a member's farewell; and against an idle one that has ended.
#[test]
fn an_idle_connection_that_spoke_or_ended_carries_nothing() {
    for said in [row(b'0'), error("57P01"), error("53300"), vec![b'T'], Vec::new()] {
        play(Terms::default(), |rig, stand| async move {
            let peer = idle(&rig, &stand).await;
            if said.is_empty() {
                peer.closes();
            } else {
                peer.says(&said);
            }
            let (_, second) = rig.attempt("2", far(), None);
            let second = rig.spawn(second);
            let other = stand.greets().await;
            assert!(other.asked().await.ends_with("*/ 2"));
            other.says(&row(b'2'));
            assert_eq!(value(&soon(second).await), Some(b'2'));
            assert_eq!(*rig.ends.borrow(), ["member_closed"]);
        });
    }
}

/// Guards against a connection that comes up after its attempt ended with it: it is closed, holds no place, and
/// carries nothing; the next one does.
#[test]
fn a_connection_later_than_its_time_is_closed() {
    let terms = Terms { connect_timeout: SHORT, ..Terms::default() };
    play(terms, |rig, stand| async move {
        let (stage, first) = rig.attempt("1", far(), None);
        let first = rig.spawn(first);
        let late = stand.accepts().await;
        assert_eq!(late.hears().await, Heard::Startup);
        assert_eq!(soon(first).await.outcome, AttemptOutcome::ConnectFailed);
        assert_eq!(stage.get(), AttemptStage::Queued);
        assert_eq!(late.hears().await, Heard::End);
        until(|| rig.shared.open_connections.get() == 0).await;
        // Its greeting reaches nobody.
        let _ = (&late.stream).write_all(&message(b'Z', b"I"));
        let (_, second) = rig.attempt("2", far(), None);
        let second = rig.spawn(second);
        let peer = stand.greets().await;
        assert!(peer.asked().await.ends_with("*/ 2"));
        peer.says(&row(b'2'));
        assert_eq!(value(&soon(second).await), Some(b'2'));
        assert_eq!(*rig.ends.borrow(), ["connect_timeout"]);
    });
}

/// Guards against a connection that its member is about to close: where the settings have members close sooner than
/// a pool is tended, one that stood idle for its time carries nothing more.
#[test]
fn one_that_stood_idle_for_its_time_is_not_used() {
    let terms = Terms { idle_most: SHORT, ..Terms::default() };
    play(terms, |rig, stand| async move {
        let peer = idle(&rig, &stand).await;
        async_io::Timer::after(SHORT).await;
        let (_, second) = rig.attempt("2", far(), None);
        let second = rig.spawn(second);
        let other = stand.greets().await;
        assert!(other.asked().await.ends_with("*/ 2"));
        other.says(&row(b'2'));
        assert_eq!(value(&soon(second).await), Some(b'2'));
        assert_eq!(peer.hears().await, Heard::End);
        assert_eq!(*rig.ends.borrow(), ["retired"]);
    });
}

/// Guards against a member that moved and is still sent to at its old address, where another may listen by now: one
/// that comes up there late is closed, and what waits goes to the new address.
#[test]
fn a_connection_to_an_address_that_was_left_carries_nothing() {
    play(Terms::default(), |rig, stand| async move {
        let (_, attempt) = rig.attempt("1", far(), None);
        let attempt = rig.spawn(attempt);
        let old = stand.accepts().await;
        let moved = Stand::start();
        rig.member.relocate(moved.address);
        rig.member.activate();
        old.greets().await;
        assert_eq!(old.hears().await, Heard::End);
        let new = moved.greets().await;
        assert!(new.asked().await.ends_with("*/ 1"));
        new.says(&row(b'1'));
        assert_eq!(value(&soon(attempt).await), Some(b'1'));
        assert_eq!(*rig.ends.borrow(), ["moved"]);
        until(|| rig.shared.open_connections.get() == 1).await;
    });
}

/// Guards against a member that greets and ends in one breath: what is written to it then would count as one that may
/// have run, though nobody was there to take it.
#[test]
fn a_connection_that_is_greeted_and_ended_at_once_carries_nothing() {
    for said in [Vec::new(), error("57P01"), error("53300")] {
        play(Terms::default(), |rig, stand| async move {
            let (stage, attempt) = rig.attempt("1", far(), None);
            let attempt = rig.spawn(attempt);
            let peer = stand.accepts().await;
            assert_eq!(peer.hears().await, Heard::Startup);
            peer.says(&[message(b'R', &[0; 4]), message(b'Z', b"I"), said].concat());
            peer.closes();
            assert_eq!(soon(attempt).await.outcome, AttemptOutcome::ConnectFailed);
            assert_eq!(stage.get(), AttemptStage::Queued, "nothing was written");
            assert_eq!(*rig.ends.borrow(), ["member_closed"]);
            assert_eq!(rig.shared.open_connections.get(), 0);
        });
    }
}
