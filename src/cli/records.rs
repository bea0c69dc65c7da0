//! `records`, `report`: the contents of record stores.

use super::error::CommandError;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use wharfplank::incidents::gather::gather;
use wharfplank::records::reader::{RunState, StoreSet};
use wharfplank::records::Micros;
use wharfplank::report::{html, Facts};

/// The time span to report on.
#[derive(clap::Args, Default)]
pub struct Span {
    /// Only the last SECONDS of the records.
    #[arg(long, value_name = "SECONDS")]
    last: Option<u32>,
}

impl Span {
    fn of(&self, stores: &StoreSet) -> Result<(Micros, Micros), CommandError> {
        let (from, to) = stores.span().ok_or_else(|| {
            let problems = stores.problem_texts().join("; ");
            CommandError::failed(format!(
                "no records found; name a directory with PROXY.wharfplank files. {problems}"
            ))
        })?;
        Ok((self.last.map_or(from, |s| from.max(to - Micros::from(s) * 1_000_000)), to))
    }
}

/// Prints the runs, sizes and gaps of stores.
pub fn records(paths: &[PathBuf]) -> Result<(), CommandError> {
    let set = StoreSet::open(paths);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
    for store in &set.stores {
        let bytes = store.used_bytes().map_err(CommandError::failed)?;
        println!("{}: {:.1} MB", store.proxy, bytes as f64 / 1e6);
        for run in &store.runs {
            let state = match run.state(now) {
                RunState::Ended => "shut down",
                RunState::Killed => "killed",
                RunState::Running => "running",
            };
            let (from, to) = (html::utc(run.started_at), html::utc(run.last_alive_at));
            println!("  run {}: {from} to {to}, {state}", run.id);
        }
        for gap in store.gaps() {
            println!("  no records: {} to {}, {}", html::utc(gap.from), html::utc(gap.to), gap.cause.name());
        }
    }
    set.problems.iter().for_each(|problem| eprintln!("wharfplank: cannot read {problem}"));
    match set.stores.is_empty() {
        true => Err(CommandError::failed("no records found; name a directory with PROXY.wharfplank files")),
        false => Ok(()),
    }
}

/// Returns the facts about a time span.
pub fn facts(paths: &[PathBuf], span: &Span) -> Result<Facts, CommandError> {
    let stores = StoreSet::open(paths);
    let (from, to) = span.of(&stores)?;
    Ok(Facts::from_evidence(gather(&stores, from, to)))
}

/// Writes a report and prints its summary.
pub fn report(
    paths: &[PathBuf],
    span: &Span,
    out: Option<&Path>,
    json: Option<&Path>,
) -> Result<(), CommandError> {
    let facts = facts(paths, span)?;
    let write = |path: &Path, text: String| {
        std::fs::write(path, text).map_err(|e| CommandError::failed(format!("{}: {e}", path.display())))
    };
    if let Some(path) = json {
        write(path, serde_json::to_string_pretty(&facts).map_err(CommandError::failed)?)?;
    }
    if let Some(path) = out {
        write(path, html::render(&facts).map_err(CommandError::failed)?)?;
    }
    facts.summary.iter().for_each(|sentence| println!("{sentence}"));
    Ok(())
}
