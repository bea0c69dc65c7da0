//! The merge laws of the closed times, and that what moves a fact is the same in any order, lost or doubled parts
//! costing look-ups only.

use proptest::prelude::*;
use wharfplank_negative_cache::{Closed, Fact, Facts, Key, Mark, Micros, Seal, Terms};

const NOW: Micros = 20_000_000;
const BANKS: u32 = 2;

fn seals() -> impl Strategy<Value = Vec<Seal>> {
    let marks = prop::collection::vec(0u32..6, 0..3);
    let seal = (0..BANKS, 0i64..2, 60i64..76, prop::bool::weighted(0.05), marks).prop_map(
        |(bank, launch, slot, every, marks)| {
            let marks = marks.into_iter().map(Mark).collect();
            Seal { bank, launch, slot, every, marks }
        },
    );
    prop::collection::vec(seal, 0..60)
}

fn taken<'a>(seals: impl IntoIterator<Item = &'a Seal>) -> Closed {
    let mut closed = Closed::new(Terms::default(), BANKS as usize, NOW);
    seals.into_iter().for_each(|seal| {
        closed.take(NOW, seal);
    });
    closed.refused = 0;
    closed
}

fn merged(a: &Closed, b: &Closed) -> Closed {
    let mut both = a.clone();
    both.merge(b);
    both
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in seals(), b in seals(), c in seals()) {
        let (a, b, c) = (taken(&a), taken(&b), taken(&c));
        prop_assert_eq!(&merged(&a, &b), &merged(&b, &a));
        prop_assert_eq!(&merged(&merged(&a, &b), &c), &merged(&a, &merged(&b, &c)));
        prop_assert_eq!(&merged(&a, &a), &a);
    }

    #[test]
    fn seals_make_the_same_in_any_order_twice_or_by_way_of_others(
        all in seals(), order in Just((0..60).collect::<Vec<usize>>()).prop_shuffle(), cut in 0usize..60,
    ) {
        let shuffled: Vec<&Seal> = order.iter().filter_map(|n| all.get(*n)).collect();
        prop_assert_eq!(&taken(&all), &taken(shuffled.iter().copied().chain(&all)));
        let (one, two) = all.split_at(cut.min(all.len()));
        prop_assert_eq!(&taken(&all), &merged(&taken(one), &taken(two)));
    }

    /// Rumours of facts end: each of them changes what is held once at most, and all proxies come to hold the same.
    #[test]
    fn of_facts_told_in_any_order_the_same_stays(
        told in prop::collection::vec((0i64..4, 0u32..3, 0u32..2), 1..8), other in Just((0..8).collect::<Vec<usize>>()).prop_shuffle(),
    ) {
        let fact = |(position, primary, answer): (i64, u32, u32)| Fact { position, ends: NOW, mark: Mark(1), primary, answer };
        let mut tables = [Facts::new(10, 10), Facts::new(10, 10)];
        told.iter().for_each(|t| { tables[0].put(Key(1), fact(*t)); });
        other.iter().filter_map(|n| told.get(*n)).for_each(|t| { tables[1].put(Key(1), fact(*t)); });
        prop_assert!(told.iter().all(|t| !tables[0].put(Key(1), fact(*t))));
        let [one, two] = tables.map(|mut table| table.ask(Key(1), |fact| *fact));
        prop_assert_eq!(one, two);
    }

    /// What is lost moves a fact less far, never further; and it crosses no slot that some bank has not sealed, nor
    /// one in which its key was marked.
    #[test]
    fn a_fact_crosses_only_what_all_banks_sealed_without_its_key(all in seals(), kept in prop::collection::vec(any::<bool>(), 60), at in 60i64..76) {
        let terms = Terms::default();
        let launches: Vec<Micros> = (0..BANKS).map(|b| all.iter().filter(|s| s.bank == b).map(|s| s.launch).max().unwrap_or(0)).collect();
        let position = at * terms.slot + 7;
        let some: Vec<&Seal> = all.iter().zip(kept).filter(|(_, kept)| *kept).map(|(seal, _)| seal).collect();
        for seals in [all.iter().collect::<Vec<_>>(), some] {
            let to = taken(seals.iter().copied()).forward(position, Mark(1), Mark(5));
            prop_assert!(to >= position);
            for slot in (at..).take_while(|slot| terms.end_of(*slot) <= to) {
                let within: Vec<_> = seals.iter().filter(|s| s.slot == slot).collect();
                prop_assert!(!within.iter().any(|s| s.every || s.marks.contains(&Mark(1)) || s.marks.contains(&Mark(5))));
                prop_assert!((0..BANKS).all(|b| within.iter().any(|s| s.bank == b && s.launch <= launches[b as usize])));
            }
        }
    }
}
