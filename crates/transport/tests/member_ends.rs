//! How attempts end when a connection breaks, is late or says too much at the wrong instant.

mod stand;

use stand::*;
use std::io::Write;
use std::time::{Duration, Instant};
use wharfplank_routing::Ending;
use wharfplank_transport::members::{Report, Stage};

const SHORT: Duration = Duration::from_millis(100);

fn far() -> Instant {
    Instant::now() + LONG
}

fn value(report: &Report) -> Option<u8> {
    let answer = report.answer.as_ref()?;
    answer.messages.get(answer.value.clone())?.first().copied()
}

/// One attempt that is served on a connection, which then stands ready.
async fn served(rig: &Rig, peer: &Peer, text: &str) {
    let (_, attempt) = rig.attempt(text, far(), None);
    let attempt = rig.spawn(attempt);
    assert!(peer.asked().await.ends_with(text));
    peer.says(&row(b'0'));
    let report = soon(attempt).await;
    assert_eq!((report.ending, value(&report)), (Ending::Ok, Some(b'0')));
    until(|| rig.member.warm()).await;
}

/// Guards against a break after the last byte that is taken for one before it, and against an error that came in
/// order and is lost with the connection that ends or is reset behind it.
#[test]
fn an_end_after_the_last_byte_may_have_run_unless_the_member_said_otherwise() {
    let half = message(b'T', b"\0\x01payload\0")[..9].to_vec();
    let cases = [
        (Vec::new(), Ending::Reset),
        (half, Ending::Reset),
        (row(b'a')[..60].to_vec(), Ending::Reset),
        (error("XX000"), Ending::Error),
        (error("57P03"), Ending::Error),
        (error("25006"), Ending::Miss),
        (error("53300"), Ending::Full),
    ];
    for (said, ending) in cases {
        for resets in [false, true] {
            let said = said.clone();
            play(Terms::default(), |rig, stand| async move {
                let (stage, attempt) = rig.attempt("1", far(), None);
                let attempt = rig.spawn(attempt);
                let peer = stand.greets().await;
                peer.asked().await;
                assert_eq!(stage.get(), Stage::Written);
                peer.says(&said);
                if resets {
                    peer.resets();
                } else {
                    peer.closes();
                }
                assert_eq!(soon(attempt).await.ending, ending, "resets {resets} after {said:?}");
                assert_eq!(rig.shared.open.get(), 0, "it carries nothing more");
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
            assert_eq!(soon(attempt).await.ending, Ending::Error);
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
            until(|| stage.get() == Stage::Begun).await;
            if resets {
                peer.resets();
                peer.hold(false);
                assert_eq!(soon(attempt).await.ending, Ending::ConnectFailed);
            } else {
                drop(attempt);
                peer.hold(false);
            }
            assert_eq!(peer.hears().await, Heard::End, "it came whole");
            assert_eq!(rig.shared.open.get(), 0);
        });
    }
}

/// Guards against the answer to an attempt that was given up, by its time or by the router, which would be read as
/// the answer to the next one on that connection.
#[test]
fn an_answer_to_what_was_given_up_reaches_nobody() {
    for by_time in [true, false] {
        play(Terms::default(), |rig, stand| async move {
            let (stage, first) = rig.attempt("1", Instant::now() + if by_time { SHORT } else { LONG }, None);
            let first = rig.spawn(first);
            let peer = stand.greets().await;
            peer.asked().await;
            if by_time {
                assert_eq!(soon(first).await.ending, Ending::Timeout);
            } else {
                until(|| stage.get() == Stage::Written).await;
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

/// Guards against what an idle connection says unasked, long after its answer, and that would be read as the next
/// one's: a second copy, or a member's farewell; and against an idle one that has ended.
#[test]
fn an_idle_connection_that_spoke_or_ended_carries_nothing() {
    for said in [row(b'0'), error("57P01"), error("53300"), vec![b'T'], Vec::new()] {
        play(Terms::default(), |rig, stand| async move {
            let (_, first) = rig.attempt("0", far(), None);
            let first = rig.spawn(first);
            let peer = stand.greets().await;
            peer.asked().await;
            peer.says(&row(b'0'));
            soon(first).await;
            until(|| rig.member.warm()).await;
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

/// Guards against a connection that ends in the instant in which it carries a request: what it took may have run, and
/// nothing is sent again unasked.
#[test]
fn a_connection_that_ends_under_its_second_request_is_a_reset() {
    play(Terms::default(), |rig, stand| async move {
        let (_, first) = rig.attempt("0", far(), None);
        let first = rig.spawn(first);
        let peer = stand.greets().await;
        peer.asked().await;
        peer.says(&row(b'0'));
        soon(first).await;
        until(|| rig.member.warm()).await;
        let (_, second) = rig.attempt("2", far(), None);
        let second = rig.spawn(second);
        peer.asked().await;
        peer.resets();
        assert_eq!(soon(second).await.ending, Ending::Reset);
        assert!(stand.none(), "it was sent again");
    });
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
        assert_eq!(soon(first).await.ending, Ending::ConnectFailed);
        assert_eq!(stage.get(), Stage::Waiting);
        assert_eq!(late.hears().await, Heard::End);
        until(|| rig.shared.open.get() == 0).await;
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
        let (_, first) = rig.attempt("0", far(), None);
        let first = rig.spawn(first);
        let peer = stand.greets().await;
        peer.asked().await;
        peer.says(&row(b'0'));
        soon(first).await;
        until(|| rig.member.warm()).await;
        served(&rig, &peer, "1").await;
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
