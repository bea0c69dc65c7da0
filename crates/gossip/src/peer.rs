//! The identity of a proxy in the membership.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The maximum length of a zone's name, in bytes.
pub const MAX_ZONE_BYTES: usize = 64;

/// The identity of a proxy. Its encoding is part of the protocol between proxies.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// The address that other proxies send to. It stays the same across restarts.
    pub addr: SocketAddrV4,
    /// The zone of the proxy, as named in the endpoint list.
    pub zone: String,
    /// The generation of the process, higher after each restart (for example the start time in milliseconds).
    /// The state and the notes of a newer generation replace those of the previous process.
    pub generation: u64,
}

impl Peer {
    /// Creates a peer. The zone's name is truncated to [`MAX_ZONE_BYTES`] bytes.
    pub fn new(addr: SocketAddrV4, zone: &str, generation: u64) -> Self {
        let mut end = zone.len().min(MAX_ZONE_BYTES);
        while !zone.is_char_boundary(end) {
            end -= 1;
        }
        Peer { addr, zone: zone[..end].to_string(), generation }
    }

    /// Creates the placeholder identity to which a join request is addressed before the peer's identity is
    /// known.
    pub(crate) fn unknown_at(addr: SocketAddrV4) -> Self {
        Peer::new(addr, "", 0)
    }
}

impl Identity for Peer {
    type Addr = SocketAddrV4;

    /// Returns the newer generation as which a proxy rejoins immediately after it was declared down, for
    /// example after a pause.
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
