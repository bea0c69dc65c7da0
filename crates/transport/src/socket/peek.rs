//! What can be seen of a non-blocking socket without reading from it.

use super::transient::{Remedy, SystemCall};
use std::io::{self, ErrorKind};
use std::net::TcpStream;

/// How often a look is tried whose errors are transient.
const MAX_LOOKS: usize = 8;

/// Whether the connection is open and nothing has arrived on it.
pub(crate) fn is_quiet(stream: &TcpStream) -> bool {
    matches!(peek(stream), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Whether something has arrived that was not read yet.
pub(crate) fn has_unread_bytes(stream: &TcpStream) -> bool {
    matches!(peek(stream), Ok(1..))
}

/// Whether the other end has closed or reset the connection, and nothing is left to read.
pub(crate) fn has_ended(stream: &TcpStream) -> bool {
    match peek(stream) {
        Ok(count) => count == 0,
        Err(error) if error.kind() == ErrorKind::WouldBlock => false,
        Err(error) => !is_transient(&error),
    }
}

/// The number of bytes that have arrived, at most 1; 0 at the end of the connection. Nobody waits here for a resource that
/// is exhausted, so the look is only repeated a few times.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    for _ in 1..MAX_LOOKS {
        match stream.peek(&mut [0]) {
            Err(error) if is_transient(&error) => {}
            result => return result,
        }
    }
    stream.peek(&mut [0])
}

fn is_transient(error: &io::Error) -> bool {
    error.kind() != ErrorKind::WouldBlock && Remedy::of(SystemCall::Transfer, error) != Remedy::GiveUp
}
