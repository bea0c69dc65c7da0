//! The snapshot file of the shared state: read at the start, and written by a thread of its own.

use crate::error::{Component, StartError};
use crate::log;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver};
use thiserror::Error;
use wharfplank_routing::Micros;
use wharfplank_shared_state::snapshot::{SnapshotError, MAX_SNAPSHOT_BYTES};
use wharfplank_shared_state::SharedState;

/// Snapshots that may wait to be written.
const QUEUE: usize = 1;

/// Why a snapshot is not used.
#[derive(Debug, Error)]
enum RestoreError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Invalid(#[from] SnapshotError),
}

/// Merges the snapshot into the state where there is one; a snapshot that cannot be used is logged.
pub(super) fn restore(state: &mut SharedState, now: Micros, path: &Path) {
    if !path.exists() {
        return;
    }
    match read_into(state, now, path) {
        Ok(entries) => log::snapshot_event(&format!("{entries} entries taken from {}", path.display())),
        Err(error) => log::snapshot_event(&format!("{} is not used: {error}", path.display())),
    }
}

/// Returns the number of entries that were new to the state.
fn read_into(state: &mut SharedState, now: Micros, path: &Path) -> Result<usize, RestoreError> {
    let bytes = read_bounded(path)?;
    Ok(state.restore(now, &bytes)?)
}

fn read_bounded(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let max_bytes = MAX_SNAPSHOT_BYTES as u64 + 1;
    std::fs::File::open(path)?.take(max_bytes).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Starts the writer's thread. The returned function queues a snapshot without waiting; one that finds the queue full is
/// dropped, since another follows.
pub(super) fn start_writer(path: PathBuf) -> Result<impl Fn(Vec<u8>) + Send, StartError> {
    let (sender, snapshots) = sync_channel::<Vec<u8>>(QUEUE);
    std::thread::Builder::new()
        .name("replica".to_string())
        .spawn(move || write_all(&path, &snapshots))
        .map_err(StartError::component_start(Component::Replica))?;
    Ok(move |bytes| {
        let _ = sender.try_send(bytes);
    })
}

/// Writes each snapshot beside the file and renames it, so that a kill leaves a complete one. The first of a series of
/// faults is logged.
fn write_all(path: &Path, snapshots: &Receiver<Vec<u8>>) {
    let temporary = path.with_extension("new");
    let mut has_failed = false;
    while let Ok(bytes) = snapshots.recv() {
        let written = std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, path));
        match &written {
            Err(error) if !has_failed => log::snapshot_event(&format!("{}: {error}", path.display())),
            _ => {}
        }
        has_failed = written.is_err();
    }
}
