//! The notes that a proxy stores. Only the newest note per proxy and topic is kept, so a stale copy, a replay
//! or a duplicate has no effect and is not disseminated again.

use crate::note::{Note, MAX_NOTE_BYTES};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The maximum number of stored notes, one per proxy and topic. When the store is full, a note of a new proxy
/// and topic is dropped and counted.
pub const MAX_NOTES: usize = 4096;

/// The reason why a note was not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectedNote {
    /// The body has more than [`MAX_NOTE_BYTES`] bytes.
    #[error("note body is larger than {MAX_NOTE_BYTES} bytes")]
    TooLarge,
    /// The stored note is as new or newer.
    #[error("note is not newer than the stored one")]
    Stale,
    /// The store already has [`MAX_NOTES`] notes.
    #[error("note store is full: it has {MAX_NOTES} notes")]
    Full,
}

/// The stored notes, and counts of accepted and rejected ones.
#[derive(Debug, Default)]
pub struct NoteStore {
    notes: BTreeMap<(SocketAddrV4, u8), Note>,
    /// Notes that were stored because they were new or newer than the stored one.
    pub accepted: u64,
    /// Notes that were not newer than the stored one: duplicates, replays and stale copies.
    pub stale: u64,
    /// Notes that could not be decoded or were too large.
    pub invalid: u64,
    /// Notes dropped because the store was full.
    pub dropped: u64,
}

impl NoteStore {
    /// Returns the newest note of a proxy and topic.
    pub fn get(&self, origin: SocketAddrV4, topic: u8) -> Option<&Note> {
        self.notes.get(&(origin, topic))
    }

    /// Returns an iterator over all notes of a topic, ordered by proxy.
    pub fn by_topic(&self, topic: u8) -> impl Iterator<Item = &Note> {
        self.notes.values().filter(move |note| note.topic == topic)
    }

    /// Returns the number of stored notes.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Returns whether no notes are stored.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    /// Stores a note if it is newer than the stored one.
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
            Some(stored) if !note.is_newer_than(stored) => Err(RejectedNote::Stale),
            None if self.notes.len() >= MAX_NOTES => Err(RejectedNote::Full),
            _ => Ok(()),
        }
    }
}
