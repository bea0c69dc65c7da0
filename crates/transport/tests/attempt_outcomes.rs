//! Tests of attempt outcomes when the connection fails or the member's response is incomplete or late.

mod support;

use std::io::Write;
use std::time::{Duration, Instant};
use support::*;
use wharfplank_routing::AttemptOutcome;
use wharfplank_transport::member_pool::AttemptStage;

/// Long enough to establish a connection on a busy machine.
const SHORT_DEADLINE: Duration = Duration::from_secs(2);

/// Guards against classifying a disconnect after the statement's last byte as one before it, and against
/// losing an error response when the connection is closed or reset after it.
#[test]
fn disconnect_after_last_byte_keeps_received_error() {
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
                assert_eq!(fixture.context.open_connections.get(), 0, "the connection is not reused");
            });
        }
    }
}

/// Guards against waiting for the rest of a stalled response until the deadline: the attempt ends as an
/// error.
#[test]
fn stalled_response_is_an_error() {
    for length in [1, 9, 60] {
        run_with_pool(PoolSettings::default(), |fixture, member| async move {
            let attempt = fixture.spawn_attempt("1");
            let connection = member.accept_ready().await;
            connection.receive_statement().await;
            connection.send(&row(b'a')[..length]);
            assert_eq!(expect_soon(attempt).await.outcome, AttemptOutcome::Error);
            let received = connection.receive().await;
            assert_eq!(received, Received::End, "the rest would be read as the next response");
            assert_eq!(*fixture.end_reasons.borrow(), ["stalled"]);
        });
    }
}

/// Guards against treating an incompletely sent statement as possibly executed, after a reset or a close by
/// the proxy between its first and last byte.
#[test]
fn incomplete_statement_is_not_executed() {
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
            assert_eq!(connection.receive().await, Received::End, "the statement was received completely");
            assert_eq!(fixture.context.open_connections.get(), 0);
        });
    }
}

/// Guards against reading the response to an attempt that was abandoned at its deadline or by the router as
/// the response to the next attempt on the connection.
#[test]
fn response_to_abandoned_attempt_is_discarded() {
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
            // The write may fail, since the proxy has closed the connection.
            let _ = (&connection.stream).write_all(&row(b'1'));
            let other = member.accept_ready().await;
            assert!(other.receive_statement().await.ends_with("*/ 2"));
            other.send(&row(b'2'));
            assert_eq!(value(&expect_soon(second).await), Some(b'2'));
        });
    }
}

/// Guards against resending a request whose connection is reset while it is in flight, since it may have been
/// executed.
#[test]
fn reset_during_second_request_is_not_resent() {
    run_with_pool(PoolSettings::default(), |fixture, member| async move {
        let connection = fixture.idle_connection(&member).await;
        let second = fixture.spawn_attempt("2");
        connection.receive_statement().await;
        connection.reset();
        assert_eq!(expect_soon(second).await.outcome, AttemptOutcome::Reset);
        assert!(member.has_no_new_connection(), "the request was sent again");
    });
}
