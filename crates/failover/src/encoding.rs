//! A proxy's votes as the body of a gossip note.

use crate::ZoneVote;

/// The topic of the gossip notes in which proxies publish their votes.
pub const TOPIC: u8 = 1;

/// A note's body that is no list of votes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("votes that cannot be decoded: {0}")]
pub struct DecodeError(#[from] postcard::Error);

/// A proxy's votes as the body of a note.
pub fn encode_votes(votes: &[ZoneVote]) -> Vec<u8> {
    postcard::to_allocvec(votes).unwrap_or_default()
}

/// The votes in a note's body. A note that cannot be decoded counts as none.
pub fn decode_votes(body: &[u8]) -> Result<Vec<ZoneVote>, DecodeError> {
    Ok(postcard::from_bytes(body)?)
}
