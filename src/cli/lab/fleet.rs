//! `lab fleet`, `lab sweep`: many proxies as processes with injected faults.

use super::super::error::CommandError;
use super::{create_directory, current_program};
use std::path::Path;
use wharfplank::fleet_harness::run::{play, RunPaths};
use wharfplank::fleet_harness::schedule::{Scenario, Schedule};
use wharfplank::fleet_harness::sweep::{play_all, sums};

/// Returns the scenario with this name, or a usage error.
fn parse_scenario(scenario: &str) -> Result<Scenario, CommandError> {
    let names: Vec<&str> = Scenario::ALL.iter().map(|s| s.name()).collect();
    Scenario::from_name(scenario).ok_or_else(|| {
        CommandError::usage(format!("unknown scenario '{scenario}'; the scenarios are {}", names.join(", ")))
    })
}

/// Runs scenarios with many seeds and adds up the results. Fails if a rule was violated or a run failed.
pub fn sweep(
    scenarios: &[String],
    seeds: std::ops::Range<u64>,
    proxies: usize,
    parallel_runs: usize,
    peers: bool,
    directory: &Path,
) -> Result<(), CommandError> {
    let selected = match scenarios {
        [] => Scenario::ALL.to_vec(),
        names => names.iter().map(|name| parse_scenario(name)).collect::<Result<Vec<_>, _>>()?,
    };
    let directory = create_directory(directory)?;
    let program = current_program()?;
    let mut all = Vec::new();
    for scenario in selected {
        let schedules =
            seeds.clone().map(|seed| Schedule::from_seed(scenario, proxies, seed, peers)).collect();
        let played = play_all(schedules, &program, &directory, parallel_runs);
        let totals = sums(&played);
        totals.iter().for_each(|sum| println!("{}", sum.render()));
        all.extend(totals);
        // Written after each scenario, so that a sweep that is stopped early leaves its results so far.
        let text = serde_json::to_string_pretty(&all).map_err(CommandError::failed)?;
        std::fs::write(directory.join("sums.json"), text).map_err(CommandError::failed)?;
    }
    let (violation_count, failed) =
        all.iter().fold((0, 0), |(b, f), sum| (b + sum.violations, f + sum.failed.len()));
    if violation_count > 0 || failed > 0 {
        return Err(CommandError::failed(format!("{violation_count} rule violations, {failed} failed runs")));
    }
    Ok(())
}

/// Runs many proxies with injected faults. Fails if a rule was violated.
pub fn fleet(
    scenario: &str,
    proxies: usize,
    seed: u64,
    peers: bool,
    replay: Option<&Path>,
    directory: &Path,
) -> Result<(), CommandError> {
    let schedule = match replay {
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .map_err(|e| CommandError::invalid_settings([format!("{}: {e}", path.display())]))?;
            Schedule::read(&text)
                .map_err(|error| CommandError::invalid_settings([format!("{}: {error}", path.display())]))?
        }
        None => Schedule::from_seed(parse_scenario(scenario)?, proxies, seed, peers),
    };
    let directory = create_directory(directory)?;
    let program = current_program()?;
    let paths = RunPaths { program, directory: directory.clone() };
    let report = play(&schedule, &paths).map_err(CommandError::failed)?;
    print!("{}", report.render());
    println!("schedule, logs and report.json are in {}", directory.display());
    if report.violations > 0 {
        return Err(CommandError::failed(format!("{} rule violations", report.violations)));
    }
    Ok(())
}
