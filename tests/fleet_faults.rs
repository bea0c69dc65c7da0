//! Several processes of the program with faults between them, played by the rig: every hard case once, no broken rule,
//! the failover decided in common as it should be, and the replicated state equal in the end. Counts and ratios only,
//! read once a run is over.

use std::path::PathBuf;
use wharfplank::fleet_harness::check::Report;
use wharfplank::fleet_harness::schedule::{Scenario, Schedule};
use wharfplank::fleet_harness::sweep::{play_all, LATE_MS};

/// Runs beside each other: each takes about a quarter of a core, with the tests' build.
const BESIDE: usize = 5;

/// Five where a part of them is cut off, seven where one of them lies, else three.
fn proxies(scenario: Scenario) -> usize {
    match scenario {
        Scenario::SlowMember | Scenario::SlowLiar => 7,
        Scenario::Minority | Scenario::Kill70 | Scenario::Lossy => 5,
        _ => 3,
    }
}

#[test]
fn every_hard_case_keeps_the_rules_and_the_fleet_decides_as_one() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let program = PathBuf::from(env!("CARGO_BIN_EXE_wharfplank"));
    let schedules: Vec<Schedule> = Scenario::ALL
        .into_iter()
        .map(|scenario| Schedule::draw(scenario, proxies(scenario), 1, true))
        .collect();
    let played = play_all(schedules, &program, directory.path(), BESIDE);
    let mut reports: Vec<(Scenario, Report)> = Vec::new();
    for (schedule, report) in played {
        let report = report.expect("the run ends");
        println!("{}", report.render());
        reports.push((schedule.scenario, report));
    }
    let of = |scenario: Scenario| reports.iter().find(|(s, _)| *s == scenario).map(|(_, r)| r).unwrap();
    for (scenario, report) in &reports {
        assert_eq!(report.broken, 0, "broken rules at {}:\n{}", scenario.name(), report.render());
        assert!(report.cold_peak < 1.0, "{}: a returning member got what fells it", scenario.name());
    }
    // Left by all within 5 s of its loss, and taken back by all before the run ends.
    for scenario in [Scenario::ZoneLoss, Scenario::Lossy, Scenario::Liar, Scenario::Pause] {
        let report = of(scenario);
        assert_eq!(report.left_after[0][2], 1.0, "{}: not all left the lost zone", scenario.name());
        assert_eq!(report.left_at_end, 0, "{}: not all took it back", scenario.name());
    }
    // A near replica whose position is not known to be new enough yields to a far tie that is: a part of the reads,
    // where proxies each alone send some 0.4 of them far. On a machine that has no time for the members either, the
    // near ones look slow: such a run tells nothing of it.
    for scenario in [Scenario::ZoneLoss, Scenario::Calm] {
        let report = of(scenario);
        let far = report.far_reads;
        let busy = report.late_ms > LATE_MS / 2;
        assert!(busy || far < 0.25, "{}: {far:.3} of reads went far while all was well", scenario.name());
    }
    // Proxies 0 and 3 hear none of the others: alone, they leave no zone; the other three leave it.
    assert_eq!(of(Scenario::Minority).left_after[0][2], 0.6, "the part that left the lost zone");
    // Every write that lost its answer came back at another proxy, and none ran a second time there.
    let again = &of(Scenario::Doubts).again;
    assert!(again.get("Failed").is_some_and(|n| *n > 0), "no write was in doubt: {again:?}");
    assert_eq!(again.get("Served"), None, "a write in doubt was served again: {again:?}");
    // A snapshot an hour old withdraws nobody: but for the clients of the dead proxy all is served.
    let old = of(Scenario::OldSnapshot);
    let served = ["Served", "Unreachable"].iter().filter_map(|seen| old.requests.get(*seen)).sum::<u64>();
    assert_eq!(served, old.requests.values().sum::<u64>(), "old-snapshot: {:?}", old.requests);
    // Goodput is judged against what the truth allows: nothing is served beyond it, and a lost zone costs some.
    for (scenario, report) in &reports {
        let goodput = wharfplank::fleet_harness::goodput::total(&report.goodput);
        assert!(
            goodput.offered > 0.0 && goodput.served <= goodput.upper_bound + 0.01 * goodput.offered,
            "{}",
            report.render()
        );
        assert!(
            *scenario != Scenario::ZoneLoss || goodput.upper_bound < goodput.offered,
            "a lost zone costs nothing"
        );
    }
    // A cut zone is left by the proxies outside it at most: its own proxies reach its members.
    assert!(of(Scenario::ZoneCut).left_after[0][2] < 1.0, "the cut zone's own proxies left it too");
    // Most proxies come to hold a slow member degraded, and no proxy names a sound one (a broken rule, counted above),
    // whatever one of them says. Reads leave a slow primary by themselves, so that writes alone are its evidence.
    for scenario in [Scenario::SlowMember, Scenario::SlowLiar] {
        let slow = of(scenario);
        let busy = slow.late_ms > LATE_MS / 2;
        assert!(busy || slow.health.held_ever[0] >= 0.5, "{}:\n{}", scenario.name(), slow.render());
    }
}
