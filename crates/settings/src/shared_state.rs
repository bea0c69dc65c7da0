//! The settings of the state shared by the proxies (`<replica>`) and of fleet-wide outlier detection (`<health>`).

use crate::{no_file, NO_FILE};
use serde::Deserialize;
use std::path::PathBuf;

/// What proxies learn, replicated among them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedStateSettings {
    /// Bytes sent to peers a second.
    #[serde(default = "default_bytes_per_second", rename = "@bytes-per-second")]
    pub bytes_per_second: u64,
    /// Milliseconds between anti-entropy exchanges while nothing differs.
    #[serde(default = "default_sync_ms", rename = "@sync-ms")]
    pub sync_ms: u64,
    /// The file of the snapshot; `no` for none.
    #[serde(default = "no_file", rename = "@snapshot")]
    pub snapshot: String,
}

impl SharedStateSettings {
    /// The file of the snapshot, if there is one.
    pub fn snapshot(&self) -> Option<PathBuf> {
        (self.snapshot != NO_FILE).then(|| PathBuf::from(&self.snapshot))
    }
}

/// Fleet-wide outlier detection: there is nothing to set.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthSettings {}

fn default_bytes_per_second() -> u64 {
    16384
}

fn default_sync_ms() -> u64 {
    2000
}
