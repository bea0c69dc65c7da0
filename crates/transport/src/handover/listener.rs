//! Listening sockets.

use crate::socket::open;
use async_io::Async;
use rustix::net::{socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// The maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Listens on an address that no other process listens on.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    open::retry_at_start(|| TcpListener::bind(address).and_then(Async::new))
}

/// Listens on an address that may be shared with another process, one that did not hand over its own socket.
pub fn listen_shared(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    open::retry_at_start(|| try_listen_shared(address))
}

fn try_listen_shared(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    rustix::net::listen(&socket, BACKLOG)?;
    Async::new(TcpListener::from(socket))
}
