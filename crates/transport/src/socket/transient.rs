//! Classification of system call errors. Transient errors are not caused by the socket or the peer.

use rustix::io::Errno;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// The delay before a call is retried that failed because a resource was exhausted.
pub(crate) const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The kind of system call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// Reading from, writing to or peeking at a socket.
    Transfer,
    /// Accepting a connection.
    Accept,
    /// Creating a socket, binding or connecting it, or registering it with the reactor.
    Open,
}

/// Whether and when to retry a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The call may be retried immediately.
    RetryNow,
    /// A resource of this machine or process is exhausted; the call may succeed after a delay.
    RetryLater,
    /// The error is final.
    GiveUp,
}

impl RetryDecision {
    /// Returns the decision for an error of a system call of this kind.
    pub fn of(call: SystemCall, error: &io::Error) -> RetryDecision {
        match error.raw_os_error().map(Errno::from_raw_os_error) {
            Some(errno) => Self::of_errno(call, errno),
            None if error.kind() == io::ErrorKind::Interrupted => RetryDecision::RetryNow,
            None => RetryDecision::GiveUp,
        }
    }

    fn of_errno(call: SystemCall, errno: Errno) -> RetryDecision {
        match (call, errno) {
            (_, Errno::INTR) => RetryDecision::RetryNow,
            (_, Errno::NOBUFS | Errno::NOMEM) => RetryDecision::RetryLater,
            (SystemCall::Accept | SystemCall::Open, Errno::MFILE | Errno::NFILE) => RetryDecision::RetryLater,
            // No local port is free. On connect, EAGAIN has the same meaning.
            (SystemCall::Open, Errno::ADDRNOTAVAIL | Errno::AGAIN) => RetryDecision::RetryLater,
            // Errors of the connection that was to be accepted; the next one may succeed. See accept(2).
            (
                SystemCall::Accept,
                Errno::CONNABORTED
                | Errno::PROTO
                | Errno::PERM
                | Errno::NETDOWN
                | Errno::NETUNREACH
                | Errno::HOSTDOWN
                | Errno::HOSTUNREACH
                | Errno::NONET
                | Errno::NOPROTOOPT
                | Errno::OPNOTSUPP
                | Errno::TIMEDOUT,
            ) => RetryDecision::RetryNow,
            _ => RetryDecision::GiveUp,
        }
    }
}

/// Returns whether a call failed because the process or the machine has run out of file descriptors.
pub(crate) fn is_out_of_descriptors(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE))
}

/// Runs a blocking call, retrying transient errors for up to `timeout`. Blocks the thread, and is intended
/// for process startup only.
///
/// # Errors
///
/// Returns the call's last error.
pub fn retry_blocking<T>(
    call: SystemCall,
    timeout: Duration,
    mut run: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = Instant::now() + timeout;
    loop {
        let error = match run() {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        match RetryDecision::of(call, &error) {
            RetryDecision::GiveUp => return Err(error),
            _ if Instant::now() >= deadline => return Err(error),
            RetryDecision::RetryNow => {}
            RetryDecision::RetryLater => thread::sleep(RESOURCE_RETRY_DELAY),
        }
    }
}
