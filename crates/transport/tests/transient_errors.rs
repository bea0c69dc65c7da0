//! Which errors of system calls are repeated, and how.

use rstest::rstest;
use rustix::io::Errno;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use wharfplank_transport::socket::open::{retry_connect, MAX_CONNECT_RETRIES};
use wharfplank_transport::socket::transient::{retry_blocking, Remedy, SystemCall};

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// Guards against an error for a moment that ends a connection, a listener or the process's start.
#[rstest]
fn an_interrupted_call_is_repeated_at_once(
    #[values(SystemCall::Transfer, SystemCall::Accept, SystemCall::Open)] call: SystemCall,
) {
    assert_eq!(Remedy::of(call, &error(Errno::INTR)), Remedy::RetryNow);
    assert_eq!(Remedy::of(call, &io::ErrorKind::Interrupted.into()), Remedy::RetryNow);
}

#[rstest]
fn a_call_that_lacked_memory_is_repeated_later(
    #[values(SystemCall::Transfer, SystemCall::Accept, SystemCall::Open)] call: SystemCall,
    #[values(Errno::NOMEM, Errno::NOBUFS)] errno: Errno,
) {
    assert_eq!(Remedy::of(call, &error(errno)), Remedy::RetryLater);
}

#[rstest]
#[case(SystemCall::Accept, Errno::MFILE, Remedy::RetryLater)]
#[case(SystemCall::Accept, Errno::NFILE, Remedy::RetryLater)]
#[case(SystemCall::Accept, Errno::CONNABORTED, Remedy::RetryNow)]
#[case(SystemCall::Accept, Errno::HOSTUNREACH, Remedy::RetryNow)]
#[case(SystemCall::Accept, Errno::BADF, Remedy::GiveUp)]
#[case(SystemCall::Open, Errno::MFILE, Remedy::RetryLater)]
#[case(SystemCall::Open, Errno::ADDRNOTAVAIL, Remedy::RetryLater)]
#[case(SystemCall::Open, Errno::CONNREFUSED, Remedy::GiveUp)]
#[case(SystemCall::Open, Errno::ADDRINUSE, Remedy::GiveUp)]
#[case(SystemCall::Transfer, Errno::CONNRESET, Remedy::GiveUp)]
#[case(SystemCall::Transfer, Errno::TIMEDOUT, Remedy::GiveUp)]
#[case(SystemCall::Transfer, Errno::HOSTUNREACH, Remedy::GiveUp)]
#[case(SystemCall::Transfer, Errno::PIPE, Remedy::GiveUp)]
fn an_error_of_one_call_says_something_else_of_another(
    #[case] call: SystemCall,
    #[case] errno: Errno,
    #[case] remedy: Remedy,
) {
    assert_eq!(Remedy::of(call, &error(errno)), remedy);
}

#[test]
fn a_blocking_call_is_repeated_until_it_succeeds_or_its_time_is_over() {
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
    assert!(permanent.is_err() && calls.get() == 1, "a final error is not repeated");
}

/// Connects with these errors before it succeeds; how often it was tried, and whether it succeeded.
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
fn a_connect_is_repeated_while_its_errors_are_transient() {
    assert_eq!(connect_after(&[Errno::NOBUFS, Errno::INTR, Errno::ADDRNOTAVAIL]), (4, true));
    assert_eq!(connect_after(&[Errno::NOMEM; 10]), (MAX_CONNECT_RETRIES + 1, false));
    for errno in [Errno::CONNREFUSED, Errno::NETUNREACH, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        assert_eq!(connect_after(&[errno]), (1, false), "another member is tried instead");
    }
}
