//! The messages between processes and their encoding.

use crate::{Announcement, SealedSlot, WriteLeaseGrant, WriteLeaseRequest};
use serde::{Deserialize, Serialize};

/// Maximum size of an encoded message in bytes.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// An announcement with the bytes of the member's response.
pub(super) type AnnouncementWithResponse = (Announcement, Vec<u8>);

/// A message between processes.
#[derive(Serialize, Deserialize)]
pub(super) enum Message {
    /// From a holder to a lease server.
    #[serde(rename = "Ask")]
    LeaseRequest(WriteLeaseRequest),
    /// From the server with this id to a holder.
    #[serde(rename = "Grant")]
    LeaseGrant(u32, WriteLeaseGrant),
    /// From a server to all holders.
    #[serde(rename = "Seals")]
    SealedSlots(Vec<SealedSlot>),
    /// From a holder to a server, which forwards the announcements.
    #[serde(rename = "Tell")]
    Announce(Vec<AnnouncementWithResponse>),
    /// Announcements that a server forwards to all holders.
    #[serde(rename = "Told")]
    Announced(Vec<AnnouncementWithResponse>),
}

impl Message {
    /// Encodes the message. Returns `None` if it is too large for a datagram.
    pub(super) fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok().filter(|bytes| bytes.len() <= MAX_MESSAGE_BYTES)
    }

    /// Decodes a message.
    pub(super) fn decode(bytes: &[u8]) -> Result<Message, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
