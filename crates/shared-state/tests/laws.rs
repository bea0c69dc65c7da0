//! The laws of merging, for every kind of entry and for whole tables; and what damaged or foreign bytes do.

use proptest::prelude::*;
use std::net::SocketAddrV4;
use wharfplank_shared_state::{
    frame, snapshot, unframe, Doubt, Entry, Key, Mark, Replica, Stamp, Store, Terms, Value,
};

const NOW: i64 = 1_000_000;

fn value(kind: u8) -> BoxedStrategy<Value> {
    match kind {
        0 => (0..4_i64, 0..4_i64).prop_map(|(epoch, at)| Value::Position { epoch, at }).boxed(),
        1 => (0..4_i64, 0..3_u32, 0..3_u64, any::<bool>())
            .prop_map(|(wall, count, by, suspected)| Value::Mark {
                stamp: Stamp { wall, count, by },
                mark: if suspected { Mark::Suspected } else { Mark::Clear },
            })
            .boxed(),
        2 => (0..5_u64).prop_map(Value::Count).boxed(),
        _ => prop_oneof![Just(Doubt::Open), Just(Doubt::NotRun), Just(Doubt::Ran)]
            .prop_map(Value::Doubt)
            .boxed(),
    }
}

fn key(kind: u8, n: u64) -> Key {
    match kind {
        0 => Key::Position(n),
        1 => Key::Mark(n),
        2 => Key::Count(n as u32, n),
        _ => Key::Doubt(n),
    }
}

fn entry(kind: u8) -> impl Strategy<Value = Entry> {
    (value(kind), 0..4_i64).prop_map(|(value, wall)| Entry::new(value, NOW + wall))
}

/// Three entries of one kind.
fn three() -> impl Strategy<Value = (Entry, Entry, Entry)> {
    (0..4_u8).prop_flat_map(|kind| (entry(kind), entry(kind), entry(kind)))
}

fn facts() -> impl Strategy<Value = Vec<(Key, Entry)>> {
    let fact = (0..4_u8, 0..6_u64).prop_flat_map(|(kind, n)| (Just(key(kind, n)), entry(kind)));
    prop::collection::vec(fact, 0..40)
}

fn joined(mut a: Entry, b: Entry) -> Entry {
    a.join(&b);
    a
}

fn held(facts: &[(Key, Entry)]) -> Store {
    let mut store = Store::default();
    facts.iter().for_each(|(key, entry)| {
        store.offer(*key, entry, NOW);
    });
    store
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent((a, b, c) in three()) {
        prop_assert_eq!(joined(a, b), joined(b, a));
        prop_assert_eq!(joined(joined(a, b), c), joined(a, joined(b, c)));
        prop_assert_eq!(joined(a, a), a);
        let mut merged = joined(a, b);
        prop_assert!(!merged.join(&a) && !merged.join(&b), "a copy merged again changed something");
    }

    #[test]
    fn tables_that_took_the_same_in_any_order_and_number_are_equal(
        (facts, shuffled) in facts().prop_flat_map(|f| (Just(f.clone()), Just(f).prop_shuffle())),
        again in 0..40_usize,
    ) {
        let one = held(&facts);
        let twice: Vec<_> = shuffled.iter().chain(shuffled.iter().take(again)).copied().collect();
        let two = held(&twice);
        prop_assert_eq!(one.digest(), two.digest());
        prop_assert!(one.iter().eq(two.iter()));
        // The digest tells tables that differ apart.
        if let Some((key, _)) = facts.first() {
            let less: Vec<_> = facts.iter().filter(|(k, _)| k != key).copied().collect();
            prop_assert_ne!(held(&less).digest(), one.digest());
        }
    }

    #[test]
    fn bytes_of_any_kind_never_break_a_copy(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let from: SocketAddrV4 = "127.0.0.1:1".parse().unwrap();
        let mut replica = Replica::new(1, Terms::default(), 1, NOW);
        replica.received(NOW, from, &bytes);
        prop_assert!(replica.restore(NOW, &bytes).is_err());
        if let Some((_, message)) = unframe(&bytes) {
            replica.received(NOW, from, message);
        }
        let framed = frame(&bytes, b"behind");
        prop_assert_eq!(unframe(&framed), Some((&bytes[..], &b"behind"[..])));
    }
}

#[test]
fn an_old_or_damaged_snapshot_brings_nothing_back() {
    let hour = 3_600_000_000;
    let mut replica = Replica::new(1, Terms::default(), 1, 0);
    (0..50).for_each(|member| replica.suspects(0, member, true));
    replica.position(0, 1, 1, 7);
    let bytes = replica.snapshot(0);
    let mut fresh = Replica::new(2, Terms::default(), 1, 0);
    assert_eq!(fresh.restore(1_000_000, &bytes), Ok(51), "a young one is believed");
    let mut later = Replica::new(2, Terms::default(), 1, hour);
    assert_eq!(later.restore(hour, &bytes), Ok(0), "an hour old");
    assert!(later.store().is_empty() && later.take_news().is_empty());
    let mut cut = bytes.clone();
    cut.truncate(bytes.len() - 1);
    assert_eq!(later.restore(0, &cut), Err(snapshot::Fault::Damaged));
    let mut changed = bytes;
    changed[20] ^= 1;
    assert_eq!(later.restore(0, &changed), Err(snapshot::Fault::Damaged));
}
