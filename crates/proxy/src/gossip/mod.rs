//! Starts gossip between proxies where the settings ask for it: the datagram socket, the thread with the membership, the
//! failover of zones and the shared state, and their parameters.

mod config;
mod snapshot;

use crate::clock::Clock;
use crate::config::Config;
use crate::error::{Component, StartError};
use crate::log;
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use wharfplank_failover::FailoverController;
use wharfplank_gossip::{Membership, Peer};
use wharfplank_routing::Micros;
use wharfplank_settings::{GossipSettings, Settings, SharedStateSettings};
use wharfplank_shared_state::SharedState;
use wharfplank_transport::gossip::{
    self as gossip_worker, GossipHandle, GossipWorker, HandleConfig, HealthEvaluator, SaveSnapshot,
};
use wharfplank_transport::socket::open;
use wharfplank_transport::ProxyEvent;

/// A counter that all proxies of the fleet add up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetCounter {
    /// Requests answered by a member.
    Served,
    /// Requests rejected to shed load.
    Rejected,
    /// Requests that failed.
    Failed,
}

impl FleetCounter {
    /// The id of the counter in the shared state, the same in all versions.
    pub fn id(self) -> u32 {
        match self {
            FleetCounter::Served => 1,
            FleetCounter::Rejected => 2,
            FleetCounter::Failed => 3,
        }
    }
}

/// Binds the socket and starts the thread. What the broker observes of members reaches the thread through the returned
/// [`GossipHandle`]. The task ends once the witness is dropped and the thread has announced that this process leaves.
pub fn start(
    peers: &GossipSettings,
    settings: &Settings,
    config: &Config,
    clock: Clock,
    events: Sender<ProxyEvent>,
    executor: &LocalExecutor<'static>,
) -> Result<(GossipHandle, Task<()>), StartError> {
    let (socket, bound) = bind(peers)?;
    let advertise: SocketAddrV4 = peers.advertise().unwrap_or(bound);
    let skew = peers.clock_skew_ms * 1000;
    let now = clock.now() + skew;
    // A restarted process has a newer generation: its views and notes replace those of the one before.
    let me = Peer::new(advertise, &config.parameters.zone, (now / 1000).max(1) as u64);
    let seed = config.settings.seed;
    let swim = config::swim_config(peers);
    let failover = config::failover_config(config);
    let isolation = config::isolation_policy(peers);
    let evaluates_health = settings.health.is_some();

    let replica = settings.shared_state.as_ref();
    let state = replica.map(|replica| shared_state(replica, &me, seed, now));
    let snapshot_path = replica.and_then(SharedStateSettings::snapshot);
    let write_snapshot = snapshot_path.map(snapshot::start_writer).transpose()?;
    let handle_config = HandleConfig {
        now,
        clock_offset: skew,
        write_records: state.as_ref().map(|state| state.write_records().collect()),
        evaluates_health,
        events,
        log: log::gossip_event,
    };
    let seeds = peers.seeds();
    let make_worker = move || GossipWorker {
        health: evaluates_health.then(|| HealthEvaluator::new(me.addr)),
        membership: Membership::new(me, swim, seed, now),
        failover: FailoverController::new(failover, isolation),
        shared_state: state,
        save_snapshot: write_snapshot.map(|write| Box::new(write) as SaveSnapshot),
        clock_offset: skew,
        seeds,
        now: Rc::new(move || clock.now() + skew),
        log: log::gossip_event,
    };
    log::gossip_started(bound, advertise);
    gossip_worker::start(make_worker, handle_config, socket, executor)
        .map_err(StartError::component_start(Component::Peers))
}

fn bind(settings: &GossipSettings) -> Result<(UdpSocket, SocketAddrV4), StartError> {
    let socket = open::bind_udp(settings.listen())
        .map_err(StartError::component_listen(Component::Peers, &settings.listen))?;
    match socket.local_addr().map_err(StartError::component_start(Component::Peers))? {
        SocketAddr::V4(bound) => Ok((socket, bound)),
        other => Err(StartError::PeersNotIpv4(other)),
    }
}

/// This process's replica of the shared state, with the entries of its snapshot that still count.
fn shared_state(settings: &SharedStateSettings, me: &Peer, seed: u64, now: Micros) -> SharedState {
    let config = config::shared_state_config(settings);
    let mut state = SharedState::new(replica_id(me), config, seed, now);
    if let Some(path) = settings.snapshot() {
        snapshot::restore(&mut state, now, &path);
    }
    state
}

/// A process's counts are its own: its id is made of its address and of the generation that no other process there had.
fn replica_id(me: &Peer) -> u64 {
    u64::from(u32::from(*me.addr.ip())) << 32 ^ u64::from(me.addr.port()) << 16 ^ me.generation
}
