//! Bounded reads and atomic replacement of files.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Whether [`replace`] waits until the file is on the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Durability {
    /// The file and its name are on the disk.
    Synced,
    /// The operating system writes the file to the disk later.
    Buffered,
}

/// Reads at most the first `max_bytes` of a file.
pub(super) fn read_bounded(path: &Path, max_bytes: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(max_bytes).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Replaces a file atomically: writes a temporary file in the same directory and renames it, so that the file
/// is never incomplete.
pub(super) fn replace(path: &Path, bytes: &[u8], durability: Durability) -> io::Result<()> {
    let temporary = with_suffix(path, ".new");
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    if durability == Durability::Synced {
        file.sync_all()?;
    }
    drop(file);
    fs::rename(&temporary, path)?;
    match durability {
        Durability::Synced => sync_directory_of(path),
        Durability::Buffered => Ok(()),
    }
}

/// Appends a suffix to the last component of a path.
pub(super) fn with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.to_path_buf().into_os_string();
    name.push(suffix);
    PathBuf::from(name)
}

fn sync_directory_of(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(parent) if parent.as_os_str().is_empty() => File::open(".")?.sync_all(),
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}
