//! `records`, `report`: what the stores hold.

use super::error::CommandError;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use wharfplank::incidents::gather::gather;
use wharfplank::records::reader::Reader;
use wharfplank::records::Micros;
use wharfplank::report::{html, Facts};

/// The span to look at, in seconds before the last record.
#[derive(clap::Args, Default)]
pub struct Span {
    /// Only the last so many seconds of the records.
    #[arg(long, value_name = "SECONDS")]
    last: Option<u32>,
}

impl Span {
    fn of(&self, reader: &Reader) -> Result<(Micros, Micros), CommandError> {
        let (from, to) = reader.span().ok_or_else(|| {
            let problems = reader.problems.join("; ");
            CommandError::failed(format!(
                "no records found; name a directory with PROXY.wharfplank files. {problems}"
            ))
        })?;
        Ok((self.last.map_or(from, |s| from.max(to - Micros::from(s) * 1_000_000)), to))
    }
}

/// Says what the stores hold.
pub fn records(paths: &[PathBuf]) -> Result<(), CommandError> {
    let reader = Reader::open(paths);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
    for source in &reader.sources {
        let bytes = source.bytes().map_err(CommandError::failed)?;
        println!("{}: {:.1} MB", source.proxy, bytes as f64 / 1e6);
        for run in &source.runs {
            let silent = now - run.alive > wharfplank::records::reader::SILENT;
            let end = match run.ended {
                Some(_) => "ended in order",
                None if silent => "cut off",
                None => "running",
            };
            println!("  run {}: {} to {}, {end}", run.run, html::utc(run.started), html::utc(run.alive));
        }
        for gap in source.gaps() {
            println!(
                "  nothing known: {} to {}, {}",
                html::utc(gap.from),
                html::utc(gap.to),
                gap.cause.name()
            );
        }
    }
    reader.problems.iter().for_each(|problem| eprintln!("wharfplank: cannot be read: {problem}"));
    match reader.sources.is_empty() {
        true => Err(CommandError::failed("no records found; name a directory with PROXY.wharfplank files")),
        false => Ok(()),
    }
}

/// The facts of a span.
pub fn facts(paths: &[PathBuf], span: &Span) -> Result<Facts, CommandError> {
    let reader = Reader::open(paths);
    let (from, to) = span.of(&reader)?;
    Ok(Facts::of(gather(&reader, from, to)))
}

/// Writes a report.
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
