//! The laws of merging summaries: order and grouping do not matter, and nothing grows without bound.

use proptest::prelude::*;
use wharfplank_health::{MemberSummary, Micros, WindowCounts, WINDOW_COUNT, WINDOW_LENGTH};

fn counts() -> impl Strategy<Value = WindowCounts> {
    (0_u32..100, -1000_i64..1000, 0_u32..9, 0_u32..9, 0_u32..9, 0_u32..5000).prop_map(
        |(answers, log_ratio_sum, errors, rejections, unreachable, max_lag_ms)| WindowCounts {
            answers,
            log_ratio_sum,
            errors,
            rejections,
            unreachable,
            max_lag_ms,
        },
    )
}

fn seen() -> impl Strategy<Value = Vec<(Micros, WindowCounts)>> {
    proptest::collection::vec((0..WINDOW_LENGTH * 3 * WINDOW_COUNT as Micros, counts()), 0..12)
}

fn summary() -> impl Strategy<Value = MemberSummary> {
    (0_i64..3, seen()).prop_map(|(incarnation_ms, seen)| {
        let mut summary = MemberSummary::new(incarnation_ms);
        seen.iter().for_each(|(at, counts)| summary.add(*at, counts));
        summary
    })
}

fn merged(one: &MemberSummary, other: &MemberSummary) -> MemberSummary {
    let mut merged = *one;
    merged.merge(other);
    merged
}

proptest! {
    #[test]
    fn merging_is_commutative_and_associative(a in summary(), b in summary(), c in summary()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &MemberSummary::new(a.incarnation_ms)), a);
    }

    #[test]
    fn two_partial_summaries_merge_to_the_complete_one(mut all in seen(), cut in 0_usize..12) {
        let of = |seen: &[(Micros, WindowCounts)]| {
            let mut summary = MemberSummary::new(1);
            seen.iter().for_each(|(at, counts)| summary.add(*at, counts));
            summary
        };
        let cut = cut.min(all.len());
        let apart = merged(&of(&all[..cut]), &of(&all[cut..]));
        prop_assert_eq!(apart, of(&all));
        all.reverse();
        prop_assert_eq!(apart, of(&all));
        let now = WINDOW_LENGTH * 10 * WINDOW_COUNT as Micros;
        prop_assert_eq!(apart.total(now), WindowCounts::default(), "what is old does not count");
    }
}
