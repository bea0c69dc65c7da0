//! The settings of gossip between proxies (`<peers>`).

use crate::{no_advertised_address, parse_address, parse_addresses, parse_advertised_address};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Gossip between proxies over UDP: membership, and the data that is piggybacked on it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GossipSettings {
    /// The address at which datagrams from peers are received.
    #[serde(rename = "@listen")]
    pub listen: String,
    /// The address that peers send to; `0.0.0.0:0` stands for the listening address.
    #[serde(default = "no_advertised_address", rename = "@advertise")]
    pub advertise: String,
    /// The addresses that are contacted while no peer is known, separated by spaces.
    #[serde(rename = "@seeds")]
    pub seeds: String,
    /// Milliseconds between probes of a peer.
    #[serde(default = "default_probe_ms", rename = "@probe-ms")]
    pub probe_ms: u64,
    /// Milliseconds between gossip messages.
    #[serde(default = "default_gossip_ms", rename = "@gossip-ms")]
    pub gossip_ms: u64,
    /// Milliseconds after which a suspected peer is considered dead.
    #[serde(default = "default_suspect_ms", rename = "@suspect-ms")]
    pub suspect_ms: u64,
    /// The number of peers that each gossip message is sent to.
    #[serde(default = "default_fanout", rename = "@fanout")]
    pub fanout: usize,
    /// The approximate number of proxies.
    #[serde(default = "default_expected_proxies", rename = "@expected")]
    pub expected_proxies: u32,
    /// The behavior of a proxy that reaches no majority of its fleet.
    #[serde(default, rename = "@alone")]
    pub in_minority: MinorityBehavior,
    /// Milliseconds added to the clock of the gossip, for tests with clock skew.
    #[serde(default, rename = "@clock-skew-ms")]
    pub clock_skew_ms: i64,
}

/// The behavior of a proxy that reaches no majority of its fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MinorityBehavior {
    /// It does not fail over from any zone, like a proxy without peers.
    #[default]
    #[serde(rename = "serve")]
    NoFailover,
    /// It decides on failovers from its own view of the zones.
    #[serde(rename = "own")]
    OwnView,
}

impl GossipSettings {
    /// Returns the address to listen on.
    pub fn listen(&self) -> SocketAddrV4 {
        parse_address(&self.listen)
    }

    /// Returns the address that peers send to, if it is not the listening address.
    pub fn advertise(&self) -> Option<SocketAddrV4> {
        parse_advertised_address(&self.advertise)
    }

    /// Returns the addresses that are contacted while no peer is known.
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
