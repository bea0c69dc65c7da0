//! How much of its state a proxy sends, and how often.

use crate::store::MAX_ENTRIES;
use crate::Micros;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The configuration of a [`SharedState`](super::SharedState).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedStateConfig {
    /// The number of bytes per second that the proxy may send: half for rumours, half for anti-entropy.
    pub bytes_per_second: u64,
    /// The mean time between exchanges with a random peer while no differences are found, in microseconds.
    pub exchange_interval: Micros,
    /// The maximum number of entries in the store.
    pub max_entries: usize,
    /// The address by which peers know this proxy.
    pub local_address: SocketAddrV4,
}

impl Default for SharedStateConfig {
    fn default() -> Self {
        SharedStateConfig {
            bytes_per_second: 16_384,
            exchange_interval: 2_000_000,
            max_entries: MAX_ENTRIES,
            local_address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
        }
    }
}
