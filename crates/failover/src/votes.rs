//! Votes on zones: this proxy's, and those that a peer published.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A time before any that the caller passes.
pub(crate) const DISTANT_PAST: Micros = Micros::MIN / 2;

/// A proxy's vote on a zone. The encoded order of the variants is part of the protocol between proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// Nothing recent enough to tell.
    #[default]
    Unknown,
    /// Its members answer.
    Up,
    /// Its members stopped answering.
    Down,
}

/// A vote and the zone that it is on, encoded as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, Vote)", into = "(String, Vote)")]
pub struct ZoneVote {
    /// The zone.
    pub zone: String,
    /// The vote.
    pub vote: Vote,
}

impl ZoneVote {
    /// A vote on a zone.
    pub fn new(zone: impl Into<String>, vote: Vote) -> ZoneVote {
        ZoneVote { zone: zone.into(), vote }
    }
}

impl From<(String, Vote)> for ZoneVote {
    fn from((zone, vote): (String, Vote)) -> ZoneVote {
        ZoneVote { zone, vote }
    }
}

impl From<ZoneVote> for (String, Vote) {
    fn from(vote: ZoneVote) -> (String, Vote) {
        (vote.zone, vote.vote)
    }
}

/// Which of a peer's publications the votes came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteVersion {
    /// The generation of the peer's process.
    pub generation: u64,
    /// The version of the note within the generation.
    pub version: u64,
}

/// All votes of one peer, as it published them last.
#[derive(Clone, Debug)]
pub(crate) struct Ballot {
    pub version: VoteVersion,
    /// When it was first received.
    pub received_at: Micros,
    pub votes: Vec<ZoneVote>,
}

impl Ballot {
    /// The peer's vote on a zone. A peer repeats Down while it holds: one that is not repeated is of a past whose end was
    /// missed, as by a proxy that was away when the note that took it back was disseminated.
    pub fn vote(&self, zone: &str, now: Micros, ttl: Micros) -> Vote {
        let vote = self.votes.iter().find(|vote| vote.zone == zone).map_or(Vote::Unknown, |vote| vote.vote);
        match vote {
            Vote::Down if now - self.received_at > ttl => Vote::Unknown,
            vote => vote,
        }
    }
}
