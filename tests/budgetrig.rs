//! Several processes that share budgets, with faults between them: whatever was in force, spent in any second and held,
//! added up from all logs, was never more than the whole. Counts only, read once a run is over.

use std::path::{Path, PathBuf};
use wharfplank::fleet_harness::budgets::{play, Case, Report};
use wharfplank::fleet_harness::run::Place;

/// Plays cases beside each other, so many at a time.
fn played(runs: &[(Case, usize, u64)], beside: usize, directory: &Path) -> Vec<Report> {
    // Another build of the program, as one with a rule taken out.
    let program = std::env::var("BUDGET_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_wharfplank").to_string());
    let program = PathBuf::from(program);
    let mut reports = Vec::new();
    for some in runs.chunks(beside) {
        let threads: Vec<_> = some
            .iter()
            .map(|(case, proxies, seed)| {
                let (case, proxies, seed) = (*case, *proxies, *seed);
                let directory = directory.join(format!("{case:?}-{proxies}-{seed}"));
                let place = Place { program: program.clone(), directory };
                std::thread::spawn(move || play(case, proxies, seed, &place))
            })
            .collect();
        reports.extend(threads.into_iter().map(|run| run.join().expect("it ends").expect("the run ends")));
    }
    reports
}

fn hold(reports: &[Report]) {
    for report in reports {
        let (case, seed, found) = (report.case, report.seed, &report.found);
        let seconds: Vec<String> = report.seconds.iter().map(|s| format!("{s:.2}")).collect();
        println!(
            "{case:?} of {} proxies, seed {seed}: {} breaches, {} leases, {} spends, {} changes of what is held; used {:.2}, \
             an equal split {:.2}, leased {:.2} at the end; by second {}",
            report.proxies,
            found.breaches(),
            found.leases,
            found.spends,
            found.changes,
            report.used,
            report.even,
            report.leased,
            seconds.join(" ")
        );
        assert_eq!(found.breaches(), 0, "{case:?}, seed {seed}: {found:?}");
        // The two that are left lease out all of it: without the third's part it would be two thirds.
        assert!(
            case != Case::Gone || report.leased >= 0.8,
            "{case:?}, seed {seed}: {:.2} leased",
            report.leased
        );
        assert_eq!(report.crashed, 0, "{case:?}, seed {seed}");
        assert!(
            found.leases > 0 && found.spends > 0 && found.changes > 0,
            "{case:?}, seed {seed}: nothing ran"
        );
    }
}

#[test]
fn budgets_hold_through_a_cut_a_pause_and_a_bank_gone_for_good() {
    let directory = tempfile::tempdir().expect("a directory");
    let runs = [(Case::Cut, 3, 1), (Case::Pause, 3, 1), (Case::Gone, 4, 1)];
    hold(&played(&runs, runs.len(), directory.path()));
}

/// `make budgets`: every case or the one named by BUDGET_CASE, by BUDGET_RUNS seeds from BUDGET_SEED on, with
/// BUDGET_PROXIES proxies and BUDGET_BESIDE runs beside each other.
#[test]
#[ignore = "takes minutes"]
fn budgets_hold_in_every_hard_case() {
    let given = |name: &str, or: u64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let (runs, seed, proxies) =
        (given("BUDGET_RUNS", 3), given("BUDGET_SEED", 1), given("BUDGET_PROXIES", 5));
    let named = std::env::var("BUDGET_CASE").ok();
    let cases = Case::ALL.into_iter().filter(|case| named.as_ref().is_none_or(|n| format!("{case:?}") == *n));
    let runs: Vec<_> =
        cases.flat_map(|case| (seed..seed + runs).map(move |seed| (case, proxies as usize, seed))).collect();
    assert!(!runs.is_empty(), "no such case");
    hold(&played(&runs, given("BUDGET_BESIDE", 4) as usize, &PathBuf::from("target/budgets")));
}
