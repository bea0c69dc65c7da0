//! Several processes that share budgets, with faults between them: the sums of what was leased, spent in any
//! second and in use never exceed the limit. Only counts are checked, from the logs of all processes after
//! the run.

use std::path::{Path, PathBuf};
use wharfplank::fleet_harness::budgets::{play, Case, Report};
use wharfplank::fleet_harness::run::RunPaths;

/// Plays cases in parallel, `at_once` at a time.
fn play_all(runs: &[(Case, usize, u64)], at_once: usize, directory: &Path) -> Vec<Report> {
    // The variable names another build of the program, such as one without a rule of the budgets.
    let program = std::env::var("BUDGET_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_wharfplank").to_string());
    let program = PathBuf::from(program);
    let mut reports = Vec::new();
    for batch in runs.chunks(at_once) {
        let threads: Vec<_> = batch
            .iter()
            .map(|(case, proxies, seed)| {
                let (case, proxies, seed) = (*case, *proxies, *seed);
                let directory = directory.join(format!("{case}-{proxies}-{seed}"));
                let paths = RunPaths { program: program.clone(), directory };
                std::thread::spawn(move || play(case, proxies, seed, &paths))
            })
            .collect();
        reports.extend(
            threads.into_iter().map(|run| run.join().expect("the thread ends").expect("the run ends")),
        );
    }
    reports
}

fn assert_limits_hold(reports: &[Report]) {
    for report in reports {
        let (case, seed, findings) = (report.case, report.seed, &report.findings);
        let seconds: Vec<String> = report.utilization_by_second.iter().map(|s| format!("{s:.2}")).collect();
        println!(
            "{case} of {} proxies, seed {seed}: {} breaches, {} leases, {} spends, {} changes in use; used {:.2}, \
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
        // The two remaining allocators lease out the whole limit: without the retired one's share it would be
        // two thirds.
        assert!(
            case != Case::AllocatorRetired || report.leased_part >= 0.8,
            "{case}, seed {seed}: {:.2} leased",
            report.leased_part
        );
        assert_eq!(report.crashed, 0, "{case}, seed {seed}");
        assert!(
            findings.leases > 0 && findings.spends > 0 && findings.in_use_changes > 0,
            "{case}, seed {seed}: the run has no events"
        );
    }
}

#[test]
fn limits_hold_through_a_cut_a_pause_and_a_retired_allocator() {
    let directory = tempfile::tempdir().expect("temporary directory");
    let runs = [(Case::Cut, 3, 1), (Case::Pause, 3, 1), (Case::AllocatorRetired, 4, 1)];
    assert_limits_hold(&play_all(&runs, runs.len(), directory.path()));
}

/// `make budgets`: every case or the one named by `BUDGET_CASE`, with `BUDGET_RUNS` seeds from `BUDGET_SEED`
/// on, `BUDGET_PROXIES` proxies and `BUDGET_BESIDE` runs in parallel.
#[test]
#[ignore = "takes minutes"]
fn budgets_hold_in_every_hard_case() {
    let variable =
        |name: &str, default: u64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default);
    let (runs, seed, proxies) =
        (variable("BUDGET_RUNS", 3), variable("BUDGET_SEED", 1), variable("BUDGET_PROXIES", 5));
    let named = std::env::var("BUDGET_CASE").ok();
    let cases = Case::ALL.into_iter().filter(|case| named.as_ref().is_none_or(|name| case.name() == *name));
    let runs: Vec<_> =
        cases.flat_map(|case| (seed..seed + runs).map(move |seed| (case, proxies as usize, seed))).collect();
    assert!(!runs.is_empty(), "no such case");
    assert_limits_hold(&play_all(
        &runs,
        variable("BUDGET_BESIDE", 4) as usize,
        &PathBuf::from("target/budgets"),
    ));
}
