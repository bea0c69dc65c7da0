//! What is observed of connections that end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// A connection that ended, as it is logged.
#[derive(Debug)]
pub struct ConnectionEnd<'a> {
    /// The kind of the other end: `client`, `member` or `discovery`.
    pub side: &'static str,
    /// The address of the other end.
    pub peer: SocketAddr,
    /// The member's name; empty for other kinds.
    pub name: &'a str,
    /// The code of the reason why the connection ended.
    pub reason: &'static str,
    /// The number of requests that the connection carried.
    pub requests: u64,
    /// When the connection was established.
    pub since: Instant,
}

/// Called with each connection that ended.
pub type ConnectionEndObserver = Rc<dyn Fn(&ConnectionEnd<'_>)>;
