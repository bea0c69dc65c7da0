//! Endpoint lists for the tracker tests.

#![allow(dead_code)] // Each test file uses only some of these items.

use wharfplank_discovery::PollKind;
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};

/// One second in microseconds.
pub const SECOND: i64 = 1_000_000;

/// Returns an endpoint of this name and health.
pub fn endpoint(name: &str, health: EndpointHealth) -> EndpointRecord {
    EndpointRecord {
        name: name.into(),
        address: Some("127.0.0.1:1".parse().unwrap()),
        zone: String::new(),
        group: 0,
        health,
        started_at_ms: 0,
        primary: false,
    }
}

fn active_endpoints(names: &[&str]) -> Vec<EndpointRecord> {
    names.iter().map(|name| endpoint(name, EndpointHealth::Active)).collect()
}

/// Returns a complete list with these active endpoints.
pub fn full_list(version: u64, names: &[&str]) -> EndpointList {
    EndpointList { version, complete: true, endpoints: active_endpoints(names) }
}

/// Returns a change that adds these active endpoints.
pub fn change(version: u64, names: &[&str]) -> EndpointList {
    EndpointList { version, complete: false, endpoints: active_endpoints(names) }
}

/// Returns the answer to a poll of this kind if only the version changed.
pub fn unchanged(kind: PollKind, version: u64, names: &[&str]) -> EndpointList {
    match kind {
        PollKind::FullList => full_list(version, names),
        PollKind::Watch { .. } => change(version, &[]),
    }
}
