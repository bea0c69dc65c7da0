//! The fleet's talk where the settings ask for it: the UDP socket, the membership and the decision of failover,
//! made from the settings and the platform's figures, and the log of what they do.

use super::clock::Clock;
use super::config::Config;
use super::error::{Component, StartError};
use super::log;
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use std::io::Read;
use std::net::{SocketAddrV4, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use wharfplank_failover::{FailoverController, FailoverTerms, IsolationPolicy};
use wharfplank_gossip::{Membership, Peer, SwimConfig};
use wharfplank_settings::{AloneChoice, Peers as PeerSettings, Replica as ReplicaSettings};
use wharfplank_shared_state::{snapshot, SharedState, SharedStateConfig};
use wharfplank_transport::gossip::{self, GossipHandle, GossipWorker, HandleConfig, HealthEvaluator};
use wharfplank_transport::ProxyEvent;

/// The fleet's counters: requests answered with a value, refused, and failed.
pub const SERVED: u32 = 1;
/// See [`SERVED`].
pub const REFUSED: u32 = 2;
/// See [`SERVED`].
pub const FAILED: u32 = 3;

/// Binds the socket and starts the thread; what members do then reaches the decision through the handle. The task ends
/// once the handle is dropped and the thread has announced that it leaves.
pub fn start(
    settings: &PeerSettings,
    replica: Option<&ReplicaSettings>,
    health: bool,
    config: &Config,
    clock: Clock,
    events: Sender<ProxyEvent>,
    executor: &LocalExecutor<'static>,
) -> Result<(GossipHandle, Task<()>), StartError> {
    let socket = UdpSocket::bind(settings.listen())
        .map_err(StartError::component_listen(Component::Peers, &settings.listen))?;
    let bound = match socket.local_addr() {
        Ok(std::net::SocketAddr::V4(bound)) => bound,
        Ok(other) => return Err(StartError::PeersNotIpv4(other)),
        Err(source) => return Err(StartError::component_start(Component::Peers)(source)),
    };
    let advertise: SocketAddrV4 = settings.advertise().unwrap_or(bound);
    let skew = settings.clock_skew_ms * 1000;
    let now = clock.now() + skew;
    // A restarted process is a newer generation: its views and notes replace those of the one before.
    let me = Peer::new(advertise, &config.terms.zone, (now / 1000).max(1) as u64);
    let swim = SwimConfig {
        ping_interval_ms: settings.probe_ms,
        ping_timeout_ms: (settings.probe_ms * 3 / 10).max(1),
        suspicion_timeout_ms: settings.suspect_ms,
        gossip_interval_ms: settings.gossip_ms,
        gossip_fanout: settings.fanout,
        expected_proxies: settings.expected,
        ..SwimConfig::default()
    };
    let seed = config.settings.seed;
    // A returning zone grows as a cold member does, by the platform's own figures where it gives them.
    let ramp_duration = if config.settings.slow_start_span > 0 {
        config.settings.slow_start_span
    } else {
        FailoverTerms::default().ramp_duration
    };
    let failover = FailoverTerms {
        ramp_start: config.settings.slow_start_from.clamp(0.01, 1.0),
        ramp_duration,
        ..FailoverTerms::default()
    };
    let isolation = match settings.alone {
        AloneChoice::Serve => IsolationPolicy::KeepServing,
        AloneChoice::Own => IsolationPolicy::FollowOwnVote,
    };
    let (mut state, mut keep) = (None, None);
    if let Some(settings) = replica {
        state = Some(copy(settings, &me, seed, now));
        keep = settings.snapshot().map(keeper).transpose()?;
    }
    let handle_config = HandleConfig {
        now,
        clock_offset: skew,
        write_records: state.as_ref().map(|state: &SharedState| state.write_records().collect()),
        evaluates_health: health,
        events,
        log: log::fleet,
    };
    let seeds = settings.seeds();
    let make_worker = move || GossipWorker {
        health: health.then(|| HealthEvaluator::new(me.addr)),
        membership: Membership::new(me, swim, seed, now),
        failover: FailoverController::new(failover, isolation),
        shared_state: state,
        save_snapshot: keep.map(|keep| Box::new(keep) as gossip::SaveSnapshot),
        clock_offset: skew,
        seeds,
        now: Rc::new(move || clock.now() + skew),
        log: log::fleet,
    };
    log::peers_bound(bound, advertise);
    gossip::start(make_worker, handle_config, socket, executor)
        .map_err(StartError::component_start(Component::Peers))
}

/// This process's copy of the replicated state, with what its snapshot still has to say.
fn copy(settings: &ReplicaSettings, me: &Peer, seed: u64, now: i64) -> SharedState {
    // A process's counts are its own: its address, and the generation that no other process there had.
    let number = u64::from(u32::from(*me.addr.ip())) << 32 ^ u64::from(me.addr.port()) << 16 ^ me.generation;
    let terms = SharedStateConfig {
        bytes_per_second: settings.bytes_per_second,
        exchange_interval: settings.sync_ms as i64 * 1000,
        ..SharedStateConfig::default()
    };
    let mut copy = SharedState::new(number, terms, seed, now);
    if let Some(path) = settings.snapshot().filter(|path| path.exists()) {
        let read = read_bounded(&path).map_err(|e| e.to_string());
        match read.and_then(|bytes| copy.restore(now, &bytes).map_err(|fault| fault.to_string())) {
            Ok(taken) => log::replica(&format!("{taken} entries taken from {}", path.display())),
            Err(what) => log::replica(&format!("{} is not used: {what}", path.display())),
        }
    }
    copy
}

fn read_bounded(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let most = snapshot::MAX_SNAPSHOT_BYTES as u64 + 1;
    std::fs::File::open(path)?.take(most).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Writes snapshots on a thread of its own: beside the file, then in its place, so that a kill leaves a whole one.
/// One may wait; a newer one meanwhile is dropped, since another follows.
fn keeper(path: PathBuf) -> Result<impl Fn(Vec<u8>) + Send, StartError> {
    let (sender, received) = std::sync::mpsc::sync_channel::<Vec<u8>>(1);
    let work = move || {
        let beside = path.with_extension("new");
        let mut failed = false;
        while let Ok(bytes) = received.recv() {
            let written = std::fs::write(&beside, bytes).and_then(|()| std::fs::rename(&beside, &path));
            if let (Err(e), false) = (&written, failed) {
                log::replica(&format!("{}: {e}", path.display()));
            }
            failed = written.is_err();
        }
    };
    std::thread::Builder::new()
        .name("replica".to_string())
        .spawn(work)
        .map_err(StartError::component_start(Component::Replica))?;
    Ok(move |bytes| drop(sender.try_send(bytes)))
}
