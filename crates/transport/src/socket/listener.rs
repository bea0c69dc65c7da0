//! Listening sockets. Binding reserves the address; clients can connect only once the socket listens.

use super::open::retry_at_start;
use async_io::Async;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// The maximum number of connections that the operating system queues for a listener, and therefore of those
/// that are accepted when it closes.
pub const BACKLOG: usize = 4096;

/// Whether several processes may listen on an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddressUse {
    /// One process only.
    Exclusive,
    /// Also a process that did not hand over its own socket.
    Shared,
}

/// A socket that is bound to an address but does not listen yet: connections to it are refused.
#[derive(Debug)]
pub struct BoundSocket(Socket);

impl BoundSocket {
    /// Binds a socket to an address at process startup, retrying transient errors.
    ///
    /// # Errors
    ///
    /// Returns the first error that is not transient, or the last error when the time limit passes.
    pub fn bind(address: SocketAddr, address_use: AddressUse) -> io::Result<BoundSocket> {
        retry_at_start(|| try_bind(address, address_use)).map(BoundSocket)
    }

    /// Starts to listen, retrying transient errors.
    ///
    /// # Errors
    ///
    /// Returns the first error that is not transient, or the last error when the time limit passes.
    pub fn listen(self) -> io::Result<Async<TcpListener>> {
        retry_at_start(|| self.0.listen(BACKLOG as i32))?;
        Async::new(TcpListener::from(self.0))
    }
}

fn try_bind(address: SocketAddr, address_use: AddressUse) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    if address_use == AddressUse::Shared {
        socket.set_reuse_port(true)?;
    }
    socket.bind(&address.into())?;
    Ok(socket)
}
