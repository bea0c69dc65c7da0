//! The file encoding of a snapshot: the entries of a store, which a restarted process reads back. Restored
//! entries are merged like entries from a peer, so a stale snapshot does not restore entries past their time
//! to live.

use crate::entry::Entry;
use crate::key::Key;
use crate::Micros;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

/// The maximum size of a snapshot that is decoded, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// The version of the encoding.
const VERSION: u8 = 1;

#[derive(Serialize, Deserialize)]
struct Body {
    version: u8,
    saved_at: Micros,
    entries: Vec<(Key, Entry)>,
}

/// The reason why a snapshot cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The snapshot is larger than [`MAX_SNAPSHOT_BYTES`].
    #[error("snapshot is larger than {MAX_SNAPSHOT_BYTES} bytes")]
    TooLarge,
    /// The snapshot is truncated or was altered.
    #[error("snapshot is damaged: checksum or encoding is invalid")]
    Damaged,
    /// The snapshot was written in another version of the encoding.
    #[error("snapshot has an unsupported version; expected {VERSION}")]
    Version,
}

/// Encodes a snapshot taken at `saved_at`, in microseconds of the wall clock.
pub fn encode(saved_at: Micros, entries: Vec<(Key, Entry)>) -> Vec<u8> {
    let body = Body { version: VERSION, saved_at, entries };
    let mut bytes = postcard::to_allocvec(&body).unwrap_or_default();
    let checksum = XxHash3_64::oneshot(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes the entries of a snapshot.
///
/// # Errors
///
/// Returns a [`SnapshotError`] if the snapshot is too large, damaged or of another version.
pub fn decode(bytes: &[u8]) -> Result<Vec<(Key, Entry)>, SnapshotError> {
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLarge);
    }
    let (body, checksum) = bytes.split_last_chunk::<8>().ok_or(SnapshotError::Damaged)?;
    if XxHash3_64::oneshot(body) != u64::from_le_bytes(*checksum) {
        return Err(SnapshotError::Damaged);
    }
    let body: Body = postcard::from_bytes(body).map_err(|_| SnapshotError::Damaged)?;
    if body.version != VERSION {
        return Err(SnapshotError::Version);
    }
    Ok(body.entries)
}
