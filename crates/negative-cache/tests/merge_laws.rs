//! Property tests of merging: closed timestamps and tables of entries end in the same state in whatever order
//! seals and announcements arrive. Lost or duplicate seals only cost reads at members.

use proptest::prelude::*;
use wharfplank_negative_cache::{
    ClosedTimestamps, EntryTable, KeyHash, Micros, NegativeCacheConfig, NegativeEntry, SealedSlot,
    StatementHash,
};

const NOW: Micros = 20_000_000;
const SERVERS: u32 = 2;

fn seals() -> impl Strategy<Value = Vec<SealedSlot>> {
    let keys = prop::collection::vec(0u32..6, 0..3);
    let seal = (0..SERVERS, 0i64..2, 60i64..76, prop::bool::weighted(0.05), keys).prop_map(
        |(server, incarnation, slot, all_keys, keys)| {
            let keys = keys.into_iter().map(KeyHash).collect();
            SealedSlot { server, incarnation, slot, all_keys, keys }
        },
    );
    prop::collection::vec(seal, 0..60)
}

fn applied<'a>(seals: impl IntoIterator<Item = &'a SealedSlot>) -> ClosedTimestamps {
    let mut closed = ClosedTimestamps::new(NegativeCacheConfig::default(), SERVERS as usize, NOW);
    seals.into_iter().for_each(|seal| {
        closed.apply(NOW, seal);
    });
    closed.rejected = 0;
    closed
}

fn merged(a: &ClosedTimestamps, b: &ClosedTimestamps) -> ClosedTimestamps {
    let mut both = a.clone();
    both.merge(b);
    both
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in seals(), b in seals(), c in seals()) {
        let (a, b, c) = (applied(&a), applied(&b), applied(&c));
        prop_assert_eq!(&merged(&a, &b), &merged(&b, &a));
        prop_assert_eq!(&merged(&merged(&a, &b), &c), &merged(&a, &merged(&b, &c)));
        prop_assert_eq!(&merged(&a, &a), &a);
    }

    #[test]
    fn seals_are_order_independent_idempotent_and_mergeable(
        all in seals(), order in Just((0..60).collect::<Vec<usize>>()).prop_shuffle(), cut in 0usize..60,
    ) {
        let shuffled: Vec<&SealedSlot> = order.iter().filter_map(|n| all.get(*n)).collect();
        prop_assert_eq!(&applied(&all), &applied(shuffled.iter().copied().chain(&all)));
        let (one, two) = all.split_at(cut.min(all.len()));
        prop_assert_eq!(&applied(&all), &merged(&applied(one), &applied(two)));
    }

    /// Forwarding of announcements terminates, because each of them changes a table at most once, and all
    /// proxies end up with the same entry.
    #[test]
    fn announced_entries_converge_in_any_order(
        announced in prop::collection::vec((0i64..4, 0u32..3, 0u32..2), 1..8),
        permutation in Just((0..8).collect::<Vec<usize>>()).prop_shuffle(),
    ) {
        let entry = |(position, primary, response): (i64, u32, u32)|
            NegativeEntry { position, expires_at: NOW, key: KeyHash(1), primary, response };
        let mut tables = [EntryTable::new(10, 10), EntryTable::new(10, 10)];
        announced.iter().for_each(|t| { tables[0].insert(StatementHash(1), entry(*t)); });
        permutation.iter().filter_map(|n| announced.get(*n)).for_each(|t| {
            tables[1].insert(StatementHash(1), entry(*t));
        });
        prop_assert!(announced.iter().all(|t| !tables[0].insert(StatementHash(1), entry(*t))));
        let [one, two] = tables.map(|mut table| table.access(StatementHash(1), |entry| *entry));
        prop_assert_eq!(one, two);
    }

    /// An entry never crosses a slot that some server has not sealed, or in which its key was written, with
    /// all seals as well as with some of them lost.
    #[test]
    fn entry_crosses_only_slots_sealed_without_its_key(
        all in seals(), kept in prop::collection::vec(any::<bool>(), 60), first_slot in 60i64..76
    ) {
        let config = NegativeCacheConfig::default();
        let incarnations: Vec<Micros> = (0..SERVERS)
            .map(|index| all.iter().filter(|s| s.server == index).map(|s| s.incarnation).max().unwrap_or(0))
            .collect();
        let position = first_slot * config.slot_length + 7;
        let kept_seals: Vec<&SealedSlot> =
            all.iter().zip(kept).filter(|(_, kept)| *kept).map(|(seal, _)| seal).collect();
        for seals in [all.iter().collect::<Vec<_>>(), kept_seals] {
            let to = applied(seals.iter().copied()).advance_position(position, KeyHash(1), KeyHash(5));
            prop_assert!(to >= position);
            for slot in (first_slot..).take_while(|slot| config.slot_end(*slot) <= to) {
                let slot_seals: Vec<_> = seals.iter().filter(|s| s.slot == slot).collect();
                prop_assert!(!slot_seals
                    .iter()
                    .any(|s| s.all_keys || s.keys.contains(&KeyHash(1)) || s.keys.contains(&KeyHash(5))));
                prop_assert!((0..SERVERS).all(|index| slot_seals
                    .iter()
                    .any(|s| s.server == index && s.incarnation <= incarnations[index as usize])));
            }
        }
    }
}
