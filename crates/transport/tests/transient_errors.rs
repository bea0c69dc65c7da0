//! Tests of the retries of failed system calls.

use rstest::rstest;
use rustix::io::Errno;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use wharfplank_transport::socket::open::{retry_connect, MAX_CONNECT_RETRIES};
use wharfplank_transport::socket::transient::{retry_blocking, RetryDecision, SystemCall};

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// Guards against a transient error that ends a connection, a listener or the startup of the process.
#[rstest]
fn interrupted_call_is_retried_immediately(
    #[values(SystemCall::Transfer, SystemCall::Accept, SystemCall::Open)] call: SystemCall,
) {
    assert_eq!(RetryDecision::of(call, &error(Errno::INTR)), RetryDecision::RetryNow);
    assert_eq!(RetryDecision::of(call, &io::ErrorKind::Interrupted.into()), RetryDecision::RetryNow);
}

#[rstest]
fn call_out_of_memory_is_retried_later(
    #[values(SystemCall::Transfer, SystemCall::Accept, SystemCall::Open)] call: SystemCall,
    #[values(Errno::NOMEM, Errno::NOBUFS)] errno: Errno,
) {
    assert_eq!(RetryDecision::of(call, &error(errno)), RetryDecision::RetryLater);
}

#[rstest]
#[case(SystemCall::Accept, Errno::MFILE, RetryDecision::RetryLater)]
#[case(SystemCall::Accept, Errno::NFILE, RetryDecision::RetryLater)]
#[case(SystemCall::Accept, Errno::CONNABORTED, RetryDecision::RetryNow)]
#[case(SystemCall::Accept, Errno::HOSTUNREACH, RetryDecision::RetryNow)]
#[case(SystemCall::Accept, Errno::BADF, RetryDecision::GiveUp)]
#[case(SystemCall::Open, Errno::MFILE, RetryDecision::RetryLater)]
#[case(SystemCall::Open, Errno::ADDRNOTAVAIL, RetryDecision::RetryLater)]
#[case(SystemCall::Open, Errno::CONNREFUSED, RetryDecision::GiveUp)]
#[case(SystemCall::Open, Errno::ADDRINUSE, RetryDecision::GiveUp)]
#[case(SystemCall::Transfer, Errno::CONNRESET, RetryDecision::GiveUp)]
#[case(SystemCall::Transfer, Errno::TIMEDOUT, RetryDecision::GiveUp)]
#[case(SystemCall::Transfer, Errno::HOSTUNREACH, RetryDecision::GiveUp)]
#[case(SystemCall::Transfer, Errno::PIPE, RetryDecision::GiveUp)]
fn decision_depends_on_call(#[case] call: SystemCall, #[case] errno: Errno, #[case] decision: RetryDecision) {
    assert_eq!(RetryDecision::of(call, &error(errno)), decision);
}

#[test]
fn blocking_call_is_retried_until_success_or_timeout() {
    let calls = Cell::new(0);
    let succeeds_third = || {
        calls.set(calls.get() + 1);
        if calls.get() < 3 {
            Err(error(Errno::NOMEM))
        } else {
            Ok(calls.get())
        }
    };
    assert_eq!(retry_blocking(SystemCall::Open, Duration::from_secs(30), succeeds_third).ok(), Some(3));
    let lasting = retry_blocking(SystemCall::Open, Duration::ZERO, || Err::<(), _>(error(Errno::NFILE)));
    assert_eq!(lasting.err().and_then(|error| error.raw_os_error()), Some(Errno::NFILE.raw_os_error()));
    calls.set(0);
    let permanent = retry_blocking(SystemCall::Open, Duration::from_secs(30), || {
        calls.set(calls.get() + 1);
        Err::<(), _>(error(Errno::ADDRINUSE))
    });
    assert!(permanent.is_err() && calls.get() == 1, "a final error is not retried");
}

/// Runs a connect that fails with these errors before it succeeds. Returns the number of tries and whether it
/// succeeded.
fn connect_after(errors: &[Errno]) -> (usize, bool) {
    let tries = Cell::new(0);
    let connect = || {
        let failure = errors.get(tries.get()).copied().map(error);
        tries.set(tries.get() + 1);
        std::future::ready(failure.map_or(Ok(()), Err))
    };
    let is_connected = async_io::block_on(retry_connect(connect)).is_ok();
    (tries.get(), is_connected)
}

#[test]
fn connect_is_retried_on_transient_errors() {
    assert_eq!(connect_after(&[Errno::NOBUFS, Errno::INTR, Errno::ADDRNOTAVAIL]), (4, true));
    assert_eq!(connect_after(&[Errno::NOMEM; 10]), (MAX_CONNECT_RETRIES + 1, false));
    for errno in [Errno::CONNREFUSED, Errno::NETUNREACH, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        assert_eq!(connect_after(&[errno]), (1, false), "no retry, so that another member can be tried");
    }
}
