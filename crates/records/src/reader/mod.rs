//! Stores of several proxies, read while they may be written.
//!
//! What is not known is said: a [`Gap`] has its span and its cause, and nothing is filled in.

mod error;
mod gap;
mod store_reader;

pub use error::{ReadError, StoreProblem};
pub use gap::{Gap, GapCause};
pub use store_reader::{BlockFilter, Name, NameKind, Run, RunState, StoreReader, WindowSummary, MAX_SILENCE};

use crate::record::Micros;
use std::path::{Path, PathBuf};

/// The extension of a store's file.
const STORE_EXTENSION: &str = "wharfplank";

/// The stores in some directories.
#[derive(Debug, Default)]
pub struct StoreSet {
    /// The files that can be read.
    pub stores: Vec<StoreReader>,
    /// The files and directories that cannot be read, and why.
    pub problems: Vec<StoreProblem>,
}

impl StoreSet {
    /// Opens each store in some directories, or the files themselves.
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

    /// The files and directories that cannot be read, each with its reason, as an operator is shown them.
    pub fn problem_texts(&self) -> Vec<String> {
        self.problems.iter().map(ToString::to_string).collect()
    }

    /// The first and the last time that any record is about.
    pub fn span(&self) -> Option<(Micros, Micros)> {
        let runs = || self.stores.iter().flat_map(|store| &store.runs);
        let first = runs().map(|run| run.started_at).min()?;
        let last = runs().map(|run| run.last_alive_at).max()?;
        Some((first, last))
    }
}

/// The files of stores in a directory in the order of their names, or the file itself.
fn store_files(path: &Path) -> std::io::Result<Vec<PathBuf>> {
    if path.is_file() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut files: Vec<PathBuf> = std::fs::read_dir(path)?.flatten().map(|entry| entry.path()).collect();
    files.retain(|file| file.extension().is_some_and(|extension| extension == STORE_EXTENSION));
    files.sort();
    Ok(files)
}
