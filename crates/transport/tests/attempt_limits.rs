//! The time limits of an attempt: they count from the decision, whatever lies between that and the first byte.

mod support;

use std::thread;
use std::time::{Duration, Instant};
use support::*;
use wharfplank_routing::AttemptOutcome;
use wharfplank_transport::member_pool::AttemptLimits;

const PAUSE: Duration = Duration::from_millis(150);

/// The remaining time that a statement states, in milliseconds.
fn stated_timeout(statement: &str) -> i64 {
    let (_, value) = statement.split_once(",d=").expect("a time");
    value.split(' ').next().and_then(|value| value.parse().ok()).expect("a number")
}

/// Guards against an attempt that states more time than its client has left: a process that was suspended between the
/// decision and the first poll of the attempt, and a connection that was opened late, both use the time up.
#[test]
fn an_attempt_states_the_time_that_remains() {
    run_with_pool(PoolSettings::default(), |fixture, member| async move {
        let deadline = Instant::now() + 4 * PAUSE;
        let (_, attempt) = fixture.attempt_within("1", limited_by(deadline));
        // The process is suspended.
        thread::sleep(PAUSE);
        let attempt = fixture.spawn(attempt);
        let connection = member.accept().await;
        async_io::Timer::after(PAUSE).await;
        connection.complete_startup().await;
        let stated = stated_timeout(&connection.receive_statement().await);
        let most = (4 * PAUSE - 2 * PAUSE).as_millis() as i64;
        assert!((1..=most).contains(&stated), "{stated} of {most} ms at most");
        assert!(Instant::now() < deadline, "the machine was too slow for this test");
        connection.send(&row(b'a'));
        assert_eq!(expect_soon(attempt).await.outcome, AttemptOutcome::Ok);
    });
}

/// Guards against a read that is sent past its staleness bound: the bound's age counts from the decision, too.
#[test]
fn an_attempt_is_not_sent_after_its_send_limit() {
    run_with_pool(PoolSettings::default(), |fixture, member| async move {
        let first = fixture.spawn_attempt("1");
        let connection = member.accept_ready().await;
        assert!(connection.receive_statement().await.ends_with("*/ 1"));
        connection.send(&row(b'a'));
        assert_eq!(expect_soon(first).await.outcome, AttemptOutcome::Ok);
        wait_until(|| fixture.pool.has_idle_connection()).await;
        let now = Instant::now();
        let limits = AttemptLimits { deadline: now + LONG, send_by: Some(now + PAUSE) };
        let (_, late) = fixture.attempt_within("2", limits);
        thread::sleep(2 * PAUSE);
        assert_eq!(expect_soon(late).await.outcome, AttemptOutcome::NotSent);
        let third = fixture.spawn_attempt("3");
        assert!(connection.receive_statement().await.ends_with("*/ 3"), "the second was never sent");
        connection.send(&row(b'c'));
        assert_eq!(expect_soon(third).await.outcome, AttemptOutcome::Ok);
    });
}

/// Guards against an attempt that waits for its connection and is sent when its reason, which may be the window in
/// which a repeat is recognised, no longer holds; and against one that is written after its client's deadline.
#[test]
fn an_attempt_that_waits_too_long_for_a_connection_ends_as_not_sent() {
    for timeout in [LONG, PAUSE] {
        run_with_pool(PoolSettings::default(), |fixture, member| async move {
            let now = Instant::now();
            let send_by = (timeout == LONG).then_some(now + PAUSE);
            let limits = AttemptLimits { deadline: now + timeout, send_by };
            let (stage, attempt) = fixture.attempt_within("1", limits);
            let attempt = fixture.spawn(attempt);
            let connection = member.accept().await;
            assert_eq!(expect_soon(attempt).await.outcome, AttemptOutcome::NotSent);
            assert_eq!(stage.get(), Default::default(), "nothing of it was written");
            // Its connection is established late, and carries the next one.
            connection.complete_startup().await;
            wait_until(|| fixture.pool.has_idle_connection()).await;
            let next = fixture.spawn_attempt("2");
            assert!(connection.receive_statement().await.ends_with("*/ 2"), "the first was never sent");
            connection.send(&row(b'b'));
            assert_eq!(expect_soon(next).await.outcome, AttemptOutcome::Ok);
            assert!(member.has_no_new_connection(), "one connection is enough");
            assert_eq!(fixture.context.open_connections.get(), 1);
        });
    }
}
