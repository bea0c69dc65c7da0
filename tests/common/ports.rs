//! Ports for processes that are started with the number of one.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::LazyLock;

/// A port that was free a moment ago, and below those that the machine gives to connections: one of these may take it
/// before a process listens there.
pub fn free_port() -> u16 {
    static NEXT: LazyLock<AtomicUsize> =
        LazyLock::new(|| AtomicUsize::new(RandomState::new().build_hasher().finish() as usize % 20_000));
    let ports = std::iter::repeat_with(|| 10_000 + (NEXT.fetch_add(1, Ordering::Relaxed) % 20_000) as u16);
    ports.take(1000).find(|port| TcpListener::bind(("127.0.0.1", *port)).is_ok()).expect("a port")
}
