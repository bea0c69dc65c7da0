//! `lab recording`, `lab day`, `lab kills`: the cost and the durability of records.

use super::super::error::CommandError;
use super::super::records::{self, Span};
use super::current_program;
use super::play::{load_timeline, play_timeline};
use std::path::Path;
use wharfplank::lab::load::ClientOutcome;
use wharfplank::lab::timeline;
use wharfplank::lab::trials;

/// Compares a proxy that keeps records with one that does not, under the same load.
pub fn recording(directory: &Path) -> Result<(), CommandError> {
    let mut timeline = load_timeline(None, timeline::DEMO)?;
    timeline.rate = 1200;
    timeline.seconds = 20;
    let ran = play_timeline(&timeline, directory, |number| number == 0)?;
    let finished_requests = ran.load.finished.borrow();
    let mut cpu_micros = Vec::new();
    for (number, name) in ["recording", "not recording"].iter().enumerate() {
        let requests: Vec<_> = finished_requests.iter().filter(|d| d.proxy == number).collect();
        let served = requests.iter().filter(|d| d.outcome == ClientOutcome::Served).count();
        let used = ran
            .process_usage
            .get(number)
            .ok_or_else(|| CommandError::failed("cannot determine the CPU time of a proxy"))?;
        let (memory, micros) = (used.memory_mib, used.cpu_seconds * 1e6 / requests.len().max(1) as f64);
        println!(
            "{name:<14} {served} of {} served, {micros:.0} us of CPU per request, {memory:.1} MB",
            requests.len()
        );
        cpu_micros.push(micros);
    }
    println!(
        "recording changes the CPU time per request by {:+.1}%",
        (cpu_micros[0] / cpu_micros[1] - 1.0) * 100.0
    );
    Ok(())
}

/// Writes records of three proxies for a day, and measures the time and the memory of the report on them.
pub fn day(directory: &Path, seconds: u32) -> Result<(), CommandError> {
    std::fs::create_dir_all(directory).map_err(CommandError::failed)?;
    for entry in std::fs::read_dir(directory).map_err(CommandError::failed)?.flatten() {
        if entry.path().to_string_lossy().contains(".wharfplank") {
            std::fs::remove_file(entry.path()).map_err(CommandError::failed)?;
        }
    }
    let written = trials::write_synthetic_stores(directory, i64::from(seconds), 3, 320, 7)
        .map_err(CommandError::failed)?;
    let bytes: u64 = std::fs::read_dir(directory)
        .map_err(CommandError::failed)?
        .flatten()
        .filter_map(|e| Some(e.metadata().ok()?.len()))
        .sum();
    println!("{written} answers of 3 proxies in {seconds} s: {:.0} MB of stores", bytes as f64 / 1e6);
    let start = std::time::Instant::now();
    records::report(
        &[directory.to_path_buf()],
        &Span::default(),
        Some(&directory.join("report.html")),
        None,
    )?;
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak_memory = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or(" unknown").trim();
    println!(
        "the report took {:.1} s; the peak memory of this process was {peak_memory}",
        start.elapsed().as_secs_f64()
    );
    Ok(())
}

/// Kills a recording process repeatedly, and checks that all acknowledged records are stored.
pub fn kills(directory: &Path, times: u64) -> Result<(), CommandError> {
    let _ = std::fs::remove_dir_all(directory);
    std::fs::create_dir_all(directory).map_err(CommandError::failed)?;
    let program = current_program()?;
    let result = trials::kill_while_recording(&program, directory, times, 7).map_err(CommandError::failed)?;
    println!(
        "{} kills: {} records acknowledged, {} of them found, {} stores damaged",
        result.kills, result.acknowledged, result.found, result.damaged
    );
    match result.found == result.acknowledged && result.damaged == 0 {
        true => Ok(()),
        false => Err(CommandError::failed("an acknowledged record is missing, or a store is damaged")),
    }
}
