//! `lab tally`: totals over the logs of many proxies.

use super::super::error::CommandError;
use std::path::PathBuf;

/// Adds up the logs of many proxies and prints the totals.
pub fn tally(paths: &[PathBuf], by_second: &[String]) -> Result<(), CommandError> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            let entries = std::fs::read_dir(path)
                .map_err(|e| CommandError::failed(format!("{}: {e}", path.display())))?;
            let mut logs: Vec<PathBuf> = entries
                .filter_map(|e| e.ok().map(|e| e.path()))
                .filter(|p| p.extension().is_some_and(|e| e == "log"))
                .collect();
            logs.sort();
            files.extend(logs);
        } else {
            files.push(path.clone());
        }
    }
    let mut tally = wharfplank::lab::tally::Tally::default();
    for file in &files {
        let bytes =
            std::fs::read(file).map_err(|e| CommandError::failed(format!("{}: {e}", file.display())))?;
        tally.add_log(&String::from_utf8_lossy(&bytes));
    }
    print!("{}", tally.render(by_second));
    Ok(())
}
