//! The notes that a proxy holds. For each proxy and topic only the newest counts, so a stale copy, a replay or a
//! duplicate changes nothing and is not disseminated again.

use crate::note::{Note, MAX_NOTE_BYTES};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The most notes that are held: one a topic for each of this many proxies and topics. A note of a proxy and topic not
/// yet held is dropped past it, and counted.
pub const MAX_NOTES: usize = 4096;

/// Why a note was not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectedNote {
    /// The body has more than [`MAX_NOTE_BYTES`] bytes.
    #[error("a note's body is larger than {MAX_NOTE_BYTES} bytes")]
    TooLarge,
    /// The one held is as new or newer.
    #[error("a note is not newer than the one held")]
    Stale,
    /// [`MAX_NOTES`] are held already.
    #[error("no more than {MAX_NOTES} notes are held")]
    Full,
}

/// The notes that are held, and counts of what was done with those that came.
#[derive(Debug, Default)]
pub struct NoteStore {
    notes: BTreeMap<(SocketAddrV4, u8), Note>,
    /// Notes that were newer than what was held.
    pub accepted: u64,
    /// Notes that were as old as or older than what was held: duplicates, replays and stale copies.
    pub stale: u64,
    /// Notes that could not be decoded, or were too large.
    pub invalid: u64,
    /// Notes dropped since the store was full.
    pub dropped: u64,
}

impl NoteStore {
    /// The newest note of a proxy and topic.
    pub fn get(&self, origin: SocketAddrV4, topic: u8) -> Option<&Note> {
        self.notes.get(&(origin, topic))
    }

    /// All notes of a topic, by proxy.
    pub fn by_topic(&self, topic: u8) -> impl Iterator<Item = &Note> {
        self.notes.values().filter(move |note| note.topic == topic)
    }

    /// How many notes are held.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    /// Stores a note if it is newer than the one held.
    pub fn insert(&mut self, note: Note) -> Result<(), RejectedNote> {
        let checked = self.check(&note);
        match checked {
            Ok(()) => {
                self.accepted += 1;
                self.notes.insert((note.origin, note.topic), note);
            }
            Err(RejectedNote::TooLarge) => self.invalid += 1,
            Err(RejectedNote::Stale) => self.stale += 1,
            Err(RejectedNote::Full) => self.dropped += 1,
        }
        checked
    }

    fn check(&self, note: &Note) -> Result<(), RejectedNote> {
        if note.body.len() > MAX_NOTE_BYTES {
            return Err(RejectedNote::TooLarge);
        }
        match self.get(note.origin, note.topic) {
            Some(held) if !note.is_newer_than(held) => Err(RejectedNote::Stale),
            None if self.notes.len() >= MAX_NOTES => Err(RejectedNote::Full),
            _ => Ok(()),
        }
    }
}
