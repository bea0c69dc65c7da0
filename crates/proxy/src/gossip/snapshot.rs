//! The snapshot file of the shared state, read at startup and written by a dedicated thread.

use crate::error::{Component, StartError};
use crate::log;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver};
use thiserror::Error;
use wharfplank_routing::Micros;
use wharfplank_shared_state::snapshot::{SnapshotError, MAX_SNAPSHOT_BYTES};
use wharfplank_shared_state::SharedState;

/// The maximum number of snapshots that wait to be written.
const QUEUE_CAPACITY: usize = 1;

/// An error on restoring a snapshot.
#[derive(Debug, Error)]
enum RestoreError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Invalid(#[from] SnapshotError),
}

/// Merges the snapshot into the state if there is one. A snapshot that cannot be restored is logged.
pub(super) fn restore(state: &mut SharedState, now: Micros, path: &Path) {
    if !path.exists() {
        return;
    }
    match read_into(state, now, path) {
        Ok(entries) => log::snapshot_event(&format!("restored {entries} entries from {}", path.display())),
        Err(error) => log::snapshot_event(&format!("cannot restore snapshot {}: {error}", path.display())),
    }
}

/// Restores the snapshot, and returns the number of entries that were new to the state.
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

/// Starts the writer thread. The returned function queues a snapshot without blocking. If the queue is full
/// the snapshot is dropped, since a newer one follows.
pub(super) fn start_writer(path: PathBuf) -> Result<impl Fn(Vec<u8>) + Send, StartError> {
    let (sender, snapshots) = sync_channel::<Vec<u8>>(QUEUE_CAPACITY);
    std::thread::Builder::new()
        .name("replica".to_string())
        .spawn(move || write_all(&path, &snapshots))
        .map_err(StartError::component_start(Component::Snapshot))?;
    Ok(move |bytes| {
        let _ = sender.try_send(bytes);
    })
}

/// Writes each snapshot to a temporary file and renames it, so that the snapshot stays complete if the
/// process is killed. Only the first of consecutive errors is logged.
fn write_all(path: &Path, snapshots: &Receiver<Vec<u8>>) {
    let temporary = path.with_extension("new");
    let mut failed = false;
    while let Ok(bytes) = snapshots.recv() {
        let written = std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, path));
        match &written {
            Err(error) if !failed => log::snapshot_event(&format!("cannot save {}: {error}", path.display())),
            _ => {}
        }
        failed = written.is_err();
    }
}
