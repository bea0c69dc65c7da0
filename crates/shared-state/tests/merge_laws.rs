//! Property tests of the merge laws for every kind of entry and for whole stores, and of robustness against
//! arbitrary and damaged input.

use proptest::prelude::*;
use std::net::SocketAddrV4;
use wharfplank_shared_state::snapshot::SnapshotError;
use wharfplank_shared_state::{
    Entry, Frame, HybridTimestamp, Key, MemberStatus, SharedState, SharedStateConfig, Store, Value,
    WriteOutcome,
};

const NOW: i64 = 1_000_000;

fn value(kind: u8) -> BoxedStrategy<Value> {
    match kind {
        0 => (0..4_i64, 0..4_i64).prop_map(|(epoch, position)| Value::Position { epoch, position }).boxed(),
        1 => (0..4_i64, 0..3_u32, 0..3_u64, any::<bool>())
            .prop_map(|(wall, counter, process, suspected)| Value::MemberStatus {
                timestamp: HybridTimestamp { wall, counter, process },
                status: if suspected { MemberStatus::Suspected } else { MemberStatus::Alive },
            })
            .boxed(),
        2 => (0..5_u64).prop_map(Value::Counter).boxed(),
        _ => prop_oneof![
            Just(WriteOutcome::InDoubt),
            Just(WriteOutcome::NotExecuted),
            Just(WriteOutcome::Executed)
        ]
        .prop_map(Value::WriteOutcome)
        .boxed(),
    }
}

fn key(kind: u8, n: u64) -> Key {
    match kind {
        0 => Key::Position(n),
        1 => Key::MemberStatus(n),
        2 => Key::Counter { counter: n as u32, process: n },
        _ => Key::WriteOutcome(n),
    }
}

fn entry(kind: u8) -> impl Strategy<Value = Entry> {
    (value(kind), 0..4_i64).prop_map(|(value, offset)| Entry::new(value, NOW + offset))
}

/// Generates three entries of one kind.
fn entry_triple() -> impl Strategy<Value = (Entry, Entry, Entry)> {
    (0..4_u8).prop_flat_map(|kind| (entry(kind), entry(kind), entry(kind)))
}

fn entries() -> impl Strategy<Value = Vec<(Key, Entry)>> {
    let keyed_entry = (0..4_u8, 0..6_u64).prop_flat_map(|(kind, n)| (Just(key(kind, n)), entry(kind)));
    prop::collection::vec(keyed_entry, 0..40)
}

fn merged(mut a: Entry, b: Entry) -> Entry {
    a.merge(&b);
    a
}

fn store_of(entries: &[(Key, Entry)]) -> Store {
    let mut store = Store::default();
    entries.iter().for_each(|(key, entry)| {
        store.merge(*key, entry, NOW);
    });
    store
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent((a, b, c) in entry_triple()) {
        prop_assert_eq!(merged(a, b), merged(b, a));
        prop_assert_eq!(merged(merged(a, b), c), merged(a, merged(b, c)));
        prop_assert_eq!(merged(a, a), a);
        let mut both = merged(a, b);
        prop_assert!(!both.merge(&a) && !both.merge(&b), "merging a copy again changed the entry");
    }

    #[test]
    fn stores_are_equal_for_any_merge_order_and_repetition(
        (entries, shuffled) in entries().prop_flat_map(|f| (Just(f.clone()), Just(f).prop_shuffle())),
        again in 0..40_usize,
    ) {
        let one = store_of(&entries);
        let twice: Vec<_> = shuffled.iter().chain(shuffled.iter().take(again)).copied().collect();
        let two = store_of(&twice);
        prop_assert_eq!(one.digest(), two.digest());
        prop_assert!(one.iter().eq(two.iter()));
        // Different stores have different digests.
        if let Some((key, _)) = entries.first() {
            let others: Vec<_> = entries.iter().filter(|(k, _)| k != key).copied().collect();
            prop_assert_ne!(store_of(&others).digest(), one.digest());
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let from: SocketAddrV4 = "127.0.0.1:1".parse().unwrap();
        let mut state = SharedState::new(1, SharedStateConfig::default(), 1, NOW);
        state.on_message(NOW, from, &bytes);
        prop_assert!(state.restore(NOW, &bytes).is_err());
        if let Ok(frame) = Frame::decode(&bytes) {
            state.on_message(NOW, from, frame.shared_state);
        }
        let frame = Frame { membership: &bytes, shared_state: b"behind" };
        let datagram = frame.encode();
        prop_assert_eq!(Frame::decode(&datagram), Ok(frame));
    }
}

#[test]
fn old_or_damaged_snapshot_restores_nothing() {
    let hour = 3_600_000_000;
    let mut state = SharedState::new(1, SharedStateConfig::default(), 1, 0);
    (0..50).for_each(|member| state.record_member_status(0, member, MemberStatus::Suspected));
    state.record_position(0, 1, 1, 7);
    let bytes = state.snapshot(0);
    let mut fresh = SharedState::new(2, SharedStateConfig::default(), 1, 0);
    assert_eq!(fresh.restore(1_000_000, &bytes), Ok(51), "a recent snapshot must be restored");
    let mut later = SharedState::new(2, SharedStateConfig::default(), 1, hour);
    assert_eq!(later.restore(hour, &bytes), Ok(0), "entries of an hour-old snapshot were restored");
    assert!(later.store().is_empty() && later.take_updates().is_empty());
    let mut cut = bytes.clone();
    cut.truncate(bytes.len() - 1);
    assert_eq!(later.restore(0, &cut), Err(SnapshotError::Damaged));
    let mut changed = bytes;
    changed[20] ^= 1;
    assert_eq!(later.restore(0, &changed), Err(SnapshotError::Damaged));
}
