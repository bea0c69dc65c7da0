//! Notes that proxies publish.

use foca::Invalidates;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The most bytes of a note's body.
pub const MAX_NOTE_BYTES: usize = 512;

/// What one proxy tells the others about one topic. Its encoding is part of the protocol between proxies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The proxy that published it: the address that others send to.
    pub origin: SocketAddrV4,
    /// The generation of the process that published it: a restarted one publishes with a higher one.
    pub generation: u64,
    /// What it is about.
    pub topic: u8,
    /// Its version within the generation: each new note of the same topic has a higher one.
    pub version: u64,
    /// What it says, in an encoding that the topic's owner defines.
    pub body: Vec<u8>,
}

impl Note {
    /// What identifies the note and orders it among those of the same proxy and topic.
    pub fn key(&self) -> NoteKey {
        NoteKey { origin: self.origin, topic: self.topic, generation: self.generation, version: self.version }
    }

    /// Whether this note is newer than `other` of the same proxy and topic.
    pub fn is_newer_than(&self, other: &Note) -> bool {
        self.key().recency() > other.key().recency()
    }
}

/// What foca holds of a note while it is disseminated: the newer one of a proxy and topic replaces the older.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoteKey {
    origin: SocketAddrV4,
    topic: u8,
    generation: u64,
    version: u64,
}

impl NoteKey {
    /// What orders the notes of one proxy and topic.
    fn recency(&self) -> (u64, u64) {
        (self.generation, self.version)
    }
}

impl Invalidates for NoteKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.origin == other.origin && self.topic == other.topic && self.recency() >= other.recency()
    }
}
