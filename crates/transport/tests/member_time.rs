//! What an attempt's times mean: they count from the decision, whatever lies between that and the first byte.

mod stand;

use stand::*;
use std::thread;
use std::time::{Duration, Instant};
use wharfplank_routing::AttemptOutcome;

const PAUSE: Duration = Duration::from_millis(150);

/// The time that a statement tells, in milliseconds.
fn told(statement: &str) -> i64 {
    let (_, d) = statement.split_once(",d=").expect("a time");
    d.split(' ').next().and_then(|d| d.parse().ok()).expect("a number")
}

/// Guards against an attempt that tells more than its client has left: a process that stood still between the
/// decision and the first poll of the attempt, and a connection that came up late, both use the time up.
#[test]
fn what_is_told_is_what_is_left() {
    play(Terms::default(), |rig, stand| async move {
        let deadline = Instant::now() + 4 * PAUSE;
        let (_, attempt) = rig.attempt("1", deadline, None);
        // The process stands still.
        thread::sleep(PAUSE);
        let attempt = rig.spawn(attempt);
        let peer = stand.accepts().await;
        async_io::Timer::after(PAUSE).await;
        peer.greets().await;
        let told = told(&peer.asked().await);
        let most = (4 * PAUSE - 2 * PAUSE).as_millis() as i64;
        assert!((1..=most).contains(&told), "{told} of {most} ms at most");
        assert!(Instant::now() < deadline, "the machine was too slow for this test");
        peer.says(&row(b'a'));
        assert_eq!(soon(attempt).await.outcome, AttemptOutcome::Ok);
    });
}

/// Guards against a read that goes out past its bound: the bound's age counts from the decision, too.
#[test]
fn what_held_until_then_is_not_written_later() {
    play(Terms::default(), |rig, stand| async move {
        let (_, first) = rig.attempt("1", Instant::now() + LONG, None);
        let first = rig.spawn(first);
        let peer = stand.greets().await;
        assert!(peer.asked().await.ends_with("*/ 1"));
        peer.says(&row(b'a'));
        assert_eq!(soon(first).await.outcome, AttemptOutcome::Ok);
        until(|| rig.member.has_idle_connection()).await;
        let (_, late) = rig.attempt("2", Instant::now() + LONG, Some(Instant::now() + PAUSE));
        thread::sleep(2 * PAUSE);
        assert_eq!(soon(late).await.outcome, AttemptOutcome::NotSent);
        let (_, third) = rig.attempt("3", Instant::now() + LONG, None);
        let third = rig.spawn(third);
        assert!(peer.asked().await.ends_with("*/ 3"), "the second was never sent");
        peer.says(&row(b'c'));
        assert_eq!(soon(third).await.outcome, AttemptOutcome::Ok);
    });
}

/// Guards against a send that waits for its connection and goes out when its reason, which may be the window in
/// which a repeat is recognised, has ended; and against one that is written after its client's time.
#[test]
fn one_that_waits_for_its_connection_ends_as_never_sent() {
    for deadline in [LONG, PAUSE] {
        play(Terms::default(), |rig, stand| async move {
            let now = Instant::now();
            let holds = (deadline == LONG).then_some(now + PAUSE);
            let (stage, attempt) = rig.attempt("1", now + deadline, holds);
            let attempt = rig.spawn(attempt);
            let peer = stand.accepts().await;
            assert_eq!(soon(attempt).await.outcome, AttemptOutcome::NotSent);
            assert_eq!(stage.get(), Default::default(), "nothing of it was written");
            // Its connection comes up late, and carries the next one.
            peer.greets().await;
            until(|| rig.member.has_idle_connection()).await;
            let (_, next) = rig.attempt("2", Instant::now() + LONG, None);
            let next = rig.spawn(next);
            assert!(peer.asked().await.ends_with("*/ 2"), "the first was never sent");
            peer.says(&row(b'b'));
            assert_eq!(soon(next).await.outcome, AttemptOutcome::Ok);
            assert!(stand.none(), "one connection is enough");
            assert_eq!(rig.shared.open_connections.get(), 1);
        });
    }
}
