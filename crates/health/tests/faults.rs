//! Faults around a verdict: liars, bad links, replays, restarts, members that flap or get no traffic.

mod common;
use common::{Fleet, Liar, SECOND};
use wharfplank_health::{
    weighted_median, HealthMonitor, HealthObservation, MemberSummary, Outcome, Proxy, ReportedObservation,
    Verdict, WeightedScore,
};

/// The log ratios that a liar claims: the worst and the best.
const BAD: i16 = i16::MAX;
const GOOD: i16 = i16::MIN;

#[test]
fn a_slow_member_is_named_by_all_and_a_silent_one_is_out() {
    for proxies in [3, 30] {
        let mut fleet = Fleet::new(proxies, 8, 1);
        fleet.run(6 * SECOND, |_| {});
        fleet.slowness[2] = 3.0;
        fleet.slowness[5] = f64::INFINITY;
        fleet.run(6 * SECOND, |_| {});
        assert_eq!((fleet.naming(2), fleet.naming(5)), (proxies, proxies));
        assert!(fleet
            .proxies
            .iter()
            .all(|proxy| proxy.verdict(5) == Verdict::Out && proxy.verdict(2) == Verdict::Degraded));
        fleet.slowness[2] = 1.0;
        fleet.run(20 * SECOND, |_| {});
        assert_eq!((fleet.naming(2), fleet.naming(5)), (0, proxies), "one is well again, the other is not");
    }
}

#[test]
fn a_liar_or_a_tenth_of_the_proxies_moves_no_verdict() {
    for (proxies, liars) in [(3, 1), (30, 3), (100, 10)] {
        for (about, log_ratio) in [(Some(1), BAD), (None, BAD), (Some(2), GOOD), (None, GOOD)] {
            let mut fleet = Fleet::new(proxies, 8, 7);
            fleet.liars = (0..liars).map(|n| (n * 7 % proxies, Liar { about, log_ratio })).collect();
            fleet.run(6 * SECOND, |_| {});
            assert_eq!(fleet.wrongly_named(None), 0, "{liars} of {proxies} named a sound member");
            fleet.slowness[2] = 3.0;
            // One of three delays the milder of two reports for some evaluations; it does not prevent the verdict.
            fleet.run(10 * SECOND, |_| {});
            assert_eq!(fleet.wrongly_named(Some(2)), 0, "{liars} of {proxies} named a sound member");
            assert_eq!(fleet.naming(2), proxies, "{liars} of {proxies} kept a slow member from being named");
        }
    }
}

#[test]
fn no_claimed_weight_counts_for_more_than_the_median_one() {
    let median = |scores: &[(f64, u64)]| {
        let scores: Vec<WeightedScore> =
            scores.iter().map(|(score, weight)| WeightedScore { score: *score, weight: *weight }).collect();
        weighted_median(&scores)
    };
    assert_eq!(median(&[(2.0, 60_000), (0.0, 5), (0.1, 7)]), Some(0.1));
    assert_eq!(median(&[(2.0, 60_000), (0.0, 5)]), Some(0.0), "of two the milder one");
    assert_eq!(median(&[]), None);
}

#[test]
fn a_reporter_with_a_bad_link_is_not_counted() {
    let mut fleet = Fleet::new(3, 8, 3);
    fleet.run(6 * SECOND, |_| {});
    fleet.link[1] = 6.0;
    fleet.run(10 * SECOND, |f| assert_eq!(f.wrongly_named(None), 0));
    // Even two of three that report every member as bad are not believed.
    fleet.link[1] = 1.0;
    fleet.liars = [0, 1].map(|proxy| (proxy, Liar { about: None, log_ratio: BAD })).into();
    fleet.run(10 * SECOND, |f| assert_eq!(f.wrongly_named(None), 0));
}

#[test]
fn evidence_of_another_incarnation_or_of_old_windows_does_not_count() {
    let now = 1_000 * SECOND;
    let observed = |incarnation_ms, at| HealthObservation {
        incarnation_ms,
        newest_window: MemberSummary::window_at(at),
        log_ratio: 128,
        samples: 20,
        ..HealthObservation::default()
    };
    let evaluated = |incarnation_ms, observation: HealthObservation| {
        let mut monitor = HealthMonitor::new(1);
        monitor.set_proxies((1..=3).map(|id| Proxy { id, zone: 0 }));
        (0..4).for_each(|member| monitor.track_member(member, 0, incarnation_ms));
        for evaluation in 0..8 {
            let report = |reporter| ReportedObservation { member: 0, reporter, observation };
            monitor.evaluate(now + evaluation * 250_000, [1, 2].map(report).into_iter());
        }
        monitor
    };
    assert_eq!(
        evaluated(7, observed(7, now)).verdict(0),
        Verdict::Out,
        "what is new and of this incarnation counts"
    );
    assert_eq!(evaluated(8, observed(7, now)).verdict(0), Verdict::Sound, "of the process before");
    assert_eq!(evaluated(7, observed(7, now - 10 * SECOND)).verdict(0), Verdict::Sound, "of long before");
    assert_eq!(
        evaluated(7, observed(7, now + 10 * SECOND)).verdict(0),
        Verdict::Sound,
        "from further ahead than clocks differ"
    );
    let mut monitor = evaluated(7, observed(7, now));
    monitor.track_member(0, 0, 9);
    assert_eq!(monitor.verdict(0), Verdict::Sound, "a verdict outlived the process it was about");
    // Nor does what this proxy saw of the old process count for the new one.
    (0..40).for_each(|_| monitor.record(now, 1, Outcome::Unreachable));
    assert!(monitor.log().observations(now).contains_key(&1));
    monitor.track_member(1, 0, 9);
    assert!(monitor.log().observations(now).is_empty());
}

#[test]
fn a_member_that_flaps_is_named_less_and_less_often() {
    let mut fleet = Fleet::new(12, 8, 5);
    fleet.avoids_outliers = true;
    fleet.run(6 * SECOND, |_| {});
    let mut at = Vec::new();
    for n in 0..30 {
        fleet.slowness[4] = if n % 2 == 0 { 3.0 } else { 1.0 };
        fleet.run(4 * SECOND, |f| {
            if f.now % 250_000 == 0 {
                at.push(f.naming(4) == 12);
            }
        });
    }
    let turns = at.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!((1..=12).contains(&turns), "30 changes of its latency made {turns} of its verdict");
    assert_eq!(fleet.wrongly_named(Some(4)), 0);
}

#[test]
fn a_verdict_without_traffic_leads_to_probation_and_a_recovery_ramp() {
    let mut fleet = Fleet::new(40, 8, 9);
    fleet.avoids_outliers = true;
    fleet.run(6 * SECOND, |_| {});
    fleet.slowness[4] = 3.0;
    fleet.run(5 * SECOND, |_| {});
    assert_eq!(fleet.naming(4), 40);
    // Only the proxies that have it on probation use it now, and find it well: more of them with each step.
    fleet.slowness[4] = 1.0;
    let mut using = Vec::new();
    fleet.run(25 * SECOND, |f| {
        using.push(f.proxies.iter().filter(|proxy| proxy.latency_factors().is_empty()).count());
    });
    using.dedup();
    let near = |a: usize, b: usize| a.abs_diff(b) <= 1;
    for step in [5, 10, 20, 40] {
        assert!(using.iter().any(|n| near(*n, step)), "{step} of 40 never used it: {using:?}");
    }
    assert!(using.windows(2).all(|pair| pair[0] <= pair[1]), "it was not taken back step by step: {using:?}");
}
