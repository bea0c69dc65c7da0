//! Faults that affect verdicts: false reports, slow links, outdated observations, restarts, and members that
//! flap or get no traffic.

mod common;
use common::{FaultyReporter, Fleet, SECOND};
use wharfplank_health::{
    weighted_median, HealthMonitor, HealthObservation, MemberSummary, Outcome, Proxy, ReportedObservation,
    Verdict, WeightedScore,
};

/// The log ratios that a faulty reporter claims: the worst and the best.
const WORST_LOG_RATIO: i16 = i16::MAX;
const BEST_LOG_RATIO: i16 = i16::MIN;

#[test]
fn all_proxies_flag_slow_and_unresponsive_members() {
    for proxies in [3, 30] {
        let mut fleet = Fleet::new(proxies, 8, 1);
        fleet.run(6 * SECOND, |_| {});
        fleet.member_latency_factors[2] = 3.0;
        fleet.member_latency_factors[5] = f64::INFINITY;
        fleet.run(6 * SECOND, |_| {});
        assert_eq!((fleet.flagging_proxies(2), fleet.flagging_proxies(5)), (proxies, proxies));
        assert!(fleet
            .proxies
            .iter()
            .all(|proxy| proxy.verdict(5) == Verdict::Unhealthy && proxy.verdict(2) == Verdict::Degraded));
        fleet.member_latency_factors[2] = 1.0;
        fleet.run(20 * SECOND, |_| {});
        assert_eq!(
            (fleet.flagging_proxies(2), fleet.flagging_proxies(5)),
            (0, proxies),
            "the slow member has recovered, the unresponsive one has not"
        );
    }
}

#[test]
fn false_reports_of_a_tenth_of_the_proxies_change_no_verdict() {
    for (proxies, faulty_reporters) in [(3, 1), (30, 3), (100, 10)] {
        for (about, log_ratio) in [
            (Some(1), WORST_LOG_RATIO),
            (None, WORST_LOG_RATIO),
            (Some(2), BEST_LOG_RATIO),
            (None, BEST_LOG_RATIO),
        ] {
            let mut fleet = Fleet::new(proxies, 8, 7);
            fleet.faulty_reporters = (0..faulty_reporters)
                .map(|n| (n * 7 % proxies, FaultyReporter { about, log_ratio }))
                .collect();
            fleet.run(6 * SECOND, |_| {});
            assert_eq!(
                fleet.wrongly_flagged_members(None),
                0,
                "{faulty_reporters} of {proxies} flagged a healthy member"
            );
            fleet.member_latency_factors[2] = 3.0;
            // With three proxies, a false report delays the verdict by some evaluations but does not prevent
            // it.
            fleet.run(10 * SECOND, |_| {});
            assert_eq!(
                fleet.wrongly_flagged_members(Some(2)),
                0,
                "{faulty_reporters} of {proxies} flagged a healthy member"
            );
            assert_eq!(
                fleet.flagging_proxies(2),
                proxies,
                "{faulty_reporters} of {proxies} prevented a slow member from being flagged"
            );
        }
    }
}

#[test]
fn claimed_weights_are_capped_at_the_median_weight() {
    let median = |scores: &[(f64, u64)]| {
        let scores: Vec<WeightedScore> =
            scores.iter().map(|(score, weight)| WeightedScore { score: *score, weight: *weight }).collect();
        weighted_median(&scores)
    };
    assert_eq!(median(&[(2.0, 60_000), (0.0, 5), (0.1, 7)]), Some(0.1));
    assert_eq!(median(&[(2.0, 60_000), (0.0, 5)]), Some(0.0), "the lower of two scores");
    assert_eq!(median(&[]), None);
}

#[test]
fn a_reporter_with_a_slow_link_is_ignored() {
    let mut fleet = Fleet::new(3, 8, 3);
    fleet.run(6 * SECOND, |_| {});
    fleet.link_factors[1] = 6.0;
    fleet.run(10 * SECOND, |f| assert_eq!(f.wrongly_flagged_members(None), 0));
    // Two of three proxies that report every member as bad are ignored as well.
    fleet.link_factors[1] = 1.0;
    fleet.faulty_reporters =
        [0, 1].map(|proxy| (proxy, FaultyReporter { about: None, log_ratio: WORST_LOG_RATIO })).into();
    fleet.run(10 * SECOND, |f| assert_eq!(f.wrongly_flagged_members(None), 0));
}

#[test]
fn observations_of_other_incarnations_or_times_are_ignored() {
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
        Verdict::Unhealthy,
        "a recent observation of this incarnation counts"
    );
    assert_eq!(evaluated(8, observed(7, now)).verdict(0), Verdict::Healthy, "of the previous incarnation");
    assert_eq!(evaluated(7, observed(7, now - 10 * SECOND)).verdict(0), Verdict::Healthy, "too old");
    assert_eq!(
        evaluated(7, observed(7, now + 10 * SECOND)).verdict(0),
        Verdict::Healthy,
        "further in the future than clocks may differ"
    );
    let mut monitor = evaluated(7, observed(7, now));
    monitor.track_member(0, 0, 9);
    assert_eq!(monitor.verdict(0), Verdict::Healthy, "the verdict of the previous incarnation was kept");
    // This proxy's own observations of the previous incarnation do not count for the new one either.
    (0..40).for_each(|_| monitor.record(now, 1, Outcome::Unreachable));
    assert!(monitor.log().observations(now).contains_key(&1));
    monitor.track_member(1, 0, 9);
    assert!(monitor.log().observations(now).is_empty());
}

#[test]
fn a_flapping_member_changes_its_verdict_less_often() {
    let mut fleet = Fleet::new(12, 8, 5);
    fleet.avoids_outliers = true;
    fleet.run(6 * SECOND, |_| {});
    let mut was_flagged = Vec::new();
    for n in 0..30 {
        fleet.member_latency_factors[4] = if n % 2 == 0 { 3.0 } else { 1.0 };
        fleet.run(4 * SECOND, |f| {
            if f.now % 250_000 == 0 {
                was_flagged.push(f.flagging_proxies(4) == 12);
            }
        });
    }
    let verdict_changes = was_flagged.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!(
        (1..=12).contains(&verdict_changes),
        "30 changes of its latency caused {verdict_changes} changes of its verdict"
    );
    assert_eq!(fleet.wrongly_flagged_members(Some(4)), 0);
}

#[test]
fn an_ejected_member_without_traffic_recovers_by_probation() {
    let mut fleet = Fleet::new(40, 8, 9);
    fleet.avoids_outliers = true;
    fleet.run(6 * SECOND, |_| {});
    fleet.member_latency_factors[4] = 3.0;
    fleet.run(5 * SECOND, |_| {});
    assert_eq!(fleet.flagging_proxies(4), 40);
    // Only the proxies that use it on probation send requests to it now and find it healthy; their number
    // grows with each step.
    fleet.member_latency_factors[4] = 1.0;
    let mut proxies_using = Vec::new();
    fleet.run(25 * SECOND, |f| {
        proxies_using.push(f.proxies.iter().filter(|proxy| proxy.latency_factors().is_empty()).count());
    });
    proxies_using.dedup();
    let is_near = |a: usize, b: usize| a.abs_diff(b) <= 1;
    for step in [5, 10, 20, 40] {
        assert!(
            proxies_using.iter().any(|n| is_near(*n, step)),
            "no step with {step} of 40 proxies: {proxies_using:?}"
        );
    }
    assert!(
        proxies_using.windows(2).all(|pair| pair[0] <= pair[1]),
        "the number of proxies decreased during recovery: {proxies_using:?}"
    );
}
