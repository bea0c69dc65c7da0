//! Tests of the time limits of an attempt, which are relative to the routing decision.

mod support;

use std::thread;
use std::time::{Duration, Instant};
use support::*;
use wharfplank_routing::AttemptOutcome;
use wharfplank_transport::member_pool::AttemptLimits;

const PAUSE: Duration = Duration::from_millis(150);

/// Returns the remaining time in a statement, in milliseconds.
fn remaining_ms(statement: &str) -> i64 {
    let (_, value) = statement.split_once(",d=").expect("a `d` field in the comment");
    value.split(' ').next().and_then(|value| value.parse().ok()).expect("a number of milliseconds")
}

/// Guards against sending more remaining time than the client has left. The suspension of the process between
/// the decision and the first poll of the attempt counts, and so does the opening of a connection.
#[test]
fn remaining_time_counts_from_decision() {
    run_with_pool(PoolSettings::default(), |fixture, member| async move {
        let deadline = Instant::now() + 4 * PAUSE;
        let (_, attempt) = fixture.attempt_within("1", limited_by(deadline));
        // Simulates a suspended process.
        thread::sleep(PAUSE);
        let attempt = fixture.spawn(attempt);
        let connection = member.accept().await;
        async_io::Timer::after(PAUSE).await;
        connection.complete_startup().await;
        let remaining = remaining_ms(&connection.receive_statement().await);
        let most = (4 * PAUSE - 2 * PAUSE).as_millis() as i64;
        assert!((1..=most).contains(&remaining), "{remaining} ms stated, at most {most} ms expected");
        assert!(Instant::now() < deadline, "the machine was too slow for this test");
        connection.send(&row(b'a'));
        assert_eq!(expect_soon(attempt).await.outcome, AttemptOutcome::Ok);
    });
}

/// Guards against sending a read after its staleness bound has expired, which is also relative to the
/// decision.
#[test]
fn attempt_is_not_sent_after_send_by() {
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
        assert!(connection.receive_statement().await.ends_with("*/ 3"), "the second attempt was never sent");
        connection.send(&row(b'c'));
        assert_eq!(expect_soon(third).await.outcome, AttemptOutcome::Ok);
    });
}

/// Guards against sending an attempt that waited for its connection until the conditions of its decision,
/// such as the deduplication window of a repeat, no longer hold; and against sending one after its client's
/// deadline.
#[test]
fn long_wait_for_connection_ends_as_not_sent() {
    for timeout in [LONG, PAUSE] {
        run_with_pool(PoolSettings::default(), |fixture, member| async move {
            let now = Instant::now();
            let send_by = (timeout == LONG).then_some(now + PAUSE);
            let limits = AttemptLimits { deadline: now + timeout, send_by };
            let (stage, attempt) = fixture.attempt_within("1", limits);
            let attempt = fixture.spawn(attempt);
            let connection = member.accept().await;
            assert_eq!(expect_soon(attempt).await.outcome, AttemptOutcome::NotSent);
            assert_eq!(stage.get(), Default::default(), "nothing was written");
            // The connection is established late and carries the next attempt.
            connection.complete_startup().await;
            wait_until(|| fixture.pool.has_idle_connection()).await;
            let next = fixture.spawn_attempt("2");
            assert!(
                connection.receive_statement().await.ends_with("*/ 2"),
                "the first attempt was never sent"
            );
            connection.send(&row(b'b'));
            assert_eq!(expect_soon(next).await.outcome, AttemptOutcome::Ok);
            assert!(member.has_no_new_connection(), "one connection is enough");
            assert_eq!(fixture.context.open_connections.get(), 1);
        });
    }
}
