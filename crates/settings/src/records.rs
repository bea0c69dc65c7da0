//! The settings of the records (`<records>`).

use serde::Deserialize;
use std::path::PathBuf;

/// The records of decisions and observations of the program.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordSettings {
    /// The directory of the store, which must exist.
    #[serde(rename = "@directory")]
    pub directory: PathBuf,
    /// The name of the proxy.
    #[serde(rename = "@proxy")]
    pub proxy: String,
    /// The maximum size of the store in MiB; beyond it the oldest records are removed.
    #[serde(default = "default_max_megabytes", rename = "@max-megabytes")]
    pub max_megabytes: u64,
    /// The number of days for which records of individual responses are kept.
    #[serde(default = "default_keep_days", rename = "@keep-days")]
    pub keep_days: u32,
    /// The number of days for which sums and all other records are kept.
    #[serde(default = "default_keep_sums_days", rename = "@keep-sums-days")]
    pub keep_sums_days: u32,
    /// The maximum number of records that wait to be written.
    #[serde(default = "default_queue_capacity", rename = "@queue")]
    pub queue_capacity: usize,
    /// The maximum time in milliseconds before a record is flushed.
    #[serde(default = "default_flush_ms", rename = "@flush-ms")]
    pub flush_ms: u64,
}

fn default_max_megabytes() -> u64 {
    1024
}

fn default_keep_days() -> u32 {
    7
}

fn default_keep_sums_days() -> u32 {
    400
}

fn default_queue_capacity() -> usize {
    16384
}

fn default_flush_ms() -> u64 {
    500
}
