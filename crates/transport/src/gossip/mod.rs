//! The driver of gossip between proxies, on a worker thread with one UDP socket.
//!
//! It passes datagrams and the time to the membership protocol (`gossip`) and the zone failover (`failover`),
//! feeds them this proxy's observations of members, publishes its votes, and reports changes of each zone's
//! share of reads to the broker. If state is shared, its rumours are piggybacked on the datagrams of the
//! membership protocol, and its exchanges are sent as separate datagrams. The driver makes no decisions
//! itself.
//!
//! - [`GossipHandle`]: the serving thread's side, which never waits. It sends observations to the worker over
//!   a bounded ring.
//! - [`GossipUpdate`] and [`UpdateQueue`]: the worker's reports, and the serving thread's own copy of the
//!   in-doubt writes.
//! - [`PendingClaim`]: the wait for the decision on the claim of a write.
//! - [`GossipWorker`]: the parts of the worker. `driver` is its loop, `datagrams` the traffic of its socket,
//!   `observation` the broker's observations; `zones` and `health` drive the decisions.
//! - [`StallDetector`]: whether the worker is stalled.

mod claim;
mod datagrams;
mod driver;
mod handle;
mod health;
mod log;
mod observation;
mod stall;
mod updates;
mod zones;

pub use claim::PendingClaim;
pub use handle::GossipHandle;
pub use health::HealthEvaluator;
pub use log::GossipLogEvent;
pub use observation::MemberContact;
pub use stall::{StallDetector, CATCH_UP_TIME, STALL_TIMEOUT};
pub use updates::{forward_updates, GossipUpdate, UpdateQueue, MAX_QUEUED_UPDATES};

use super::{worker, Now, ProxyEvent};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use std::cell::RefCell;
use std::net::{SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use wharfplank_failover::FailoverController;
use wharfplank_gossip::Membership;
use wharfplank_routing::Micros;
use wharfplank_shared_state::{SharedState, WriteRecord};

/// The capacity of the ring of observations for the worker, and of the ring of its updates. Items that do not
/// fit are dropped and counted, since the serving thread must not wait.
pub const RING_CAPACITY: usize = 4096;

/// Saves the bytes of a snapshot without waiting.
pub type SaveSnapshot = Box<dyn Fn(Vec<u8>)>;

/// Writes an event to the log. Called by both threads.
pub type LogGossip = fn(GossipLogEvent<'_>);

/// The parts of the worker, created on the worker's thread.
pub struct GossipWorker {
    /// The membership protocol.
    pub membership: Membership,
    /// The zone failover, which decides how many reads each zone receives.
    pub failover: FailoverController,
    /// The shared state, if the settings enable it.
    pub shared_state: Option<SharedState>,
    /// Evaluates the health of members, if the settings enable it; requires the shared state.
    pub health: Option<HealthEvaluator>,
    /// Saves snapshots of the shared state, if the settings enable it.
    pub save_snapshot: Option<SaveSnapshot>,
    /// The lead of `now` over the broker's clock.
    pub clock_offset: Micros,
    /// The peers to join.
    pub seeds: Vec<SocketAddrV4>,
    /// The worker's clock.
    pub now: Now,
    /// The log.
    pub log: LogGossip,
}

/// The configuration of the serving thread's side.
pub struct HandleConfig {
    /// The current time on the worker's clock.
    pub now: Micros,
    /// The lead of the worker's clock over the broker's.
    pub clock_offset: Micros,
    /// The write records of a snapshot, if state is shared.
    pub write_records: Option<Vec<WriteRecord>>,
    /// Whether the worker evaluates the health of members.
    pub evaluates_health: bool,
    /// The channel for the broker's events.
    pub events: Sender<ProxyEvent>,
    /// The log.
    pub log: LogGossip,
}

/// Starts the worker.
///
/// The handle sends the broker's observations to the worker. The task forwards the worker's updates to the
/// broker. The task ends once the handle is dropped and the worker has announced that this proxy leaves, or
/// when the worker panics; the proxy then continues to serve as if it had no peers.
///
/// # Errors
///
/// Fails if the socket cannot be made non-blocking or the thread cannot be started.
pub fn start(
    make_worker: impl FnOnce() -> GossipWorker + Send + 'static,
    config: HandleConfig,
    socket: UdpSocket,
    executor: &LocalExecutor<'static>,
) -> std::io::Result<(GossipHandle, Task<()>)> {
    socket.set_nonblocking(true)?;
    let stall_detector = Arc::new(StallDetector::new(config.now));
    let worker_stall_detector = Arc::clone(&stall_detector);
    let run = move |observations, updates| {
        driver::run(make_worker(), socket, observations, updates, worker_stall_detector)
    };
    let (observations, updates) = worker::start("fleet", RING_CAPACITY, run)?;
    let shares_state = config.write_records.is_some();
    let queue = UpdateQueue::new(updates, config.write_records.unwrap_or_default());
    let queue = Rc::new(RefCell::new(queue));
    let handle = GossipHandle {
        observations: RefCell::new(observations),
        updates: shares_state.then(|| Rc::clone(&queue)),
        stall_detector,
        clock_offset: config.clock_offset,
        evaluates_health: config.evaluates_health,
    };
    let task = executor.spawn(forward_updates(queue, config.events, config.log));
    Ok((handle, task))
}

/// Returns the number that identifies a peer in the failover and health decisions.
fn peer_key(addr: SocketAddrV4) -> u64 {
    u64::from(u32::from(*addr.ip())) << 16 | u64::from(addr.port())
}
