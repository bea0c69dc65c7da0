//! Rollouts by proxy processes with faults between them: the disruption budget is kept, each rollout
//! finishes, and all members are healthy at the end. Only events are checked, not times.

use std::path::{Path, PathBuf};
use wharfplank::fleet_harness::rollouts::{
    play, Case, Report, Scenario, NEW_VERSION, OLD_VERSION, OTHER_VERSION,
};
use wharfplank::fleet_harness::run::RunPaths;

/// Plays runs, `at_once` at a time, each in a directory of its own.
fn play_all(scenarios: &[Scenario], directory: &Path, at_once: usize) -> Vec<Report> {
    let mut reports = Vec::new();
    for batch in scenarios.chunks(at_once) {
        let finished = std::thread::scope(|scope| {
            let runs: Vec<_> =
                batch.iter().map(|scenario| scope.spawn(|| play_one(scenario, directory))).collect();
            runs.into_iter().map(|run| run.join().expect("the run ends")).collect::<Vec<_>>()
        });
        finished.iter().rev().for_each(|report| println!("{}", report.line()));
        reports.extend(finished);
    }
    reports
}

fn play_one(scenario: &Scenario, directory: &Path) -> Report {
    let directory = directory.join(format!("{}-{}", scenario.case.name(), scenario.seed));
    let paths = RunPaths { program: PathBuf::from(env!("CARGO_BIN_EXE_wharfplank")), directory };
    play(scenario, &paths).unwrap_or_else(|error| panic!("{}: {error}", scenario.case.name()))
}

fn assert_rules(scenario: &Scenario, report: &Report) {
    let case = scenario.case;
    let line = report.line();
    assert_eq!(report.violations.count(), 0, "broken rules: {line}");
    assert!(report.is_finished, "the rollout did not finish: {line}");
    assert!(report.had_fault || !case.has_fault(), "the fault did not occur: {line}");
    // Of two rollouts at once the one with the older timestamp goes on, and the members of the other one get
    // its version.
    let versions: &[u64] = match case {
        Case::TwoAtOnce => &[NEW_VERSION, OTHER_VERSION],
        case if case.has_bad_version() => &[OLD_VERSION],
        _ => &[NEW_VERSION],
    };
    let has_version = report.final_version.is_some_and(|version| versions.contains(&version));
    assert!(has_version, "not all members are healthy with one expected version: {line}");
    let is_expected = |halt: &String| match case {
        Case::TwoAtOnce => halt.starts_with("back:other_release"),
        case => case.has_bad_version(),
    };
    assert!(report.halts.iter().all(is_expected), "unexpected halt: {line}");
    let was_rolled_back = report.halts.iter().any(|halt| halt.starts_with("back:"));
    assert!(was_rolled_back || !case.has_bad_version(), "not rolled back: {line}");
}

#[test]
fn rollouts_keep_the_budget_and_finish_through_faults() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let cases = [(Case::TwoAtOnce, 3), (Case::LeaderKilled, 3), (Case::Partition, 5), (Case::NeverReady, 3)];
    let scenarios: Vec<Scenario> =
        cases.into_iter().map(|(case, proxies)| Scenario::from_seed(case, proxies, 3, 3, 1)).collect();
    let reports = play_all(&scenarios, directory.path(), scenarios.len());
    for (scenario, report) in scenarios.iter().zip(&reports) {
        assert_rules(scenario, report);
    }
}

/// Plays `RELEASE_SEEDS` runs of each case, or of the cases in `RELEASE_CASES`; writes files to
/// `RELEASE_OUT`.
#[test]
#[ignore = "takes minutes to hours"]
fn seeded_rollouts_keep_the_rules_in_every_case() {
    let number = |name: &str, default: usize| {
        std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
    };
    let named = std::env::var("RELEASE_CASES").unwrap_or_default();
    let directory = std::env::var("RELEASE_OUT").unwrap_or_else(|_| "target/release-rig".to_string());
    let (seeds, proxies, at_once) =
        (number("RELEASE_SEEDS", 20), number("RELEASE_PROXIES", 5), number("RELEASE_BESIDE", 4));
    let (first_seed, groups, members_per_group, load_s) = (
        number("RELEASE_FIRST", 1),
        number("RELEASE_GROUPS", 6),
        number("RELEASE_EACH", 4),
        number("RELEASE_LOAD_S", 0),
    );
    let cases = Case::ALL.into_iter().chain([Case::WithoutRollout]);
    let is_selected = |case: &Case| match named.is_empty() {
        true => *case != Case::WithoutRollout,
        false => named.split(' ').any(|name| name == case.name()),
    };
    let scenarios: Vec<Scenario> = cases
        .filter(is_selected)
        .flat_map(|case| (0..seeds).map(move |n| (case, n)))
        .map(|(case, n)| {
            let drawn =
                Scenario::from_seed(case, proxies, groups, members_per_group, (first_seed + n) as u64);
            Scenario { load_seconds: load_s as u64, ..drawn }
        })
        .collect();
    let reports = play_all(&scenarios, Path::new(&directory), at_once);
    for (scenario, report) in scenarios.iter().zip(&reports) {
        if scenario.case != Case::WithoutRollout {
            assert_rules(scenario, report);
        }
    }
}
