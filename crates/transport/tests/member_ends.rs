//! How attempts end when a connection breaks or says too much at the wrong instant.

mod stand;

use stand::*;
use std::io::Write;
use std::time::{Duration, Instant};
use wharfplank_routing::AttemptOutcome;
use wharfplank_transport::member_pool::AttemptStage;

/// Enough for a connection to come up on a busy machine.
const TIME: Duration = Duration::from_secs(2);

/// Guards against a break after the last byte that is taken for one before it, and against an error that came in
/// order and is lost with the connection that ends or is reset behind it.
#[test]
fn an_end_after_the_last_byte_may_have_run_unless_the_member_said_otherwise() {
    let half = message(b'T', b"\0\x01payload\0")[..9].to_vec();
    let cases = [
        (Vec::new(), AttemptOutcome::Reset),
        (half, AttemptOutcome::Reset),
        (row(b'a')[..60].to_vec(), AttemptOutcome::Reset),
        (error("XX000"), AttemptOutcome::Error),
        (error("57P03"), AttemptOutcome::Error),
        (error("25006"), AttemptOutcome::Misrouted),
        (error("53300"), AttemptOutcome::Overloaded),
    ];
    for (said, ending) in cases {
        for resets in [false, true] {
            let said = said.clone();
            play(Terms::default(), |rig, stand| async move {
                let (stage, attempt) = rig.attempt("1", far(), None);
                let attempt = rig.spawn(attempt);
                let peer = stand.greets().await;
                peer.asked().await;
                assert_eq!(stage.get(), AttemptStage::Written);
                peer.says(&said);
                if resets {
                    peer.resets();
                } else {
                    peer.closes();
                }
                assert_eq!(soon(attempt).await.outcome, ending, "resets {resets} after {said:?}");
                assert_eq!(rig.shared.open_connections.get(), 0, "it carries nothing more");
            });
        }
    }
}

/// Guards against half an answer that is waited for to the deadline: it stands still and ends as an error.
#[test]
fn half_an_answer_and_then_nothing_is_an_error() {
    for length in [1, 9, 60] {
        play(Terms::default(), |rig, stand| async move {
            let (_, attempt) = rig.attempt("1", far(), None);
            let attempt = rig.spawn(attempt);
            let peer = stand.greets().await;
            peer.asked().await;
            peer.says(&row(b'a')[..length]);
            assert_eq!(soon(attempt).await.outcome, AttemptOutcome::Error);
            assert_eq!(peer.hears().await, Heard::End, "its rest would be read as the next answer");
            assert_eq!(*rig.ends.borrow(), ["stalled"]);
        });
    }
}

/// Guards against a statement that was never whole and is taken for one that may have run: a reset, or the proxy's
/// own close, between its first byte and its last.
#[test]
fn what_was_never_whole_never_ran() {
    let long = "x".repeat(32 << 20);
    for resets in [true, false] {
        let long = long.clone();
        play(Terms::default(), |rig, stand| async move {
            let (stage, attempt) = rig.attempt(&long, far(), None);
            let attempt = rig.spawn(attempt);
            let peer = stand.accepts().await;
            peer.hold(true);
            peer.greets().await;
            until(|| stage.get() == AttemptStage::Writing).await;
            if resets {
                peer.resets();
                peer.hold(false);
                assert_eq!(soon(attempt).await.outcome, AttemptOutcome::ConnectFailed);
            } else {
                drop(attempt);
                peer.hold(false);
            }
            assert_eq!(peer.hears().await, Heard::End, "it came whole");
            assert_eq!(rig.shared.open_connections.get(), 0);
        });
    }
}

/// Guards against the answer to an attempt that was given up, by its time or by the router, which would be read as
/// the answer to the next one on that connection.
#[test]
fn an_answer_to_what_was_given_up_reaches_nobody() {
    for by_time in [true, false] {
        play(Terms::default(), |rig, stand| async move {
            let (stage, first) = rig.attempt("1", Instant::now() + if by_time { TIME } else { LONG }, None);
            let first = rig.spawn(first);
            let peer = stand.greets().await;
            peer.asked().await;
            if by_time {
                assert_eq!(soon(first).await.outcome, AttemptOutcome::Timeout);
            } else {
                until(|| stage.get() == AttemptStage::Written).await;
                drop(first);
            }
            let (_, second) = rig.attempt("2", far(), None);
            let second = rig.spawn(second);
            assert_eq!(peer.hears().await, Heard::End);
            // Nobody takes it any more.
            let _ = (&peer.stream).write_all(&row(b'1'));
            let other = stand.greets().await;
            assert!(other.asked().await.ends_with("*/ 2"));
            other.says(&row(b'2'));
            assert_eq!(value(&soon(second).await), Some(b'2'));
        });
    }
}

/// Guards against a connection that ends in the instant in which it carries a request: what it took may have run, and
/// nothing is sent again unasked.
#[test]
fn a_connection_that_ends_under_its_second_request_is_a_reset() {
    play(Terms::default(), |rig, stand| async move {
        let peer = idle(&rig, &stand).await;
        let (_, second) = rig.attempt("2", far(), None);
        let second = rig.spawn(second);
        peer.asked().await;
        peer.resets();
        assert_eq!(soon(second).await.outcome, AttemptOutcome::Reset);
        assert!(stand.none(), "it was sent again");
    });
}
