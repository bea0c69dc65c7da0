//! Calm and lossy runs in which no member may be named, and how soon a slow member is named by all proxies together and
//! by each alone, over an ideal network. The traffic of the replicated state is measured in `crates/shared-state/tests/health.rs`.

mod common;
use common::{Fleet, SECOND};
use wharfplank_health::{HealthMonitor, QUESTIONABLE_SCORE};

#[test]
fn no_sound_member_is_named_over_200_calm_and_lossy_runs() {
    let mut named = 0;
    for seed in 0..200 {
        let mut fleet = Fleet::new([3, 7, 16][seed as usize % 3], 8, seed);
        fleet.loss = if seed % 2 == 0 { 0.2 } else { 0.0 };
        // Every third run, one proxy's link is bad as well.
        fleet.link[1] = if seed % 3 == 0 { 2.0 } else { 1.0 };
        let mut seen = 0;
        fleet.run(20 * SECOND, |f| {
            if f.now % 250_000 == 0 {
                seen = seen.max(f.wrongly_named(None));
            }
        });
        named += seen;
    }
    assert_eq!(named, 0, "sound members named in 200 runs");
}

#[test]
fn a_fleet_names_a_slow_member_sooner_than_each_alone_would() {
    let (mut together, mut alone, mut wrongly) = (0, 0, 0);
    for seed in 0..20 {
        let mut fleet = Fleet::new(30, 8, seed);
        fleet.run(6 * SECOND, |_| {});
        // Alone: the proxies whose own observation is bad.
        let own = |f: &Fleet, member: u64| {
            let score = |proxy: &HealthMonitor| {
                let observations = proxy.log().observations(f.now);
                observations.get(&member).map_or(0.0, |observation| observation.score())
            };
            f.proxies.iter().filter(|proxy| score(proxy) >= QUESTIONABLE_SCORE).count()
        };
        wrongly += (0..8).map(|m| own(&fleet, m)).sum::<usize>();
        fleet.slowness[3] = 3.0;
        fleet.run(3 * SECOND, |_| {});
        together += fleet.naming(3);
        alone += own(&fleet, 3);
    }
    let part = |n: usize| n as f64 / 600.0;
    println!(
        "held degraded after 3 s: together {:.3}, alone {:.3}; alone, {wrongly} of 4800 sound looks wrongly",
        part(together),
        part(alone)
    );
    assert!(part(together) >= 0.95 && part(together) > part(alone));
}
