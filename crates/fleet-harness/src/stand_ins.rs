//! The stand-in members of a run.

use crate::schedule::ZONES;
use serde_json::Value;
use std::net::SocketAddr;
use wharfplank_lab::stand::Stand;

/// The address and the zone of each stand-in member.
pub(crate) fn member_addresses(stand: &Stand) -> Vec<(SocketAddr, &'static str)> {
    let list = stand.list();
    let hosts = list.get("hosts").and_then(Value::as_array).cloned().unwrap_or_default();
    let zone_of = |site: &str| ZONES.into_iter().find(|zone| *zone == site).unwrap_or(ZONES[0]);
    let address = |host: &Value| {
        let dial = host.get("dial")?.as_str()?.parse().ok()?;
        Some((dial, zone_of(host.get("site")?.as_str()?)))
    };
    hosts.iter().filter_map(address).collect()
}
