//! Several processes that share budgets, with faults between them: whatever was leased out, spent in any second and
//! held open, added up from all logs, was never more than the limit. Counts only, read once a run is over.

use std::path::{Path, PathBuf};
use wharfplank::fleet_harness::budgets::{play, Case, Report};
use wharfplank::fleet_harness::run::RunPaths;

/// Plays cases beside each other, so many at a time.
fn play_all(runs: &[(Case, usize, u64)], beside: usize, directory: &Path) -> Vec<Report> {
    // Another build of the program, as one with a rule taken out.
    let program = std::env::var("BUDGET_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_wharfplank").to_string());
    let program = PathBuf::from(program);
    let mut reports = Vec::new();
    for some in runs.chunks(beside) {
        let threads: Vec<_> = some
            .iter()
            .map(|(case, proxies, seed)| {
                let (case, proxies, seed) = (*case, *proxies, *seed);
                let directory = directory.join(format!("{case}-{proxies}-{seed}"));
                let place = RunPaths { program: program.clone(), directory };
                std::thread::spawn(move || play(case, proxies, seed, &place))
            })
            .collect();
        reports.extend(threads.into_iter().map(|run| run.join().expect("it ends").expect("the run ends")));
    }
    reports
}

fn assert_limits_hold(reports: &[Report]) {
    for report in reports {
        let (case, seed, findings) = (report.case, report.seed, &report.findings);
        let seconds: Vec<String> = report.utilization_by_second.iter().map(|s| format!("{s:.2}")).collect();
        println!(
            "{case} of {} proxies, seed {seed}: {} breaches, {} leases, {} spends, {} changes of what is held; used {:.2}, \
             an equal split {:.2}, leased {:.2} at the end; by second {}",
            report.proxies,
            findings.breaches(),
            findings.leases,
            findings.spends,
            findings.in_use_changes,
            report.utilization,
            report.equal_split_utilization,
            report.leased_part,
            seconds.join(" ")
        );
        assert_eq!(findings.breaches(), 0, "{case}, seed {seed}: {findings:?}");
        // The two that are left lease out all of it: without the third's part it would be two thirds.
        assert!(
            case != Case::AllocatorRetired || report.leased_part >= 0.8,
            "{case}, seed {seed}: {:.2} leased",
            report.leased_part
        );
        assert_eq!(report.crashed, 0, "{case}, seed {seed}");
        assert!(
            findings.leases > 0 && findings.spends > 0 && findings.in_use_changes > 0,
            "{case}, seed {seed}: nothing ran"
        );
    }
}

#[test]
fn budgets_hold_through_a_cut_a_pause_and_a_retired_allocator() {
    let directory = tempfile::tempdir().expect("a directory");
    let runs = [(Case::Cut, 3, 1), (Case::Pause, 3, 1), (Case::AllocatorRetired, 4, 1)];
    assert_limits_hold(&play_all(&runs, runs.len(), directory.path()));
}

/// `make budgets`: every case or the one named by `BUDGET_CASE`, by `BUDGET_RUNS` seeds from `BUDGET_SEED` on, with
/// `BUDGET_PROXIES` proxies and `BUDGET_BESIDE` runs beside each other.
#[test]
#[ignore = "takes minutes"]
fn budgets_hold_in_every_hard_case() {
    let given = |name: &str, or: u64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let (runs, seed, proxies) =
        (given("BUDGET_RUNS", 3), given("BUDGET_SEED", 1), given("BUDGET_PROXIES", 5));
    let named = std::env::var("BUDGET_CASE").ok();
    let cases = Case::ALL.into_iter().filter(|case| named.as_ref().is_none_or(|name| case.name() == *name));
    let runs: Vec<_> =
        cases.flat_map(|case| (seed..seed + runs).map(move |seed| (case, proxies as usize, seed))).collect();
    assert!(!runs.is_empty(), "no such case");
    assert_limits_hold(&play_all(
        &runs,
        given("BUDGET_BESIDE", 4) as usize,
        &PathBuf::from("target/budgets"),
    ));
}
