//! `lab demo`: a load without faults.

use super::super::error::CommandError;
use super::play::{load_timeline, play_timeline, print_results};
use std::path::Path;
use wharfplank::lab::load::ClientOutcome;
use wharfplank::lab::member_model::CLASSES;
use wharfplank::lab::timeline;

/// Runs a load without faults and prints the results.
pub fn demo(directory: &Path) -> Result<(), CommandError> {
    let timeline = load_timeline(None, timeline::DEMO)?;
    println!(
        "{} simulated members, {} proxies, {} requests/s for {} s, on loopback",
        timeline.groups * timeline.members,
        timeline.proxies,
        timeline.rate,
        timeline.seconds
    );
    let ran = play_timeline(&timeline, directory, |_| true)?;
    print_results(&ran);
    let served: usize = (0..CLASSES.len()).map(|i| ran.load.count(i, ClientOutcome::Served)).sum();
    let all = ran.load.finished.borrow().len();
    println!(
        "{served} of {all} requests served; logs, records and configurations are in {}",
        directory.display()
    );
    match served * 10 >= all * 9 {
        true => Ok(()),
        false => Err(CommandError::failed("less than 90% of the fault-free load was served")),
    }
}
