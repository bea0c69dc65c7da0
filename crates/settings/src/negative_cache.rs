//! The settings of the negative cache (`<missing>`).

use crate::{empty_list, parse_address, parse_addresses};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// The negative cache: keys known not to exist, shared by the proxies.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NegativeCacheSettings {
    /// The address at which datagrams are received. If it is among `lease_servers`, this process is that
    /// server.
    #[serde(rename = "@listen")]
    pub listen: String,
    /// The servers of write leases, separated by spaces, in the same order at all proxies.
    #[serde(rename = "@banks")]
    pub lease_servers: String,
    /// The secret with which all proxies hash keys.
    #[serde(rename = "@secret")]
    pub secret: String,
    /// The read classes, separated by spaces, whose first quoted value is the only key that they read.
    #[serde(rename = "@reads")]
    pub read_classes: String,
    /// The write classes, separated by spaces, whose first quoted value is the only key that they write.
    /// Other writes are assumed to write every key.
    #[serde(default = "empty_list", rename = "@writes")]
    pub write_classes: String,
    /// The maximum difference in milliseconds between any two clocks, including those of members.
    #[serde(default = "default_max_clock_skew_ms", rename = "@apart-ms")]
    pub max_clock_skew_ms: i64,
    /// The maximum time in milliseconds from the first byte of a write to its commit, if it commits.
    #[serde(default = "default_max_commit_delay_ms", rename = "@late-ms")]
    pub max_commit_delay_ms: i64,
    /// The maximum number of cached entries that were looked up more than once.
    #[serde(default = "default_max_entries", rename = "@facts")]
    pub max_entries: usize,
}

impl NegativeCacheSettings {
    /// Returns the address to listen on.
    pub fn listen(&self) -> SocketAddrV4 {
        parse_address(&self.listen)
    }

    /// Returns the servers of write leases.
    pub fn lease_servers(&self) -> Vec<SocketAddrV4> {
        parse_addresses(&self.lease_servers)
    }
}

fn default_max_clock_skew_ms() -> i64 {
    100
}

fn default_max_commit_delay_ms() -> i64 {
    10_000
}

fn default_max_entries() -> usize {
    1_048_576
}
