//! Reports of ended connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// The kind of peer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remote<'a> {
    /// A client.
    Client,
    /// The member with this name.
    Member(&'a str),
    /// The discovery service.
    Discovery,
}

impl<'a> Remote<'a> {
    /// Returns the kind of peer, as logged.
    pub fn kind(&self) -> &'static str {
        match self {
            Remote::Client => "client",
            Remote::Member(_) => "member",
            Remote::Discovery => "discovery",
        }
    }

    /// Returns the member's name, if the peer is a member.
    pub fn member_name(&self) -> Option<&'a str> {
        match self {
            Remote::Member(name) => Some(name),
            Remote::Client | Remote::Discovery => None,
        }
    }
}

/// A connection that ended, as logged.
#[derive(Debug)]
pub struct ConnectionEnd<'a> {
    /// The peer of the connection.
    pub remote: Remote<'a>,
    /// The address of the peer.
    pub address: SocketAddr,
    /// The code of the end reason.
    pub reason: &'static str,
    /// The number of bytes that were written to the connection and not taken by the peer's system. Measured
    /// for clients only.
    pub undelivered_bytes: usize,
    /// The number of requests on the connection.
    pub requests: u64,
    /// When the connection was established, or when the attempt to open it started if that failed.
    pub started_at: Instant,
}

/// A callback that is called for each connection that ended.
pub type ConnectionEndObserver = Rc<dyn Fn(&ConnectionEnd<'_>)>;
