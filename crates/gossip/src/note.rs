//! Notes that proxies publish.

use foca::Invalidates;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The maximum size of a note's body, in bytes.
pub const MAX_NOTE_BYTES: usize = 512;

/// A message that one proxy publishes to the others about one topic. Its encoding is part of the protocol
/// between proxies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The address of the proxy that published the note.
    pub origin: SocketAddrV4,
    /// The generation of the process that published the note. It is higher after a restart.
    pub generation: u64,
    /// The topic of the note.
    pub topic: u8,
    /// The version of the note within the generation. Each new note of the same topic has a higher one.
    pub version: u64,
    /// The content, in an encoding that the topic's owner defines.
    pub body: Vec<u8>,
}

impl Note {
    /// Returns the key that identifies the note and orders it among those of the same proxy and topic.
    pub fn key(&self) -> NoteKey {
        NoteKey { origin: self.origin, topic: self.topic, generation: self.generation, version: self.version }
    }

    /// Returns whether this note is newer than `other`, a note of the same proxy and topic.
    pub fn is_newer_than(&self, other: &Note) -> bool {
        self.key().recency() > other.key().recency()
    }
}

/// The key by which foca tracks a note during dissemination. A newer note of a proxy and topic replaces an
/// older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoteKey {
    origin: SocketAddrV4,
    topic: u8,
    generation: u64,
    version: u64,
}

impl NoteKey {
    /// Returns the value that orders the notes of one proxy and topic.
    fn recency(&self) -> (u64, u64) {
        (self.generation, self.version)
    }
}

impl Invalidates for NoteKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.origin == other.origin && self.topic == other.topic && self.recency() >= other.recency()
    }
}
