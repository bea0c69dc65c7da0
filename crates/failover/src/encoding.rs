//! The encoding of a proxy's votes as the body of a gossip note.

use crate::ZoneVote;

/// The topic of the gossip notes in which proxies publish their votes.
pub const VOTES_TOPIC: u8 = 1;

/// The error returned for a note body that is not a list of votes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot decode zone votes: {0}")]
pub struct DecodeError(#[from] postcard::Error);

/// Encodes a proxy's votes as the body of a note.
pub fn encode_votes(votes: &[ZoneVote]) -> Vec<u8> {
    postcard::to_allocvec(votes).unwrap_or_default()
}

/// Decodes the votes in the body of a note. Callers treat a note that cannot be decoded as one without
/// votes.
pub fn decode_votes(body: &[u8]) -> Result<Vec<ZoneVote>, DecodeError> {
    Ok(postcard::from_bytes(body)?)
}
