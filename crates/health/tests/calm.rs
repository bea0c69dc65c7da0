//! Fault-free and lossy runs in which no member may be flagged, and the time until a slow member is flagged
//! by the fleet compared with single proxies, over an ideal network. The traffic of the replicated state is
//! measured in `crates/shared-state/tests/health.rs`.

mod common;
use common::{Fleet, SECOND};
use wharfplank_health::{HealthMonitor, QUESTIONABLE_SCORE};

#[test]
fn no_healthy_member_is_flagged_in_200_fault_free_and_lossy_runs() {
    let mut flagged = 0;
    for seed in 0..200 {
        let mut fleet = Fleet::new([3, 7, 16][seed as usize % 3], 8, seed);
        fleet.loss = if seed % 2 == 0 { 0.2 } else { 0.0 };
        // In every third run the link of one proxy is also slow.
        fleet.link_factors[1] = if seed % 3 == 0 { 2.0 } else { 1.0 };
        let mut max_flagged = 0;
        fleet.run(20 * SECOND, |f| {
            if f.now % 250_000 == 0 {
                max_flagged = max_flagged.max(f.wrongly_flagged_members(None));
            }
        });
        flagged += max_flagged;
    }
    assert_eq!(flagged, 0, "healthy members flagged in 200 runs");
}

#[test]
fn a_fleet_flags_a_slow_member_sooner_than_single_proxies() {
    let (mut by_fleet, mut by_single_proxies, mut false_positives) = (0, 0, 0);
    for seed in 0..20 {
        let mut fleet = Fleet::new(30, 8, seed);
        fleet.run(6 * SECOND, |_| {});
        // The proxies whose own observation alone is bad.
        let count_bad_observations = |f: &Fleet, member: u64| {
            let score = |proxy: &HealthMonitor| {
                let observations = proxy.log().observations(f.now);
                observations.get(&member).map_or(0.0, |observation| observation.score())
            };
            f.proxies.iter().filter(|proxy| score(proxy) >= QUESTIONABLE_SCORE).count()
        };
        false_positives += (0..8).map(|m| count_bad_observations(&fleet, m)).sum::<usize>();
        fleet.member_latency_factors[3] = 3.0;
        fleet.run(3 * SECOND, |_| {});
        by_fleet += fleet.flagging_proxies(3);
        by_single_proxies += count_bad_observations(&fleet, 3);
    }
    let fraction = |n: usize| n as f64 / 600.0;
    println!(
        "flagged after 3 s: fleet {:.3}, single proxies {:.3} ({false_positives} of 4800 false positives)",
        fraction(by_fleet),
        fraction(by_single_proxies)
    );
    assert!(fraction(by_fleet) >= 0.95 && fraction(by_fleet) > fraction(by_single_proxies));
}
