//! What can be seen of a non-blocking socket without reading from it.

use super::transient::{Remedy, SystemCall};
use std::io::{self, ErrorKind};
use std::net::TcpStream;

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
        Err(error) => Remedy::of(SystemCall::Transfer, &error) == Remedy::GiveUp,
    }
}

/// The number of bytes that have arrived, at most 1; 0 at the end of the connection.
fn peek(stream: &TcpStream) -> io::Result<usize> {
    loop {
        match stream.peek(&mut [0]) {
            Err(error) if Remedy::of(SystemCall::Transfer, &error) == Remedy::RetryNow => {}
            result => return result,
        }
    }
}
