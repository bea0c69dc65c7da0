//! The selection of a write's registrars, and which peers take part in claims.

use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use twox_hash::XxHash3_64;

/// The number of proxies that register the claims of one write.
pub const REGISTRARS: usize = 3;
/// A live peer that has answered no claim for this long is not waited for, as a proxy of an earlier version.
/// A peer that has ended leaves the membership sooner.
const ANSWER_TIMEOUT: Micros = 5_000_000;

/// The registrars of one write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Registrars {
    /// Whether this proxy is one of them.
    pub(super) includes_local: bool,
    /// The others.
    pub(super) peers: Vec<SocketAddrV4>,
}

/// The state of a live peer.
#[derive(Clone, Copy, Debug, Default)]
struct PeerState {
    /// Whether it has ever sent a message about claims.
    is_heard: bool,
    /// The time since which it owes an answer.
    unanswered_since: Option<Micros>,
}

/// The live peers, and which of them answer claims.
#[derive(Debug, Default)]
pub(super) struct RegistrarPeers {
    peers: BTreeMap<SocketAddrV4, PeerState>,
}

impl RegistrarPeers {
    pub(super) fn set_live(&mut self, live: &BTreeSet<SocketAddrV4>) {
        self.peers.retain(|peer, _| live.contains(peer));
        for peer in live {
            self.peers.entry(*peer).or_default();
        }
    }

    /// Selects a write's registrars by rendezvous hashing, so that all proxies with the same live peers
    /// select the same ones.
    pub(super) fn select(&self, local: SocketAddrV4, write: u64) -> Registrars {
        let candidates = self.peers.keys().copied().chain([local]);
        let mut ranked: Vec<(u64, SocketAddrV4)> =
            candidates.map(|address| (rendezvous_score(address, write), address)).collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.truncate(REGISTRARS);
        let (own, others): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|(_, address)| *address == local);
        Registrars {
            includes_local: !own.is_empty(),
            peers: others.into_iter().map(|(_, address)| address).collect(),
        }
    }

    /// Records that a claim was sent to a peer.
    pub(super) fn on_sent(&mut self, now: Micros, peer: SocketAddrV4) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.unanswered_since.get_or_insert(now);
        }
    }

    /// Records that a peer sent a message about claims.
    pub(super) fn on_heard(&mut self, peer: SocketAddrV4) {
        if let Some(state) = self.peers.get_mut(&peer) {
            *state = PeerState { is_heard: true, unanswered_since: None };
        }
    }

    /// Returns how many of these peers may still answer.
    pub(super) fn count_responsive(&self, now: Micros, peers: &[SocketAddrV4]) -> usize {
        peers.iter().filter(|peer| self.state(**peer).is_responsive(now)).count()
    }

    /// Returns how many of these peers are known to answer claims and should have answered.
    pub(super) fn count_participants(&self, now: Micros, peers: &[SocketAddrV4]) -> usize {
        let participates = |state: PeerState| state.is_heard && state.is_responsive(now);
        peers.iter().filter(|peer| participates(self.state(**peer))).count()
    }

    fn state(&self, peer: SocketAddrV4) -> PeerState {
        self.peers.get(&peer).copied().unwrap_or_default()
    }
}

impl PeerState {
    fn is_responsive(self, now: Micros) -> bool {
        self.unanswered_since.is_none_or(|since| now - since < ANSWER_TIMEOUT)
    }
}

fn rendezvous_score(address: SocketAddrV4, write: u64) -> u64 {
    let mut bytes = [0; 14];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..6].copy_from_slice(&address.port().to_be_bytes());
    bytes[6..].copy_from_slice(&write.to_be_bytes());
    XxHash3_64::oneshot(&bytes)
}
