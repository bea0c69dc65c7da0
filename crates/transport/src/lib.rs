//! Thin drivers between sockets and the state machines of `protocol`. They decide nothing about
//! requests: what clients ask and how attempts end goes to the broker as an [`Event`].

pub mod admin;
pub mod budgets;
pub mod client;
pub mod clients;
pub mod discovery;
pub mod duty;
pub mod fleet;
mod flow;
pub mod handover;
pub mod members;
pub mod missing;
pub mod release;
pub mod signals;

use futures_lite::future;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Instant;
use wharfplank_discovery::{Staleness, WatchEvent};
use wharfplank_protocol::pipeline::RequestNumber;
use wharfplank_protocol::read_buffer::MAX_RETAINED_CAPACITY;
use wharfplank_protocol::request_comment;
use wharfplank_routing::{HostId, Micros, RequestId};

/// A client's statement: kept once, and shared by all attempts of its request.
#[derive(Debug)]
pub struct Statement {
    bytes: Vec<u8>,
    wait_at: Range<usize>,
}

impl Statement {
    /// A statement and where in it the value of `d` stands.
    pub fn new(bytes: Vec<u8>, wait_at: Range<usize>) -> Self {
        Statement { bytes, wait_at }
    }

    /// What it asks, without the comment at its front.
    pub fn body(&self) -> &[u8] {
        let end = self.bytes.windows(2).position(|two| two == b"*/");
        self.bytes[end.map_or(0, |at| at + 2)..].trim_ascii()
    }

    /// Writes it with the time that is left.
    fn write(&self, out: &mut Vec<u8>, wait_ms: i64) {
        request_comment::write_with_deadline(out, &self.bytes, self.wait_at.clone(), wait_ms);
    }
}

/// A request as a client's connection hands it over; whatever the protocol, the broker sees this.
#[derive(Debug)]
pub struct Asked {
    /// Its number.
    pub ticket: RequestNumber,
    /// The id that the client gave it.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// When its last byte was read.
    pub arrived: Instant,
    /// Milliseconds that the client waits from then on.
    pub wait_ms: u32,
    /// Its group.
    pub group: u64,
    /// The position that it must see, in Unix milliseconds.
    pub after_ms: Option<i64>,
    /// The session's name.
    pub key: Option<String>,
    /// What members are sent.
    pub statement: Rc<Statement>,
    /// Takes the one final answer.
    pub lane: Rc<client::Lane>,
}

/// What the drivers tell the broker.
#[derive(Debug)]
pub enum Event {
    /// A client asks.
    Asked(Box<Asked>),
    /// A client went away with its request open.
    Gone(RequestNumber),
    /// A client cancelled a request, which has been answered.
    Cancelled(RequestNumber),
    /// An attempt ended.
    Attempt {
        /// The request.
        id: RequestId,
        /// Its number.
        attempt: u32,
        /// How it ended.
        report: members::Report,
    },
    /// An answer that passed through ended.
    Passed {
        /// The request.
        id: RequestId,
        /// Its attempt.
        attempt: u32,
        /// How it ended, and what it told at its end.
        report: members::Report,
    },
    /// A probe came back; without a report it failed.
    Probed {
        /// The member.
        host: HostId,
        /// Its report.
        report: Option<String>,
    },
    /// What is believed of the members changed, or how old that is.
    Heard(WatchEvent, Option<Staleness>),
    /// The part of reads that each named zone may take, as the fleet decided; others take all.
    Shares(Vec<(String, f64)>),
    /// The members that the fleet does not hold sound, and what the latency of each counts for.
    Factors(Vec<(u64, f64)>),
    /// What other proxies learned.
    Told(Vec<wharfplank_shared_state::News>),
    /// The process that replaces this one, or that this one replaces.
    Other(handover::Other),
    /// The process is asked to read its configuration anew.
    Reload,
    /// The process is asked to end.
    Terminate,
}

/// A connection that ended: one line of the log.
#[derive(Debug)]
pub struct Ended<'a> {
    /// `client`, `member` or `discovery`.
    pub side: &'static str,
    /// Who was at the other end.
    pub peer: SocketAddr,
    /// The member's name; empty for others.
    pub name: &'a str,
    /// The code of the reason.
    pub reason: &'static str,
    /// Requests that it carried.
    pub requests: u64,
    /// When it came up.
    pub since: Instant,
}

/// The caller's clock.
pub type Now = Rc<dyn Fn() -> Micros>;

/// Where ended connections are noted.
pub type Ends = Rc<dyn Fn(&Ended<'_>)>;

/// What connections may buffer together past a modest size each.
#[derive(Debug)]
pub struct Memory {
    most: usize,
    used: Cell<usize>,
}

impl Memory {
    /// None of it is used yet.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Memory { most, used: Cell::new(0) })
    }

    /// Bytes that are left.
    pub fn room(&self) -> usize {
        self.most.saturating_sub(self.used.get())
    }
}

/// What one connection has of it, given back when the connection ends.
struct Part {
    memory: Rc<Memory>,
    bytes: usize,
}

impl Part {
    fn of(memory: &Rc<Memory>) -> Self {
        Part { memory: Rc::clone(memory), bytes: 0 }
    }

    /// Counts a buffer of this capacity; false where it is large and all together have too much.
    fn hold(&mut self, capacity: usize) -> bool {
        let (used, bytes) = (&self.memory.used, capacity.saturating_sub(MAX_RETAINED_CAPACITY));
        used.set(used.get() - self.bytes + bytes);
        self.bytes = bytes;
        bytes == 0 || used.get() <= self.memory.most
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.hold(0);
    }
}

/// The result of `work`, or `None` if it is not done by `deadline`.
async fn within<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let late = async {
        async_io::Timer::at(deadline).await;
        None
    };
    future::or(async { Some(work.await) }, late).await
}
