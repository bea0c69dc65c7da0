//! Tests of the store's bounds: eviction, times to live and rejected entries.

use wharfplank_shared_state::{Entry, Key, MergeOutcome, Micros, Store, Value, WriteOutcome, MAX_CLOCK_SKEW};

fn position(member: u64, position: Micros, refreshed_at: Micros) -> (Key, Entry) {
    (Key::Position(member), Entry::new(Value::Position { epoch: 1, position }, refreshed_at))
}

fn in_doubt(refreshed_at: Micros) -> Entry {
    Entry::new(Value::WriteOutcome(WriteOutcome::InDoubt), refreshed_at)
}

#[test]
fn store_is_bounded_and_keeps_writes_in_doubt() {
    let mut store = Store::new(4);
    for write in 0..4 {
        assert_eq!(store.merge(Key::WriteOutcome(write), &in_doubt(10), 10), MergeOutcome::Updated);
    }
    let (key, entry) = position(1, 5, 10);
    assert_eq!(store.merge(key, &entry, 10), MergeOutcome::Full, "a position evicted a write in doubt");
    let mut store = Store::new(4);
    for member in 0..100 {
        let (key, entry) = position(member, 5, 10 + member as Micros);
        store.merge(key, &entry, 10);
    }
    assert_eq!((store.len(), store.dropped), (4, 96));
    assert!(store.get(&Key::Position(99)).is_some(), "the newest entry must not be evicted");
    assert_eq!(store.merge(Key::WriteOutcome(1), &in_doubt(10), 10), MergeOutcome::Updated);
}

#[test]
fn expired_entry_is_not_accepted_again() {
    let mut store = Store::default();
    let empty = store.digest();
    let (key, entry) = position(1, 5, 0);
    store.merge(key, &entry, 0);
    assert_ne!(store.digest(), empty);
    store.expire(key.time_to_live());
    assert_eq!(store.len(), 1);
    store.expire(key.time_to_live() + 1);
    assert_eq!((store.len(), store.digest()), (0, empty));
    assert_eq!(store.merge(key, &entry, key.time_to_live() + 1), MergeOutcome::Rejected);
    let ahead = Entry::new(Value::Position { epoch: 1, position: 5 }, MAX_CLOCK_SKEW + 1);
    assert_eq!(
        store.merge(key, &ahead, 0),
        MergeOutcome::Rejected,
        "accepted an entry beyond the allowed clock skew"
    );
    let counter = Entry::new(Value::Counter(1), 0);
    assert_eq!(
        store.merge(key, &counter, 0),
        MergeOutcome::Rejected,
        "accepted a counter under a position key"
    );
    assert_eq!(store.rejected, 3);
}
