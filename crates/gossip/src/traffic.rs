//! Datagrams, and counts of them.

use std::net::SocketAddrV4;

/// Counts of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes.
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
    /// Where it goes to.
    pub to: SocketAddrV4,
    /// What it carries.
    pub payload: Vec<u8>,
}
