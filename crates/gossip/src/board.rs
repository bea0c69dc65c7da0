//! Notes that proxies publish and pass on: for each proxy and topic only the newest counts, so a stale copy, a replay
//! or a duplicate changes nothing and is not passed on again.

use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// The most notes that are held: one a topic for each of this many proxies and topics. A note of a proxy and topic
/// not yet held is dropped past it, and counted.
pub const NOTES_MOST: usize = 4096;
/// The most bytes of a note's body.
pub const NOTE_BYTES_MOST: usize = 512;

/// What one proxy tells the others about one topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The proxy that wrote it: the address that others send to.
    pub origin: SocketAddrV4,
    /// The generation of the process that wrote it: a restarted one writes with a higher one.
    pub generation: u64,
    /// What it is about.
    pub topic: u8,
    /// Its version within the generation: each new note of the same topic has a higher one.
    pub version: u64,
    /// What it says; the topic's owner reads it.
    pub body: Vec<u8>,
}

impl Note {
    /// Whether this note is newer than `other` of the same proxy and topic.
    pub fn newer_than(&self, other: &Note) -> bool {
        (self.generation, self.version) > (other.generation, other.version)
    }

    fn key(&self) -> Key {
        Key { origin: self.origin, topic: self.topic, generation: self.generation, version: self.version }
    }
}

/// What foca keeps of a note while it passes it on: the newer one of a proxy and topic replaces the older.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    origin: SocketAddrV4,
    topic: u8,
    generation: u64,
    version: u64,
}

impl Invalidates for Key {
    fn invalidates(&self, other: &Self) -> bool {
        self.origin == other.origin
            && self.topic == other.topic
            && (self.generation, self.version) >= (other.generation, other.version)
    }
}

/// The notes that are held, and counts of what was done with those that came.
#[derive(Debug, Default)]
pub struct Board {
    notes: BTreeMap<(SocketAddrV4, u8), Note>,
    /// Notes that were newer than what was held.
    pub taken: u64,
    /// Notes that were as old as or older than what was held: duplicates, replays and stale copies.
    pub stale: u64,
    /// Notes that could not be read, or were too large.
    pub unread: u64,
    /// Notes dropped since the board was full.
    pub dropped: u64,
}

impl Board {
    /// The newest note of a proxy and topic.
    pub fn get(&self, origin: SocketAddrV4, topic: u8) -> Option<&Note> {
        self.notes.get(&(origin, topic))
    }

    /// All notes of a topic, by proxy.
    pub fn topic(&self, topic: u8) -> impl Iterator<Item = &Note> {
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

    /// Takes a note if it is newer than the one held; true if it was.
    pub fn offer(&mut self, note: Note) -> bool {
        if note.body.len() > NOTE_BYTES_MOST {
            self.unread += 1;
            return false;
        }
        let slot = (note.origin, note.topic);
        match self.notes.get(&slot) {
            Some(held) if !note.newer_than(held) => {
                self.stale += 1;
                false
            }
            None if self.notes.len() >= NOTES_MOST => {
                self.dropped += 1;
                false
            }
            _ => {
                self.taken += 1;
                self.notes.insert(slot, note);
                true
            }
        }
    }

    /// Forgets the notes of a proxy, where it is known to be gone for good.
    pub fn forget(&mut self, origin: SocketAddrV4) {
        self.notes.retain(|(from, _), _| *from != origin);
    }
}

/// The board as foca's handler of broadcasts: shared with the owner, who reads it between calls.
pub(crate) struct Handler(pub(crate) Rc<RefCell<Board>>);

/// A note that cannot be read.
#[derive(Debug)]
pub struct Unreadable;

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a note that cannot be read")
    }
}

impl std::error::Error for Unreadable {}

impl<T> BroadcastHandler<T> for Handler {
    type Key = Key;
    type Error = Unreadable;

    fn receive_item(&mut self, data: &[u8], _sender: Option<&T>) -> Result<Option<Key>, Unreadable> {
        let Ok(note) = postcard::from_bytes::<Note>(data) else {
            self.0.borrow_mut().unread += 1;
            return Err(Unreadable);
        };
        let key = note.key();
        Ok(self.0.borrow_mut().offer(note).then_some(key))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn note(origin: u16, generation: u64, version: u64) -> Note {
        let origin = SocketAddrV4::new([127, 0, 0, 1].into(), origin);
        Note { origin, generation, topic: 1, version, body: vec![version as u8] }
    }

    #[test]
    fn only_a_newer_note_of_a_proxy_and_topic_is_taken() {
        let mut board = Board::default();
        assert!(board.offer(note(1, 1, 5)));
        assert!(!board.offer(note(1, 1, 5)), "a duplicate");
        assert!(!board.offer(note(1, 1, 4)), "a replay of an older one");
        assert!(board.offer(note(1, 2, 0)), "a restarted process");
        assert!(!board.offer(note(1, 1, 99)), "the old process's, however high its version");
        assert!(board.offer(note(2, 1, 1)));
        assert_eq!((board.taken, board.stale, board.len()), (3, 3, 2));
        assert_eq!(board.get(note(1, 0, 0).origin, 1).map(|n| n.generation), Some(2));
    }

    #[test]
    fn the_board_is_bounded_and_counts_what_it_drops() {
        let mut board = Board::default();
        for origin in 0..(NOTES_MOST + 10) as u16 {
            board.offer(note(origin, 1, 1));
        }
        assert_eq!((board.len(), board.dropped), (NOTES_MOST, 10));
        let big = Note { body: vec![0; NOTE_BYTES_MOST + 1], ..note(1, 9, 9) };
        assert!(!board.offer(big));
        assert_eq!(board.unread, 1);
    }

    #[test]
    fn a_newer_key_invalidates_an_older_one_of_the_same_proxy_and_topic_only() {
        let (old, new, other) = (note(1, 1, 1).key(), note(1, 1, 2).key(), note(2, 1, 3).key());
        assert!(new.invalidates(&old));
        assert!(!old.invalidates(&new));
        assert!(!other.invalidates(&old));
    }
}
