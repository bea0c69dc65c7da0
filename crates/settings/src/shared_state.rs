//! The settings of the state shared by the proxies (`<replica>`) and of fleet-wide outlier detection
//! (`<health>`).

use crate::{no_file, NO_FILE};
use serde::Deserialize;
use std::path::PathBuf;

/// The state that the proxies replicate among each other.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedStateSettings {
    /// Bytes sent to peers per second.
    #[serde(default = "default_bytes_per_second", rename = "@bytes-per-second")]
    pub bytes_per_second: u64,
    /// Milliseconds between anti-entropy exchanges while replicas do not differ.
    #[serde(default = "default_sync_ms", rename = "@sync-ms")]
    pub sync_ms: u64,
    /// The path of the snapshot file; `no` for none.
    #[serde(default = "no_file", rename = "@snapshot")]
    pub snapshot: String,
}

impl SharedStateSettings {
    /// Returns the path of the snapshot file, if there is one.
    pub fn snapshot(&self) -> Option<PathBuf> {
        (self.snapshot != NO_FILE).then(|| PathBuf::from(&self.snapshot))
    }
}

/// Fleet-wide outlier detection, which has no attributes.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthSettings {}

fn default_bytes_per_second() -> u64 {
    16384
}

fn default_sync_ms() -> u64 {
    2000
}
