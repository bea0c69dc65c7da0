//! The peers, their votes, and the quorum that they make together with this proxy.

use crate::votes::{Ballot, Vote, VoteVersion, DISTANT_PAST};
use crate::{FailoverTerms, Micros, PeerId, ZoneVote};
use std::collections::{BTreeMap, BTreeSet};

/// Peers whose votes are held; past this a new one is ignored until another is forgotten.
pub const MAX_PEERS: usize = 4096;
/// Peers count as part of the fleet, whose majority a quorum is, for this long after they were last alive.
const FLEET_MEMORY: Micros = 60_000_000;
/// This proxy's vote alone takes no zone out of service while it has peers.
const MIN_DOWN_VOTES: usize = 2;

/// The peers of a proxy and their votes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quorum {
    ballots: BTreeMap<PeerId, Ballot>,
    live_peers: BTreeSet<PeerId>,
    /// When each peer of the fleet was last alive.
    last_alive_at: BTreeMap<PeerId, Micros>,
}

impl Quorum {
    /// Sets the peers that are alive now; the votes of others do not count, and peers dead for long are forgotten.
    pub fn set_live_peers(&mut self, now: Micros, peers: impl Iterator<Item = PeerId>) {
        self.live_peers = peers.collect();
        for peer in &self.live_peers {
            self.last_alive_at.insert(*peer, now);
        }
        self.last_alive_at.retain(|_, last_alive_at| now - *last_alive_at <= FLEET_MEMORY);
        let fleet = &self.last_alive_at;
        self.ballots.retain(|peer, _| fleet.contains_key(peer));
    }

    /// Whether this proxy reaches too few of its fleet to count a quorum: it and the live peers are no majority of those
    /// alive within the last minute.
    pub fn is_isolated(&self) -> bool {
        let fleet = self.last_alive_at.len() + 1;
        let live = self.live_peers.len() + 1;
        live == 1 || live * 2 <= fleet
    }

    /// Whether this ballot of a peer is the one held already.
    pub fn has_ballot(&self, peer: PeerId, version: VoteVersion) -> bool {
        self.ballots.get(&peer).is_some_and(|ballot| ballot.version == version)
    }

    /// Whether a ballot of this peer can be held.
    pub fn has_capacity_for(&self, peer: PeerId) -> bool {
        self.ballots.contains_key(&peer) || self.ballots.len() < MAX_PEERS
    }

    /// Holds a peer's ballot in place of its older one.
    pub fn record(&mut self, peer: PeerId, version: VoteVersion, received_at: Micros, votes: Vec<ZoneVote>) {
        self.ballots.insert(peer, Ballot { version, received_at, votes });
    }

    /// Lets no Down vote held until now count: each has to be repeated.
    pub fn expire_down_votes(&mut self) {
        self.ballots.values_mut().for_each(|ballot| ballot.received_at = DISTANT_PAST);
    }

    /// How many peers' votes are held.
    pub fn ballot_count(&self) -> usize {
        self.ballots.len()
    }

    /// Whether a quorum of the live proxies votes Down: a majority of those that vote at all, which must be a certain
    /// part of the live ones.
    pub fn is_down(&self, zone: &str, own_vote: Vote, now: Micros, terms: &FailoverTerms) -> bool {
        let ballots = self.live_peers.iter().filter_map(|peer| self.ballots.get(peer));
        let votes: Vec<Vote> = ballots
            .map(|ballot| ballot.vote(zone, now, terms.vote_ttl))
            .chain(std::iter::once(own_vote))
            .collect();
        let down_votes = votes.iter().filter(|vote| **vote == Vote::Down).count();
        let voters = votes.iter().filter(|vote| **vote != Vote::Unknown).count();
        let live_proxies = self.live_peers.len() + 1;
        let is_majority = down_votes * 2 > voters;
        let has_enough_voters = voters as f64 >= terms.min_voter_fraction * live_proxies as f64;
        is_majority && has_enough_voters && down_votes >= MIN_DOWN_VOTES
    }
}
