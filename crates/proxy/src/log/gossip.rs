//! Log lines of gossip between proxies.

use crate::gossip::FleetCounter;
use std::net::SocketAddrV4;
use tracing::{debug, error, info, warn};
use wharfplank_failover::ZoneState;
use wharfplank_gossip::MembershipEvent;
use wharfplank_health::HealthObservation;
use wharfplank_transport::gossip::GossipLogEvent;

/// Logs that the gossip socket is bound; other proxies send to `advertise`.
pub fn gossip_started(listen: SocketAddrV4, advertise: SocketAddrV4) {
    info!(listen = %listen, advertise = %advertise, "peers_started");
}

/// Logs an event of the gossip thread.
pub fn gossip_event(event: GossipLogEvent<'_>) {
    match event {
        GossipLogEvent::Started(local) => {
            info!(addr = %local.addr, zone = local.zone.as_str(), generation = local.generation, "peer_me");
        }
        GossipLogEvent::PeerChanged(change) => {
            let (kind, peer) = match change {
                MembershipEvent::Up(peer) => ("up", peer),
                MembershipEvent::Down(peer) => ("down", peer),
                MembershipEvent::Rejoined(peer) => ("renewed", peer),
            };
            info!(
                change = kind,
                addr = %peer.addr,
                zone = peer.zone.as_str(),
                generation = peer.generation,
                "peer"
            );
        }
        GossipLogEvent::ZoneChanged { zone, state, share, live_peers, is_isolated } => {
            let (standing, since) = match state {
                ZoneState::InService => ("served", 0),
                ZoneState::Evacuated { since } => ("left", since / 1000),
                ZoneState::Recovering { since } => ("returning", since / 1000),
            };
            let share = format!("{share:.2}");
            info!(
                zone,
                standing,
                since_ms = since,
                share = share.as_str(),
                alive = live_peers as u64,
                alone = is_isolated,
                "zone"
            );
        }
        GossipLogEvent::MemberHealthChanged { name, verdict, score, observers } => {
            let (verdict, score) = (verdict.to_string(), format!("{:.2}", score.unwrap_or(0.0)));
            let (verdict, score) = (verdict.as_str(), score.as_str());
            info!(name, verdict, score, observers = observers as u64, "member_health");
        }
        GossipLogEvent::MemberObserved { .. } if !tracing::enabled!(tracing::Level::DEBUG) => {}
        GossipLogEvent::MemberObserved { name, own, score, observers } => {
            let own_score = format!("{:.2}", own.map_or(0.0, HealthObservation::score));
            let score = score.map_or_else(|| "-".to_string(), |score| format!("{score:.2}"));
            debug!(
                name,
                own_score = own_score.as_str(),
                samples = own.map_or(0, |own| u64::from(own.samples)),
                score = score.as_str(),
                observers = observers as u64,
                "member_observation"
            );
        }
        GossipLogEvent::SharedStateChanged(state) => {
            let (store, stats) = (state.store(), state.stats);
            let digest = format!("{:016x}", store.digest());
            let total = |counter: FleetCounter| state.counter_total(counter.id());
            info!(
                digest = digest.as_str(),
                entries = store.len() as u64,
                rumours = state.rumours().len() as u64,
                rumour_bytes = state.rumours().bytes_sent,
                sync_bytes = stats.exchange_bytes,
                asked = stats.exchanges_started,
                differed = stats.exchanges_with_differences,
                taken = stats.entries_updated,
                known = stats.entries_unchanged,
                refused = store.rejected,
                dropped = store.dropped + stats.dropped,
                waited = state.rumours().deferred,
                held_back = stats.throttled_messages,
                unread = stats.undecodable_messages,
                fleet_served = total(FleetCounter::Served),
                fleet_refused = total(FleetCounter::Rejected),
                fleet_failed = total(FleetCounter::Failed),
                "replica"
            );
        }
        GossipLogEvent::WorkerFailed => {
            error!(what = "the gossip thread failed; this proxy continues without peers", "peers_failed");
        }
        GossipLogEvent::Traffic { membership: peers, observations_dropped, updates_dropped } => {
            let notes = peers.notes();
            info!(
                alive = peers.live_peers().count() as u64,
                sent_datagrams = peers.sent.datagrams,
                sent_bytes = peers.sent.bytes,
                received_datagrams = peers.received.datagrams,
                received_bytes = peers.received.bytes,
                rejected = peers.rejected,
                notes = notes.len() as u64,
                stale_notes = notes.stale,
                observations_dropped,
                updates_dropped,
                "peers"
            );
        }
    }
}

/// Logs that the snapshot of the shared state was restored, or could not be read or written.
pub fn snapshot_event(what: &str) {
    warn!(what, "replica_snapshot");
}
