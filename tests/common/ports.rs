//! Ports for processes that are started with the number of one.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::LazyLock;

/// Ports below those that the machine gives to connections, in blocks; who listens at the first of one has the others.
const FROM: u16 = 10_000;
const BLOCKS: u64 = 100;
const BLOCK: u16 = 200;

/// A port that nobody else is given, neither another test nor a connection.
pub fn free_port() -> u16 {
    static OWN: LazyLock<TcpListener> = LazyLock::new(|| {
        let seed = || RandomState::new().build_hasher().finish();
        let bases = std::iter::repeat_with(|| FROM + (seed() % BLOCKS) as u16 * BLOCK);
        bases.take(1000).find_map(|base| TcpListener::bind(("127.0.0.1", base)).ok()).expect("a block")
    });
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = OWN.local_addr().expect("an address").port();
    let ports = std::iter::repeat_with(|| base + 1 + NEXT.fetch_add(1, Ordering::Relaxed) % (BLOCK - 1));
    ports.take(1000).find(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok()).expect("a port")
}
