//! The messages between processes, and their encoding.

use crate::{Announcement, SealedSlot, WriteLeaseGrant, WriteLeaseRequest};
use serde::{Deserialize, Serialize};

/// The bound on a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// An announcement with the bytes of the member's response.
pub(super) type AnnouncementWithResponse = (Announcement, Vec<u8>);

/// What processes send each other.
#[derive(Serialize, Deserialize)]
pub(super) enum Message {
    /// From a holder to a lease server.
    #[serde(rename = "Ask")]
    LeaseRequest(WriteLeaseRequest),
    /// From the server of that id to a holder.
    #[serde(rename = "Grant")]
    LeaseGrant(u32, WriteLeaseGrant),
    /// From a server to all holders.
    #[serde(rename = "Seals")]
    SealedSlots(Vec<SealedSlot>),
    /// From a holder to a server, to be passed on.
    #[serde(rename = "Tell")]
    Announce(Vec<AnnouncementWithResponse>),
    /// The same, passed on by a server to all holders.
    #[serde(rename = "Told")]
    Announced(Vec<AnnouncementWithResponse>),
}

impl Message {
    /// Encodes the message, if it is not too large for a datagram.
    pub(super) fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok().filter(|bytes| bytes.len() <= MAX_MESSAGE_BYTES)
    }

    /// Decodes a message.
    pub(super) fn decode(bytes: &[u8]) -> Result<Message, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
