//! The peers, their votes, and the quorum that they form together with this proxy.

use crate::votes::{PeerVotes, Vote, VoteVersion, DISTANT_PAST};
use crate::{FailoverConfig, Micros, PeerId, ZoneVote};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of peers whose votes are stored. Votes of further peers are ignored until a stored
/// peer is forgotten.
pub const MAX_PEERS: usize = 4096;
/// The time for which a peer counts as part of the fleet after it was last alive. The proxies of a quorum
/// must be a majority of the fleet.
const FLEET_RETENTION: Micros = 60_000_000;
/// The minimum number of Down votes, so that this proxy's vote alone evacuates no zone while it has peers.
const MIN_DOWN_VOTES: usize = 2;

/// The peers of a proxy and their votes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quorum {
    votes_by_peer: BTreeMap<PeerId, PeerVotes>,
    live_peers: BTreeSet<PeerId>,
    /// The time at which each peer of the fleet was last alive.
    last_alive_at: BTreeMap<PeerId, Micros>,
}

impl Quorum {
    /// Sets the peers that are alive now. The votes of other peers do not count, and peers that have been
    /// dead for longer than [`FLEET_RETENTION`] are forgotten.
    pub fn set_live_peers(&mut self, now: Micros, peers: impl Iterator<Item = PeerId>) {
        self.live_peers = peers.collect();
        for peer in &self.live_peers {
            self.last_alive_at.insert(*peer, now);
        }
        self.last_alive_at.retain(|_, last_alive_at| now - *last_alive_at <= FLEET_RETENTION);
        let fleet = &self.last_alive_at;
        self.votes_by_peer.retain(|peer, _| fleet.contains_key(peer));
    }

    /// Returns whether this proxy reaches too few of its fleet to form a quorum: no peer is alive, or it and
    /// the live peers are not a majority of the proxies that were alive within [`FLEET_RETENTION`].
    pub fn is_isolated(&self) -> bool {
        let fleet = self.last_alive_at.len() + 1;
        let live = self.live_peers.len() + 1;
        live == 1 || live * 2 <= fleet
    }

    /// Returns whether this version of a peer's votes is already stored.
    pub fn has_votes(&self, peer: PeerId, version: VoteVersion) -> bool {
        self.votes_by_peer.get(&peer).is_some_and(|peer_votes| peer_votes.version == version)
    }

    /// Returns whether the votes of this peer can be stored.
    pub fn has_capacity_for(&self, peer: PeerId) -> bool {
        self.votes_by_peer.contains_key(&peer) || self.votes_by_peer.len() < MAX_PEERS
    }

    /// Stores a peer's votes in place of its older ones.
    pub fn record(&mut self, peer: PeerId, version: VoteVersion, received_at: Micros, votes: Vec<ZoneVote>) {
        self.votes_by_peer.insert(peer, PeerVotes { version, received_at, votes });
    }

    /// Expires all stored Down votes. Each counts again only once it is repeated.
    pub fn expire_down_votes(&mut self) {
        self.votes_by_peer.values_mut().for_each(|peer_votes| peer_votes.received_at = DISTANT_PAST);
    }

    /// Returns the number of peers whose votes are stored.
    pub fn stored_peer_count(&self) -> usize {
        self.votes_by_peer.len()
    }

    /// Returns whether a quorum of the live proxies votes Down: a majority of those with a vote other than
    /// Unknown, who must be at least `min_voter_fraction` of the live proxies.
    pub fn is_down(&self, zone: &str, own_vote: Vote, now: Micros, config: &FailoverConfig) -> bool {
        let live_votes = self.live_peers.iter().filter_map(|peer| self.votes_by_peer.get(peer));
        let votes: Vec<Vote> = live_votes
            .map(|peer_votes| peer_votes.vote(zone, now, config.vote_ttl))
            .chain(std::iter::once(own_vote))
            .collect();
        let down_votes = votes.iter().filter(|vote| **vote == Vote::Down).count();
        let voters = votes.iter().filter(|vote| **vote != Vote::Unknown).count();
        let live_proxies = self.live_peers.len() + 1;
        let is_majority = down_votes * 2 > voters;
        let has_enough_voters = voters as f64 >= config.min_voter_fraction * live_proxies as f64;
        is_majority && has_enough_voters && down_votes >= MIN_DOWN_VOTES
    }
}
