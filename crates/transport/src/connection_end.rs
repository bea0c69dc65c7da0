//! What is observed of connections that end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remote<'a> {
    /// A client.
    Client,
    /// The member of this name.
    Member(&'a str),
    /// The discovery service.
    Discovery,
}

impl<'a> Remote<'a> {
    /// The kind of the other end, as the log shows it.
    pub fn kind(&self) -> &'static str {
        match self {
            Remote::Client => "client",
            Remote::Member(_) => "member",
            Remote::Discovery => "discovery",
        }
    }

    /// The member's name, if it is a member.
    pub fn member_name(&self) -> Option<&'a str> {
        match self {
            Remote::Member(name) => Some(name),
            Remote::Client | Remote::Discovery => None,
        }
    }
}

/// A connection that ended, as it is logged.
#[derive(Debug)]
pub struct ConnectionEnd<'a> {
    /// Who was at the other end.
    pub remote: Remote<'a>,
    /// The address of the other end.
    pub address: SocketAddr,
    /// The code of the reason why the connection ended.
    pub reason: &'static str,
    /// The number of requests that the connection carried.
    pub requests: u64,
    /// When the connection was established, or its opening began if it failed.
    pub started_at: Instant,
}

/// Called with each connection that ended.
pub type ConnectionEndObserver = Rc<dyn Fn(&ConnectionEnd<'_>)>;
