//! Which errors of system calls are transient: they say nothing about the socket or the other end.

use rustix::io::Errno;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// The pause before a call is repeated that failed for want of a resource.
pub(crate) const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// The kind of system call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// Reading from a socket, writing to it, or looking at what has arrived.
    Transfer,
    /// Accepting a connection.
    Accept,
    /// Creating a socket, binding or connecting it, or registering it with the reactor.
    Open,
}

/// What to do about an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// The call may be repeated at once.
    RetryNow,
    /// A resource of this machine or process is exhausted; the call may succeed after a pause.
    RetryLater,
    /// The error is final.
    GiveUp,
}

impl Remedy {
    /// The remedy for an error of a system call of this kind.
    pub fn of(call: SystemCall, error: &io::Error) -> Remedy {
        match error.raw_os_error().map(Errno::from_raw_os_error) {
            Some(errno) => Self::of_errno(call, errno),
            None if error.kind() == io::ErrorKind::Interrupted => Remedy::RetryNow,
            None => Remedy::GiveUp,
        }
    }

    fn of_errno(call: SystemCall, errno: Errno) -> Remedy {
        match (call, errno) {
            (_, Errno::INTR) => Remedy::RetryNow,
            (_, Errno::NOBUFS | Errno::NOMEM) => Remedy::RetryLater,
            (SystemCall::Accept | SystemCall::Open, Errno::MFILE | Errno::NFILE) => Remedy::RetryLater,
            // No local port is free. On a connect, EAGAIN says the same.
            (SystemCall::Open, Errno::ADDRNOTAVAIL | Errno::AGAIN) => Remedy::RetryLater,
            // Errors of the connection that would have been accepted: the next one may be sound. See accept(2).
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
            ) => Remedy::RetryNow,
            _ => Remedy::GiveUp,
        }
    }
}

/// Whether a call failed because this process, or the machine, has no descriptor left.
pub(crate) fn lacks_descriptors(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE))
}

/// Repeats a blocking call while its errors are transient, for `patience` at the most. It blocks the thread, and is
/// meant for the start of the process.
///
/// # Errors
///
/// Returns the call's last error.
pub fn retry_blocking<T>(
    call: SystemCall,
    patience: Duration,
    mut run: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = Instant::now() + patience;
    loop {
        let error = match run() {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        match Remedy::of(call, &error) {
            Remedy::GiveUp => return Err(error),
            _ if Instant::now() >= deadline => return Err(error),
            Remedy::RetryNow => {}
            Remedy::RetryLater => thread::sleep(RESOURCE_RETRY_DELAY),
        }
    }
}
