//! Properties of merging summaries: it is commutative and associative, and old counts expire.

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

fn timed_counts() -> impl Strategy<Value = Vec<(Micros, WindowCounts)>> {
    proptest::collection::vec((0..WINDOW_LENGTH * 3 * WINDOW_COUNT as Micros, counts()), 0..12)
}

fn summary() -> impl Strategy<Value = MemberSummary> {
    (0_i64..3, timed_counts()).prop_map(|(incarnation_ms, timed_counts)| {
        let mut summary = MemberSummary::new(incarnation_ms);
        timed_counts.iter().for_each(|(at, counts)| summary.add(*at, counts));
        summary
    })
}

fn merged(left: &MemberSummary, right: &MemberSummary) -> MemberSummary {
    let mut merged = *left;
    merged.merge(right);
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
    fn partial_summaries_merge_to_a_complete_one(mut all_counts in timed_counts(), split_at in 0_usize..12) {
        let summarize = |timed_counts: &[(Micros, WindowCounts)]| {
            let mut summary = MemberSummary::new(1);
            timed_counts.iter().for_each(|(at, counts)| summary.add(*at, counts));
            summary
        };
        let split_at = split_at.min(all_counts.len());
        let merged_parts = merged(&summarize(&all_counts[..split_at]), &summarize(&all_counts[split_at..]));
        prop_assert_eq!(merged_parts, summarize(&all_counts));
        all_counts.reverse();
        prop_assert_eq!(merged_parts, summarize(&all_counts));
        let now = WINDOW_LENGTH * 10 * WINDOW_COUNT as Micros;
        prop_assert_eq!(merged_parts.total(now), WindowCounts::default(), "expired windows do not count");
    }
}
