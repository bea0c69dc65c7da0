//! Tests of which notes are stored and which replace others during dissemination.

use foca::Invalidates;
use std::net::SocketAddrV4;
use wharfplank_gossip::{Note, NoteStore, RejectedNote, MAX_NOTES, MAX_NOTE_BYTES};

fn note(port: u16, generation: u64, version: u64) -> Note {
    let origin = SocketAddrV4::new([127, 0, 0, 1].into(), port);
    Note { origin, generation, topic: 1, version, body: vec![version as u8] }
}

#[test]
fn only_newer_notes_are_stored() {
    let mut store = NoteStore::default();
    assert_eq!(store.insert(note(1, 1, 5)), Ok(()));
    assert_eq!(store.insert(note(1, 1, 5)), Err(RejectedNote::Stale), "a duplicate");
    assert_eq!(store.insert(note(1, 1, 4)), Err(RejectedNote::Stale), "a replay of an older note");
    assert_eq!(store.insert(note(1, 2, 0)), Ok(()), "a note of a restarted process");
    assert_eq!(
        store.insert(note(1, 1, 99)),
        Err(RejectedNote::Stale),
        "a note of the old process with a higher version"
    );
    assert_eq!(store.insert(note(2, 1, 1)), Ok(()));
    assert_eq!((store.accepted, store.stale, store.len()), (3, 3, 2));
    assert_eq!(store.get(note(1, 0, 0).origin, 1).map(|note| note.generation), Some(2));
}

#[test]
fn full_store_drops_and_counts_new_notes() {
    let mut store = NoteStore::default();
    for port in 0..(MAX_NOTES + 10) as u16 {
        let expected = if usize::from(port) < MAX_NOTES { Ok(()) } else { Err(RejectedNote::Full) };
        assert_eq!(store.insert(note(port, 1, 1)), expected);
    }
    assert_eq!((store.len(), store.dropped), (MAX_NOTES, 10));
    let large = Note { body: vec![0; MAX_NOTE_BYTES + 1], ..note(1, 9, 9) };
    assert_eq!(store.insert(large), Err(RejectedNote::TooLarge));
    assert_eq!(store.invalid, 1);
}

#[test]
fn newer_key_invalidates_older_of_same_proxy_and_topic() {
    let (old, new, other) = (note(1, 1, 1).key(), note(1, 1, 2).key(), note(2, 1, 3).key());
    assert!(new.invalidates(&old));
    assert!(!old.invalidates(&new));
    assert!(!other.invalidates(&old));
}
