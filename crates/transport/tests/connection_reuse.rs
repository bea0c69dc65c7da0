//! Which connections carry an attempt: not those that sent something without a request, ended, were opened too late,
//! were idle for too long or lead to a former address.

mod support;

use std::io::Write;
use std::time::Duration;
use support::*;
use wharfplank_routing::AttemptOutcome;
use wharfplank_transport::member_pool::AttemptStage;

const SHORT: Duration = Duration::from_millis(100);

/// Guards against what a member sends on an idle connection, long after its response, and that would be read as the
/// next one's: a duplicate, or an error at its shutdown; and against an idle connection that has ended.
#[test]
fn an_idle_connection_with_unsolicited_bytes_or_an_end_carries_nothing() {
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

/// Guards against a connection that is established after its attempt ended with it: it is closed, holds no place, and
/// carries nothing; the next one does.
#[test]
fn a_connection_established_after_the_timeout_is_closed() {
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
        // Its startup response reaches nobody.
        let _ = (&late.stream).write_all(&message(b'Z', b"I"));
        fixture.serve_on_new_connection(&member, b'2').await;
        assert_eq!(*fixture.end_reasons.borrow(), ["connect_timeout"]);
    });
}

/// Guards against a connection that its member is about to close: where the settings have members close sooner than
/// a pool is maintained, one that was idle for its time carries nothing more.
#[test]
fn a_connection_past_its_idle_timeout_is_not_used() {
    let settings = PoolSettings { idle_timeout: SHORT, ..PoolSettings::default() };
    run_with_pool(settings, |fixture, member| async move {
        let connection = fixture.idle_connection(&member).await;
        async_io::Timer::after(SHORT).await;
        fixture.serve_on_new_connection(&member, b'2').await;
        assert_eq!(connection.receive().await, Received::End);
        assert_eq!(*fixture.end_reasons.borrow(), ["retired"]);
    });
}

/// Guards against a member that was relocated and is still sent to at its old address, where another may listen by
/// now: a connection that is established there late is closed, and what waits goes to the new address.
#[test]
fn a_connection_to_a_former_address_carries_nothing() {
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

/// Guards against a member that completes the startup and closes at once: what is written to it then would count as
/// something that may have run, though nobody was there to take it.
#[test]
fn a_connection_that_ends_right_after_the_startup_carries_nothing() {
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
