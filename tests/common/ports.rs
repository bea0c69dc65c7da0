//! Ports for processes whose port must be known before they start.

use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::LazyLock;

/// The ports lie below the ephemeral range, in blocks; the process that listens on the first port of a block
/// owns the others.
const FIRST_PORT: u16 = 10_000;
const BLOCK_COUNT: u64 = 100;
const BLOCK_SIZE: u16 = 200;

/// Returns a port that neither another test nor an outgoing connection gets.
pub fn free_port() -> u16 {
    static BLOCK_OWNER: LazyLock<TcpListener> = LazyLock::new(|| {
        let seed = || RandomState::new().build_hasher().finish();
        let bases = std::iter::repeat_with(|| FIRST_PORT + (seed() % BLOCK_COUNT) as u16 * BLOCK_SIZE);
        bases
            .take(1000)
            .find_map(|base| TcpListener::bind(("127.0.0.1", base)).ok())
            .expect("a free block of ports")
    });
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = BLOCK_OWNER.local_addr().expect("local address").port();
    let ports = std::iter::repeat_with(|| base + 1 + NEXT.fetch_add(1, Ordering::Relaxed) % (BLOCK_SIZE - 1));
    ports.take(1000).find(|port| can_bind(*port)).expect("a free port")
}

/// Returns whether a port can be listened on. The check itself does not listen: a child process that another
/// thread forks meanwhile has a copy of the socket until it executes its program, and a copy that listens
/// would accept connections and keep the port in use.
fn can_bind(port: u16) -> bool {
    let socket =
        rustix::net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None)
            .expect("a socket");
    sockopt::set_socket_reuseaddr(&socket, true).expect("set SO_REUSEADDR");
    rustix::net::bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, port))).is_ok()
}
