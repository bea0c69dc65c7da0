//! Datagrams and traffic counters.

use std::net::SocketAddrV4;

/// Counters of datagrams and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of datagrams.
    pub datagrams: u64,
    /// The total size of the datagrams, in bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Counts a datagram.
    pub(crate) fn count(&mut self, datagram: &[u8]) {
        self.datagrams += 1;
        self.bytes += datagram.len() as u64;
    }
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The destination address.
    pub to: SocketAddrV4,
    /// The payload.
    pub payload: Vec<u8>,
}
