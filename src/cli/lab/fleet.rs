//! `lab fleet`, `lab sweep`: many proxies as processes with faults between them.

use super::super::error::CommandError;
use super::{create_directory, current_program};
use std::path::Path;
use wharfplank::fleet_harness::run::{play, RunPaths};
use wharfplank::fleet_harness::schedule::{Scenario, Schedule};
use wharfplank::fleet_harness::sweep::{play_all, sums};

/// The scenario of a name; an unknown name is an error of usage.
fn parse_scenario(scenario: &str) -> Result<Scenario, CommandError> {
    let names: Vec<&str> = Scenario::ALL.iter().map(|s| s.name()).collect();
    Scenario::from_name(scenario).ok_or_else(|| {
        CommandError::usage(format!("no scenario '{scenario}'; there are {}", names.join(", ")))
    })
}

/// Plays many seeded runs and adds them up; fails where a rule was broken or a run could not be played.
pub fn sweep(
    scenarios: &[String],
    seeds: std::ops::Range<u64>,
    proxies: usize,
    beside: usize,
    peers: bool,
    directory: &Path,
) -> Result<(), CommandError> {
    let chosen = match scenarios {
        [] => Scenario::ALL.to_vec(),
        names => names.iter().map(|name| parse_scenario(name)).collect::<Result<Vec<_>, _>>()?,
    };
    let directory = create_directory(directory)?;
    let program = current_program()?;
    let mut all = Vec::new();
    for scenario in chosen {
        let schedules =
            seeds.clone().map(|seed| Schedule::from_seed(scenario, proxies, seed, peers)).collect();
        let played = play_all(schedules, &program, &directory, beside);
        let summed = sums(&played);
        summed.iter().for_each(|sum| println!("{}", sum.render()));
        all.extend(summed);
        // Written after each scenario, so that a long sweep that is stopped leaves what it has.
        let text = serde_json::to_string_pretty(&all).map_err(CommandError::failed)?;
        std::fs::write(directory.join("sums.json"), text).map_err(CommandError::failed)?;
    }
    let (broken, failed) = all.iter().fold((0, 0), |(b, f), sum| (b + sum.violations, f + sum.failed.len()));
    if broken > 0 || failed > 0 {
        return Err(CommandError::failed(format!("{broken} broken rules, {failed} runs not played")));
    }
    Ok(())
}

/// Plays many proxies with faults between them; fails where a rule was broken.
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
                .map_err(|e| CommandError::unusable_settings([format!("{}: {e}", path.display())]))?;
            Schedule::read(&text)
                .map_err(|what| CommandError::unusable_settings([format!("{}: {what}", path.display())]))?
        }
        None => Schedule::from_seed(parse_scenario(scenario)?, proxies, seed, peers),
    };
    let directory = create_directory(directory)?;
    let program = current_program()?;
    let place = RunPaths { program, directory: directory.clone() };
    let report = play(&schedule, &place).map_err(CommandError::failed)?;
    print!("{}", report.render());
    println!("schedule, logs and report.json in {}", directory.display());
    if report.violations > 0 {
        return Err(CommandError::failed(format!("{} broken rules", report.violations)));
    }
    Ok(())
}
