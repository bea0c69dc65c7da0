//! Votes on zones.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// A time before any time that the caller passes.
pub(crate) const DISTANT_PAST: Micros = Micros::MIN / 2;

/// A proxy's vote on a zone. The encoded order of the variants is part of the protocol between proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// No recent outcomes to decide by.
    #[default]
    Unknown,
    /// The zone's members answer.
    Up,
    /// The zone's members have stopped answering.
    Down,
}

/// A zone and a vote on it, encoded as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, Vote)", into = "(String, Vote)")]
pub struct ZoneVote {
    /// The zone.
    pub zone: String,
    /// The vote.
    pub vote: Vote,
}

impl ZoneVote {
    /// Creates a vote on a zone.
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

/// The version of a peer's published votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteVersion {
    /// The generation of the peer's process.
    pub generation: u64,
    /// The version of the note within the generation.
    pub version: u64,
}

/// The votes that one peer published last.
#[derive(Clone, Debug)]
pub(crate) struct PeerVotes {
    pub version: VoteVersion,
    /// The time at which this version was first received.
    pub received_at: Micros,
    pub votes: Vec<ZoneVote>,
}

impl PeerVotes {
    /// Returns the peer's vote on a zone. A peer repeats a Down vote while it holds. A Down vote that is
    /// not repeated is outdated: this proxy missed its withdrawal, for instance because it was away when
    /// that note was disseminated.
    pub fn vote(&self, zone: &str, now: Micros, ttl: Micros) -> Vote {
        let vote = self.votes.iter().find(|vote| vote.zone == zone).map_or(Vote::Unknown, |vote| vote.vote);
        match vote {
            Vote::Down if now - self.received_at > ttl => Vote::Unknown,
            vote => vote,
        }
    }
}
