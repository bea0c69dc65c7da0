//! What can be seen of a non-blocking socket without reading from it.

use std::io::ErrorKind;
use std::net::TcpStream;

/// Whether the connection is open and nothing has arrived on it.
pub(crate) fn is_quiet(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Whether something has arrived that was not read yet.
pub(crate) fn has_unread_bytes(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Ok(1..))
}

/// Whether the other end has closed or reset the connection, and nothing is left to read.
pub(crate) fn has_ended(stream: &TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}
