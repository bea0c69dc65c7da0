//! Running of a timeline with a progress bar, and printing of the results.

use super::super::error::CommandError;
use super::{create_directory, current_program};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use wharfplank::lab::load::ClientOutcome;
use wharfplank::lab::member_model::CLASSES;
use wharfplank::lab::run::{run_timeline, RunResults, RunSetup};
use wharfplank::lab::timeline::{self, Timeline};

/// Loads a timeline from a file, or parses the built-in one.
pub(super) fn load_timeline(path: Option<&Path>, built_in: &str) -> Result<Timeline, CommandError> {
    let text = match path {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|e| CommandError::invalid_settings([format!("{}: {e}", path.display())]))?,
        None => built_in.to_string(),
    };
    timeline::parse(&text).map_err(CommandError::invalid_settings)
}

/// Runs a timeline. `records` tells which proxies keep records.
pub(super) fn play_timeline(
    timeline: &Timeline,
    directory: &Path,
    records: fn(usize) -> bool,
) -> Result<RunResults, CommandError> {
    play_timeline_with(timeline, directory, records, None)
}

/// Runs a timeline. Proxy 1 runs `gossip_program` if it is given.
pub(super) fn play_timeline_with(
    timeline: &Timeline,
    directory: &Path,
    records: fn(usize) -> bool,
    gossip_program: Option<PathBuf>,
) -> Result<RunResults, CommandError> {
    let directory = create_directory(directory)?;
    let program = current_program()?;
    let bar = ProgressBar::new(1000);
    let style =
        ProgressStyle::with_template("{bar:40} {percent}% of {msg} s").map_err(CommandError::failed)?;
    bar.set_style(style);
    bar.set_message(timeline.seconds.to_string());
    let ran = run_timeline(
        timeline,
        &RunSetup { program, directory, keeps_records: records, gossip_program },
        |fraction| {
            bar.set_position((fraction * 1000.0) as u64);
        },
    );
    bar.finish_and_clear();
    ran.map_err(CommandError::failed)
}

/// Prints the results by request class.
pub(super) fn print_results(ran: &RunResults) {
    println!(
        "{:<14} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8}",
        "class", "served", "refused", "failed", "none", "p50 ms", "p99 ms", "max ms"
    );
    for (i, class) in CLASSES.iter().enumerate() {
        let count = |outcome| ran.load.count(i, outcome);
        let unanswered = count(ClientOutcome::Unreachable)
            + count(ClientOutcome::ConnectionLost)
            + count(ClientOutcome::TimedOut);
        let histogram = ran.load.latencies(i);
        let ms = |value: u64| value as f64 / 1000.0;
        println!(
            "{:<14} {:>7} {:>7} {:>7} {unanswered:>7} {:>8.1} {:>8.1} {:>8.1}",
            class.name,
            count(ClientOutcome::Served),
            count(ClientOutcome::Rejected),
            count(ClientOutcome::Failed),
            ms(histogram.value_at_quantile(0.5)),
            ms(histogram.value_at_quantile(0.99)),
            ms(histogram.max())
        );
    }
    if ran.load.dropped_requests.get() > 0 {
        println!("{} requests were not sent: too many requests were open", ran.load.dropped_requests.get());
    }
}
