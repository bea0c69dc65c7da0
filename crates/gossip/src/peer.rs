//! The identity of a proxy in the membership.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The most bytes of a zone's name.
pub const MAX_ZONE_BYTES: usize = 64;

/// The identity of a proxy. Its encoding is part of the protocol between proxies.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Where the others send to: the same after a restart.
    pub addr: SocketAddrV4,
    /// Its zone, as the endpoint list names it.
    pub zone: String,
    /// The generation of its process, higher after each restart (the start time in milliseconds will do): its state and
    /// its notes replace those of the process before.
    pub generation: u64,
}

impl Peer {
    /// A peer; a zone's name is truncated to [`MAX_ZONE_BYTES`] bytes.
    pub fn new(addr: SocketAddrV4, zone: &str, generation: u64) -> Self {
        let mut end = zone.len().min(MAX_ZONE_BYTES);
        while !zone.is_char_boundary(end) {
            end -= 1;
        }
        Peer { addr, zone: zone[..end].to_string(), generation }
    }

    /// The identity to which a join request is addressed before the peer's own is known.
    pub(crate) fn unknown_at(addr: SocketAddrV4) -> Self {
        Peer::new(addr, "", 0)
    }
}

impl Identity for Peer {
    type Addr = SocketAddrV4;

    /// Declared down, for instance after a pause, a proxy rejoins as a newer generation at once.
    fn renew(&self) -> Option<Self> {
        Some(Peer { generation: self.generation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.generation > adversary.generation
    }
}
