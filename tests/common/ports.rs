//! Ports for processes whose port must be known before they start.

use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

/// The ports lie below the ephemeral range, in blocks; the process that listens on the first port of a block
/// owns the others.
const FIRST_PORT: u16 = 10_000;
const BLOCK_COUNT: u64 = 100;
const BLOCK_SIZE: u16 = 200;

/// The ports of this test program that have not been handed out yet.
struct PortAllocator {
    /// The listeners on the first ports of this program's blocks. The last block is the one in use.
    block_owners: Vec<TcpListener>,
    /// The offset of the next port in its block.
    next_offset: u16,
}

impl PortAllocator {
    fn next_port(&mut self) -> u16 {
        if self.block_owners.is_empty() || self.next_offset == BLOCK_SIZE {
            self.block_owners.push(claim_block());
            self.next_offset = 1;
        }
        let owner = self.block_owners.last().expect("a block");
        let port = owner.local_addr().expect("local address").port() + self.next_offset;
        self.next_offset += 1;
        port
    }
}

/// Claims a block that no test program owns.
fn claim_block() -> TcpListener {
    let seed = || RandomState::new().build_hasher().finish();
    let bases = std::iter::repeat_with(|| FIRST_PORT + (seed() % BLOCK_COUNT) as u16 * BLOCK_SIZE);
    bases
        .take(1000)
        .find_map(|base| TcpListener::bind(("127.0.0.1", base)).ok())
        .expect("a free block of ports")
}

/// Returns a port that neither another test nor an outgoing connection gets. No port is returned twice: one
/// whose process has not started yet, or has ended, looks free.
pub fn free_port() -> u16 {
    static ALLOCATOR: Mutex<PortAllocator> =
        Mutex::new(PortAllocator { block_owners: Vec::new(), next_offset: 0 });
    let mut allocator = ALLOCATOR.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let port = allocator.next_port();
        if can_bind(port) {
            return port;
        }
    }
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
