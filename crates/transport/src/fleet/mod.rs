//! The driver of the fleet's talk, on a thread of its own: one UDP socket, the membership of `peers` and the decision of
//! `failover`. It carries datagrams and the time to them, passes on what this proxy saw of members, publishes its
//! opinions, and tells the broker each zone's share of reads when it changes. Where state is replicated, its rumours
//! ride on the membership's datagrams, and its exchanges go beside them. It decides nothing itself.
//!
//! - `drive`: the thread's loop.
//! - [`Witness`]: the serving thread's side, which never waits: [`Fact`]s go up over a bounded ring.
//! - `heard`: what comes down ([`Told`]), and the serving thread's own copy of the writes in doubt.
//! - [`Turns`]: whether the thread stands still.

mod drive;
mod heard;
mod judge;
mod said;
mod turns;
mod witness;

pub use heard::Told;
pub use judge::Judge;
pub use said::Said;
pub use turns::{Turns, GAP, WAKING};
pub use witness::{Fact, Seen, Witness};

use super::{worker, Now, ProxyEvent};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use heard::Heard;
use std::cell::RefCell;
use std::net::{SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use wharfplank_failover::FailoverController;
use wharfplank_gossip::Membership;
use wharfplank_routing::Micros;
use wharfplank_shared_state::{SharedState, WriteRecord};

/// Facts that may wait for the thread, and what may wait for the broker; past that they are dropped and counted, since
/// serving must not wait.
pub const RING: usize = 4096;

/// Takes a snapshot's bytes without waiting.
pub type Keep = Box<dyn Fn(Vec<u8>)>;

/// What the thread is made of; it is made there.
pub struct Parts {
    /// The membership.
    pub peers: Membership,
    /// The decision.
    pub zones: FailoverController,
    /// The replicated state, where it is on.
    pub replica: Option<SharedState>,
    /// The judgement of members, where it is on; it needs the replicated state.
    pub judge: Option<Judge>,
    /// Takes snapshots without waiting, where they are kept.
    pub keep: Option<Keep>,
    /// What `now` is ahead of the broker's clock.
    pub skew: Micros,
    /// The seeds.
    pub seeds: Vec<SocketAddrV4>,
    /// The clock.
    pub now: Now,
    /// The log, which both threads write.
    pub say: fn(Said<'_>),
}

/// What the serving thread's side is made of.
pub struct Side {
    /// The fleet's time now, and what it is ahead of the broker's clock.
    pub now: Micros,
    /// See `now`.
    pub skew: Micros,
    /// The writes in doubt that a snapshot brought, where state is replicated.
    pub doubts: Option<Vec<WriteRecord>>,
    /// Whether members are judged.
    pub judged: bool,
    /// Where events for the broker go.
    pub events: Sender<ProxyEvent>,
    /// The log, which both threads write.
    pub say: fn(Said<'_>),
}

/// Starts the thread. The witness takes the broker's facts; the task, which passes on to the broker what is told, ends
/// once the witness is gone and the thread has said farewell, or when the thread fails: serving goes on as it does alone.
pub fn start(
    parts: impl FnOnce() -> Parts + Send + 'static,
    side: Side,
    socket: UdpSocket,
    executor: &LocalExecutor<'static>,
) -> std::io::Result<(Witness, Task<()>)> {
    socket.set_nonblocking(true)?;
    let turns = Arc::new(Turns::new(side.now));
    let at = Arc::clone(&turns);
    let work = move |facts, told| drive::drive(parts(), socket, facts, told, at);
    let (facts, told) = worker::start("fleet", RING, work)?;
    let replicated = side.doubts.is_some();
    let heard = Rc::new(RefCell::new(Heard::new(told, side.doubts.unwrap_or_default())));
    let witness = Witness {
        facts: RefCell::new(facts),
        heard: replicated.then(|| Rc::clone(&heard)),
        turns,
        skew: side.skew,
        judged: side.judged,
    };
    Ok((witness, executor.spawn(heard::relay(heard, side.events, side.say))))
}

/// A peer's number for the decision.
fn key(addr: SocketAddrV4) -> u64 {
    u64::from(u32::from(*addr.ip())) << 16 | u64::from(addr.port())
}
