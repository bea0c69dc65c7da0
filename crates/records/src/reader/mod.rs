//! Reads the stores of several proxies while they may be written.
//!
//! Missing records are reported as a [`Gap`] with its span and cause, and never interpolated.

mod error;
mod gap;
mod names;
mod run;
mod store_reader;

pub use error::{ReadError, StoreProblem};
pub use gap::{Gap, GapCause};
pub use names::{Name, NameKind};
pub use run::{Run, RunState, MAX_SILENCE};
pub use store_reader::{BlockFilter, StoreReader, WindowSummary};

use crate::record::Micros;
use std::path::{Path, PathBuf};

/// The file extension of stores.
const STORE_EXTENSION: &str = "wharfplank";

/// A set of stores that were opened together.
#[derive(Debug, Default)]
pub struct StoreSet {
    /// The stores that can be read.
    pub stores: Vec<StoreReader>,
    /// The files and directories that cannot be read, each with the reason.
    pub problems: Vec<StoreProblem>,
}

impl StoreSet {
    /// Opens the stores at these paths. A path is a store or a directory of stores.
    pub fn open(paths: &[PathBuf]) -> StoreSet {
        let mut set = StoreSet::default();
        for path in paths {
            match store_files(path) {
                Ok(files) => files.iter().for_each(|file| set.open_file(file)),
                Err(error) => set.problems.push(StoreProblem { path: path.clone(), error: error.into() }),
            }
        }
        set
    }

    fn open_file(&mut self, path: &Path) {
        match StoreReader::open(path) {
            Ok(store) => self.stores.push(store),
            Err(error) => self.problems.push(StoreProblem { path: path.to_path_buf(), error }),
        }
    }

    /// Returns messages for operators about the files and directories that cannot be read.
    pub fn problem_texts(&self) -> Vec<String> {
        self.problems.iter().map(ToString::to_string).collect()
    }

    /// Returns the earliest start and the latest known time of all runs.
    pub fn span(&self) -> Option<(Micros, Micros)> {
        let runs = || self.stores.iter().flat_map(|store| &store.runs);
        let first = runs().map(|run| run.started_at).min()?;
        let last = runs().map(|run| run.last_alive_at).max()?;
        Some((first, last))
    }
}

/// Returns the store files in a directory sorted by name, or the path itself if it is a file.
fn store_files(path: &Path) -> std::io::Result<Vec<PathBuf>> {
    if path.is_file() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut files: Vec<PathBuf> = std::fs::read_dir(path)?.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == STORE_EXTENSION));
    files.sort();
    Ok(files)
}
