//! `lab recording`, `lab day`, `lab kills`: what recording costs, and what it survives.

use super::super::error::CommandError;
use super::super::records::{self, Span};
use super::current_program;
use super::play::{load_timeline, play_timeline};
use std::path::Path;
use wharfplank::lab::load::ClientOutcome;
use wharfplank::lab::timeline;
use wharfplank::lab::trials;

/// One proxy records and one does not, side by side under the same load.
pub fn recording(directory: &Path) -> Result<(), CommandError> {
    let mut timeline = load_timeline(None, timeline::DEMO)?;
    timeline.rate = 1200;
    timeline.seconds = 20;
    let ran = play_timeline(&timeline, directory, |number| number == 0)?;
    let done = ran.load.finished.borrow();
    let mut each = Vec::new();
    for (number, name) in ["recording", "not recording"].iter().enumerate() {
        let own: Vec<_> = done.iter().filter(|d| d.proxy == number).collect();
        let served = own.iter().filter(|d| d.outcome == ClientOutcome::Served).count();
        let used = ran
            .process_usage
            .get(number)
            .ok_or_else(|| CommandError::failed("the system tells no CPU time"))?;
        let (memory, micros) = (used.memory_mib, used.cpu_seconds * 1e6 / own.len().max(1) as f64);
        println!(
            "{name:<14} {served} of {} served, {micros:.0} us of CPU a request, {memory:.1} MB",
            own.len()
        );
        each.push(micros);
    }
    println!("recording takes {:+.1}% of CPU", (each[0] / each[1] - 1.0) * 100.0);
    Ok(())
}

/// A day of records of three proxies, and what its report takes.
pub fn day(directory: &Path, seconds: u32) -> Result<(), CommandError> {
    std::fs::create_dir_all(directory).map_err(CommandError::failed)?;
    for old in std::fs::read_dir(directory).map_err(CommandError::failed)?.flatten() {
        if old.path().to_string_lossy().contains(".wharfplank") {
            std::fs::remove_file(old.path()).map_err(CommandError::failed)?;
        }
    }
    let written = trials::write_synthetic_stores(directory, i64::from(seconds), 3, 320, 7)
        .map_err(CommandError::failed)?;
    let bytes: u64 = std::fs::read_dir(directory)
        .map_err(CommandError::failed)?
        .flatten()
        .filter_map(|e| Some(e.metadata().ok()?.len()))
        .sum();
    println!("{written} answers of 3 proxies in {seconds} s: {:.0} MB of store", bytes as f64 / 1e6);
    let start = std::time::Instant::now();
    records::report(
        &[directory.to_path_buf()],
        &Span::default(),
        Some(&directory.join("report.html")),
        None,
    )?;
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or(" not told").trim();
    println!(
        "the report took {:.1} s; the most memory of this process was {peak}",
        start.elapsed().as_secs_f64()
    );
    Ok(())
}

/// Kills a recording process again and again.
pub fn kills(directory: &Path, times: u64) -> Result<(), CommandError> {
    let _ = std::fs::remove_dir_all(directory);
    std::fs::create_dir_all(directory).map_err(CommandError::failed)?;
    let program = current_program()?;
    let seen = trials::kill_while_recording(&program, directory, times, 7).map_err(CommandError::failed)?;
    println!(
        "{} kills: {} records acknowledged, {} of them found, {} stores damaged",
        seen.kills, seen.acknowledged, seen.found, seen.damaged
    );
    match seen.found == seen.acknowledged && seen.damaged == 0 {
        true => Ok(()),
        false => Err(CommandError::failed("a record that was acknowledged is gone, or a store is damaged")),
    }
}
