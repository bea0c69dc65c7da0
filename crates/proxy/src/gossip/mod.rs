//! Starts gossip between proxies if the settings enable it: the datagram socket, and the thread that runs the
//! membership, the failover of zones and the shared state.

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

/// A counter that is summed over all proxies of the fleet.
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
    /// Returns the id of the counter in the shared state, which is the same in all versions.
    pub fn id(self) -> u32 {
        match self {
            FleetCounter::Served => 1,
            FleetCounter::Rejected => 2,
            FleetCounter::Failed => 3,
        }
    }
}

/// Binds the socket and starts the gossip thread. The broker reports its observations of members through the
/// returned [`GossipHandle`]. The task ends once the handle has been dropped and the thread has announced
/// that this process leaves.
pub fn start(
    gossip_settings: &GossipSettings,
    settings: &Settings,
    config: &Config,
    clock: Clock,
    events: Sender<ProxyEvent>,
    executor: &LocalExecutor<'static>,
) -> Result<(GossipHandle, Task<()>), StartError> {
    let (socket, bound) = bind(gossip_settings)?;
    let advertise: SocketAddrV4 = gossip_settings.advertise().unwrap_or(bound);
    let skew = gossip_settings.clock_skew_ms * 1000;
    let now = clock.now() + skew;
    // A restarted process has a newer generation, so its views and notes replace those of its predecessor.
    let local_peer = Peer::new(advertise, &config.parameters.zone, (now / 1000).max(1) as u64);
    let seed = config.settings.seed;
    let swim = config::swim_config(gossip_settings);
    let failover = config::failover_config(config);
    let isolation = config::isolation_policy(gossip_settings);
    let evaluates_health = settings.health.is_some();

    let shared_state_settings = settings.shared_state.as_ref();
    let state =
        shared_state_settings.map(|replica_settings| shared_state(replica_settings, &local_peer, seed, now));
    let snapshot_path = shared_state_settings.and_then(SharedStateSettings::snapshot);
    let write_snapshot = snapshot_path.map(snapshot::start_writer).transpose()?;
    let handle_config = HandleConfig {
        now,
        clock_offset: skew,
        write_records: state.as_ref().map(|state| state.write_records().collect()),
        evaluates_health,
        events,
        log: log::gossip_event,
    };
    let seeds = gossip_settings.seeds();
    let make_worker = move || GossipWorker {
        health: evaluates_health.then(|| HealthEvaluator::new(local_peer.addr)),
        membership: Membership::new(local_peer, swim, seed, now),
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
        .map_err(StartError::component_start(Component::Gossip))
}

fn bind(settings: &GossipSettings) -> Result<(UdpSocket, SocketAddrV4), StartError> {
    let socket = open::bind_udp(settings.listen())
        .map_err(StartError::component_listen(Component::Gossip, &settings.listen))?;
    match socket.local_addr().map_err(StartError::component_start(Component::Gossip))? {
        SocketAddr::V4(bound) => Ok((socket, bound)),
        other => Err(StartError::GossipNotIpv4(other)),
    }
}

/// Creates this process's replica of the shared state, with the entries of its snapshot that are still
/// valid.
fn shared_state(settings: &SharedStateSettings, local_peer: &Peer, seed: u64, now: Micros) -> SharedState {
    let config = config::shared_state_config(settings, local_peer.addr);
    let mut state = SharedState::new(replica_id(local_peer), config, seed, now);
    if let Some(path) = settings.snapshot() {
        snapshot::restore(&mut state, now, &path);
    }
    state
}

/// Returns the id of this process's counters. It must be unique, so it combines the address with the
/// generation, which no earlier process at the address had.
fn replica_id(local_peer: &Peer) -> u64 {
    u64::from(u32::from(*local_peer.addr.ip())) << 32
        ^ u64::from(local_peer.addr.port()) << 16
        ^ local_peer.generation
}
