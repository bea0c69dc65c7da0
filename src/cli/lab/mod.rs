//! `lab`: tests of the program against simulated members on this machine, under load and with faults.

mod demo;
mod fleet;
mod gossip_cost;
mod incident;
mod play;
mod tally;
mod trials;

use super::arguments::Lab;
use super::error::CommandError;
use std::path::{Path, PathBuf};

/// Runs a sub-command of `lab`.
pub fn run(command: Lab) -> Result<(), CommandError> {
    match command {
        Lab::Demo { out } => demo::demo(&output_directory(out, "demo")),
        Lab::Recording { out } => trials::recording(&output_directory(out, "recording")),
        Lab::Talking { before, proxies, rate, out } => {
            gossip_cost::gossip_cost(&before, proxies, rate, &output_directory(out, "talking"))
        }
        Lab::Day { out, seconds } => trials::day(&output_directory(out, "day"), seconds),
        Lab::Kills { out, times } => trials::kills(&output_directory(out, "kills"), times),
        Lab::RecordUntilKilled { directory } => {
            wharfplank::lab::trials::record_until_killed(&directory).map_err(CommandError::failed)
        }
        Lab::Tally { paths, by_second } => tally::tally(&paths, &by_second),
        Lab::Fleet { scenario, proxies, seed, alone, replay, out } => {
            let directory = output_directory(out, "fleet");
            fleet::fleet(&scenario, proxies, seed, !alone, replay.as_deref(), &directory)
        }
        Lab::Sweep { scenarios, runs, seed, proxies, beside, alone, out } => {
            let directory = output_directory(out, "sweep");
            fleet::sweep(&scenarios, seed..seed.saturating_add(runs), proxies, beside, !alone, &directory)
        }
        Lab::Incident { timeline, out } => {
            incident::incident(timeline.as_deref(), &output_directory(out, "incident"))
        }
    }
}

/// Returns the output directory of a run: the given one, or a default one in `target`.
fn output_directory(directory: Option<PathBuf>, name: &str) -> PathBuf {
    directory.unwrap_or_else(|| PathBuf::from("target").join(name))
}

/// Creates the output directory of a run and returns its absolute path.
fn create_directory(directory: &Path) -> Result<PathBuf, CommandError> {
    let with_path = |error: std::io::Error| CommandError::failed(format!("{}: {error}", directory.display()));
    std::fs::create_dir_all(directory).map_err(with_path)?;
    directory.canonicalize().map_err(CommandError::failed)
}

/// Returns the path of this program, which runs start as child processes.
fn current_program() -> Result<PathBuf, CommandError> {
    std::env::current_exe().map_err(CommandError::failed)
}
