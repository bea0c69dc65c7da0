//! The outcome of attempts whose connection breaks, or on which the member sends too much, at the wrong instant.

mod support;

use std::io::Write;
use std::time::{Duration, Instant};
use support::*;
use wharfplank_routing::AttemptOutcome;
use wharfplank_transport::member_pool::AttemptStage;

/// Enough for a connection to be established on a busy machine.
const SHORT_DEADLINE: Duration = Duration::from_secs(2);

/// Guards against a break after the last byte that is taken for one before it, and against an error that came in
/// order and is lost with the connection that is closed or reset behind it.
#[test]
fn an_end_after_the_last_byte_may_have_run_unless_the_member_said_otherwise() {
    let half_message = message(b'T', b"\0\x01payload\0")[..9].to_vec();
    let cases = [
        (Vec::new(), AttemptOutcome::Reset),
        (half_message, AttemptOutcome::Reset),
        (row(b'a')[..60].to_vec(), AttemptOutcome::Reset),
        (error("XX000"), AttemptOutcome::Error),
        (error("57P03"), AttemptOutcome::Error),
        (error("25006"), AttemptOutcome::Misrouted),
        (error("53300"), AttemptOutcome::Overloaded),
    ];
    for (response, outcome) in cases {
        for resets in [false, true] {
            let response = response.clone();
            run_with_pool(PoolSettings::default(), |fixture, member| async move {
                let (stage, attempt) = fixture.attempt("1");
                let attempt = fixture.spawn(attempt);
                let connection = member.accept_ready().await;
                connection.receive_statement().await;
                assert_eq!(stage.get(), AttemptStage::Written);
                connection.send(&response);
                if resets {
                    connection.reset();
                } else {
                    connection.close();
                }
                let ended = expect_soon(attempt).await.outcome;
                assert_eq!(ended, outcome, "resets {resets} after {response:?}");
                assert_eq!(fixture.context.open_connections.get(), 0, "it carries nothing more");
            });
        }
    }
}

/// Guards against half a response that is waited for to the deadline: it stalls and ends as an error.
#[test]
fn half_a_response_that_stalls_is_an_error() {
    for length in [1, 9, 60] {
        run_with_pool(PoolSettings::default(), |fixture, member| async move {
            let attempt = fixture.spawn_attempt("1");
            let connection = member.accept_ready().await;
            connection.receive_statement().await;
            connection.send(&row(b'a')[..length]);
            assert_eq!(expect_soon(attempt).await.outcome, AttemptOutcome::Error);
            let received = connection.receive().await;
            assert_eq!(received, Received::End, "its rest would be read as the next response");
            assert_eq!(*fixture.end_reasons.borrow(), ["stalled"]);
        });
    }
}

/// Guards against a statement that was never complete and is taken for one that may have run: a reset, or the proxy's
/// own close, between its first byte and its last.
#[test]
fn an_incomplete_statement_never_ran() {
    let long = "x".repeat(32 << 20);
    for resets in [true, false] {
        let long = long.clone();
        run_with_pool(PoolSettings::default(), |fixture, member| async move {
            let (stage, attempt) = fixture.attempt(&long);
            let attempt = fixture.spawn(attempt);
            let connection = member.accept().await;
            connection.stop_reading();
            connection.complete_startup().await;
            wait_until(|| stage.get() == AttemptStage::Writing).await;
            if resets {
                connection.reset();
                connection.resume_reading();
                assert_eq!(expect_soon(attempt).await.outcome, AttemptOutcome::ConnectFailed);
            } else {
                drop(attempt);
                connection.resume_reading();
            }
            assert_eq!(connection.receive().await, Received::End, "it came completely");
            assert_eq!(fixture.context.open_connections.get(), 0);
        });
    }
}

/// Guards against the response to an attempt that was given up, by its deadline or by the router, which would be read
/// as the response to the next one on that connection.
#[test]
fn a_response_to_an_abandoned_attempt_reaches_nobody() {
    for by_deadline in [true, false] {
        run_with_pool(PoolSettings::default(), |fixture, member| async move {
            let timeout = if by_deadline { SHORT_DEADLINE } else { LONG };
            let (stage, first) = fixture.attempt_within("1", limited_by(Instant::now() + timeout));
            let first = fixture.spawn(first);
            let connection = member.accept_ready().await;
            connection.receive_statement().await;
            if by_deadline {
                assert_eq!(expect_soon(first).await.outcome, AttemptOutcome::Timeout);
            } else {
                wait_until(|| stage.get() == AttemptStage::Written).await;
                drop(first);
            }
            let second = fixture.spawn_attempt("2");
            assert_eq!(connection.receive().await, Received::End);
            // Nobody takes it any more.
            let _ = (&connection.stream).write_all(&row(b'1'));
            let other = member.accept_ready().await;
            assert!(other.receive_statement().await.ends_with("*/ 2"));
            other.send(&row(b'2'));
            assert_eq!(value(&expect_soon(second).await), Some(b'2'));
        });
    }
}

/// Guards against a connection that ends in the instant in which it carries a request: what it took may have run, and
/// nothing is sent again unasked.
#[test]
fn a_connection_that_ends_under_its_second_request_is_a_reset() {
    run_with_pool(PoolSettings::default(), |fixture, member| async move {
        let connection = fixture.idle_connection(&member).await;
        let second = fixture.spawn_attempt("2");
        connection.receive_statement().await;
        connection.reset();
        assert_eq!(expect_soon(second).await.outcome, AttemptOutcome::Reset);
        assert!(member.has_no_new_connection(), "it was sent again");
    });
}
