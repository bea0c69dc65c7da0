//! What is held as the bytes of a file, for an installation with a disk, and read back on start. A snapshot is believed
//! as a peer would be: each entry by its rule and its age, so an old one brings back nothing that is over.

use crate::entry::{Entry, Key};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;
use twox_hash::XxHash3_64;

/// The largest snapshot that is read.
pub const SNAPSHOT_BYTES_MOST: usize = 4 << 20;
const VERSION: u8 = 1;

#[derive(Serialize, Deserialize)]
struct Body {
    version: u8,
    saved_at: Micros,
    entries: Vec<(Key, Entry)>,
}

/// Why a snapshot is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is larger than any that is written.
    TooLarge,
    /// It is cut short or was changed: its checksum does not fit.
    Damaged,
    /// It was written by another version.
    Version,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::TooLarge => "larger than any snapshot",
            Fault::Damaged => "damaged: the checksum does not fit",
            Fault::Version => "of another version",
        })
    }
}

/// The bytes of a snapshot.
pub fn write(saved_at: Micros, entries: Vec<(Key, Entry)>) -> Vec<u8> {
    let body = Body { version: VERSION, saved_at, entries };
    let mut bytes = postcard::to_allocvec(&body).unwrap_or_default();
    bytes.extend_from_slice(&XxHash3_64::oneshot(&bytes).to_le_bytes());
    bytes
}

/// The entries of a snapshot.
pub fn read(bytes: &[u8]) -> Result<Vec<(Key, Entry)>, Fault> {
    if bytes.len() > SNAPSHOT_BYTES_MOST {
        return Err(Fault::TooLarge);
    }
    let Some((body, sum)) = bytes.split_last_chunk::<8>() else { return Err(Fault::Damaged) };
    if XxHash3_64::oneshot(body) != u64::from_le_bytes(*sum) {
        return Err(Fault::Damaged);
    }
    let body: Body = postcard::from_bytes(body).map_err(|_| Fault::Damaged)?;
    if body.version != VERSION {
        return Err(Fault::Version);
    }
    Ok(body.entries)
}
