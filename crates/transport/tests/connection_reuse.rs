//! Tests that attempts do not use connections that received unsolicited bytes, were closed, were opened too
//! late, were idle for too long or lead to a previous address.

mod support;

use std::io::Write;
use std::time::Duration;
use support::*;
use wharfplank_routing::AttemptOutcome;
use wharfplank_transport::member_pool::AttemptStage;

const SHORT: Duration = Duration::from_millis(100);

/// Guards against reading unsolicited bytes on an idle connection as the next response, such as a duplicate
/// response or an error at the member's shutdown, and against using an idle connection that was closed.
#[test]
fn idle_connection_with_input_or_closed_is_not_used() {
    for sent in [row(b'0'), error("57P01"), error("53300"), vec![b'T'], Vec::new()] {
        run_with_pool(PoolSettings::default(), |fixture, member| async move {
            let connection = fixture.idle_connection(&member).await;
            if sent.is_empty() {
                connection.close();
            } else {
                connection.send(&sent);
            }
            fixture.serve_on_new_connection(&member, b'2').await;
            assert_eq!(*fixture.end_reasons.borrow(), ["member_closed"]);
        });
    }
}

/// Guards against using a connection that is established after its connect timeout: it is closed and not
/// counted as open, and the next attempt opens a new one.
#[test]
fn connection_established_after_timeout_is_closed() {
    let settings = PoolSettings { connect_timeout: SHORT, ..PoolSettings::default() };
    run_with_pool(settings, |fixture, member| async move {
        let (stage, first) = fixture.attempt("1");
        let first = fixture.spawn(first);
        let late = member.accept().await;
        assert_eq!(late.receive().await, Received::Startup);
        assert_eq!(expect_soon(first).await.outcome, AttemptOutcome::ConnectFailed);
        assert_eq!(stage.get(), AttemptStage::Queued);
        assert_eq!(late.receive().await, Received::End);
        wait_until(|| fixture.context.open_connections.get() == 0).await;
        // The startup response is ignored.
        let _ = (&late.stream).write_all(&message(b'Z', b"I"));
        fixture.serve_on_new_connection(&member, b'2').await;
        assert_eq!(*fixture.end_reasons.borrow(), ["connect_timeout"]);
    });
}

/// Guards against using a connection that its member is about to close, if the configured idle timeout is
/// shorter than the interval of pool maintenance.
#[test]
fn connection_past_idle_timeout_is_not_used() {
    let settings = PoolSettings { idle_timeout: SHORT, ..PoolSettings::default() };
    run_with_pool(settings, |fixture, member| async move {
        let connection = fixture.idle_connection(&member).await;
        async_io::Timer::after(SHORT).await;
        fixture.serve_on_new_connection(&member, b'2').await;
        assert_eq!(connection.receive().await, Received::End);
        assert_eq!(*fixture.end_reasons.borrow(), ["retired"]);
    });
}

/// Guards against sending to a member's previous address, which another member may use by now. A connection
/// that is established there late is closed, and waiting attempts use the new address.
#[test]
fn connection_to_previous_address_is_not_used() {
    run_with_pool(PoolSettings::default(), |fixture, member| async move {
        let attempt = fixture.spawn_attempt("1");
        let old = member.accept().await;
        let relocated = FakeMember::start();
        fixture.pool.relocate(relocated.address);
        fixture.pool.activate();
        old.complete_startup().await;
        assert_eq!(old.receive().await, Received::End);
        let new = relocated.accept_ready().await;
        assert!(new.receive_statement().await.ends_with("*/ 1"));
        new.send(&row(b'1'));
        assert_eq!(value(&expect_soon(attempt).await), Some(b'1'));
        assert_eq!(*fixture.end_reasons.borrow(), ["moved"]);
        wait_until(|| fixture.context.open_connections.get() == 1).await;
    });
}

/// Guards against a member that completes the startup and closes immediately. A statement written to it would
/// count as possibly executed although the member never received it.
#[test]
fn connection_closed_right_after_startup_is_not_used() {
    for sent in [Vec::new(), error("57P01"), error("53300")] {
        run_with_pool(PoolSettings::default(), |fixture, member| async move {
            let (stage, attempt) = fixture.attempt("1");
            let attempt = fixture.spawn(attempt);
            let connection = member.accept().await;
            assert_eq!(connection.receive().await, Received::Startup);
            connection.send(&[startup_response(), sent].concat());
            connection.close();
            assert_eq!(expect_soon(attempt).await.outcome, AttemptOutcome::ConnectFailed);
            assert_eq!(stage.get(), AttemptStage::Queued, "nothing was written");
            assert_eq!(*fixture.end_reasons.borrow(), ["member_closed"]);
            assert_eq!(fixture.context.open_connections.get(), 0);
        });
    }
}
