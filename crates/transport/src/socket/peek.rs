//! Inspection of a non-blocking socket without consuming input.

use super::transient::{RetryDecision, SystemCall};
use std::io::{self, ErrorKind};
use std::net::TcpStream;

/// The maximum number of tries of a peek that fails with transient errors.
const MAX_PEEKS: usize = 8;

/// Returns whether the connection is open and has no unread input.
pub(crate) fn is_idle(stream: &TcpStream) -> bool {
    matches!(peek(stream), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Returns whether the connection has unread input.
pub(crate) fn has_unread_bytes(stream: &TcpStream) -> bool {
    matches!(peek(stream), Ok(1..))
}

/// Returns whether the peer has closed or reset the connection and no unread input is left.
pub(crate) fn has_ended(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(count) => count == 0,
        Err(error) if error.kind() == ErrorKind::WouldBlock => false,
        Err(error) => !is_transient(&error),
    }
}

/// Returns the number of unread bytes, at most 1, or 0 at the end of the connection. Cannot wait for an
/// exhausted resource, so transient errors are retried only a few times.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    for _ in 1..MAX_PEEKS {
        match stream.peek(&mut [0]) {
            Err(error) if is_transient(&error) => {}
            result => return result,
        }
    }
    stream.peek(&mut [0])
}

fn is_transient(error: &io::Error) -> bool {
    error.kind() != ErrorKind::WouldBlock
        && RetryDecision::of(SystemCall::Transfer, error) != RetryDecision::GiveUp
}
