//! The settings of the gossip between proxies (`<peers>`).

use crate::{no_advertised_address, parse_address, parse_addresses, parse_advertised_address};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Gossip between proxies over UDP: membership, and what rides on it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GossipSettings {
    /// The address at which datagrams of peers are received.
    #[serde(rename = "@listen")]
    pub listen: String,
    /// The address that peers send to; `0.0.0.0:0` stands for the listening address.
    #[serde(default = "no_advertised_address", rename = "@advertise")]
    pub advertise: String,
    /// Addresses, separated by spaces, that are contacted while no peer is known.
    #[serde(rename = "@seeds")]
    pub seeds: String,
    /// Milliseconds between probes of a peer.
    #[serde(default = "default_probe_ms", rename = "@probe-ms")]
    pub probe_ms: u64,
    /// Milliseconds between gossip messages.
    #[serde(default = "default_gossip_ms", rename = "@gossip-ms")]
    pub gossip_ms: u64,
    /// Milliseconds before a suspected peer counts as dead.
    #[serde(default = "default_suspect_ms", rename = "@suspect-ms")]
    pub suspect_ms: u64,
    /// The number of peers that each gossip message goes to.
    #[serde(default = "default_fanout", rename = "@fanout")]
    pub fanout: usize,
    /// The approximate number of proxies.
    #[serde(default = "default_expected_proxies", rename = "@expected")]
    pub expected_proxies: u32,
    /// What a proxy does that reaches no majority of its fleet.
    #[serde(default, rename = "@alone")]
    pub in_minority: MinorityBehavior,
    /// Milliseconds added to the clock of the gossip, for tests of clocks that differ.
    #[serde(default, rename = "@clock-skew-ms")]
    pub clock_skew_ms: i64,
}

/// What a proxy does that reaches no majority of its fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MinorityBehavior {
    /// It fails over from no zone, like a proxy without peers.
    #[default]
    Serve,
    /// It follows its own opinion of the zones.
    Own,
}

impl GossipSettings {
    /// The address to listen on.
    pub fn listen(&self) -> SocketAddrV4 {
        parse_address(&self.listen)
    }

    /// The address that peers send to, if it is not the listening address.
    pub fn advertise(&self) -> Option<SocketAddrV4> {
        parse_advertised_address(&self.advertise)
    }

    /// The addresses that are contacted while no peer is known.
    pub fn seeds(&self) -> Vec<SocketAddrV4> {
        parse_addresses(&self.seeds)
    }
}

fn default_probe_ms() -> u64 {
    500
}

fn default_gossip_ms() -> u64 {
    100
}

fn default_suspect_ms() -> u64 {
    2000
}

fn default_fanout() -> usize {
    3
}

fn default_expected_proxies() -> u32 {
    100
}
