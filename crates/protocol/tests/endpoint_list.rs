//! The JSON form of the endpoint list.

use wharfplank_protocol::endpoint_list::{from_json, to_json, EndpointHealth, EndpointList, EndpointRecord};

#[test]
fn json_round_trip_keeps_the_list() {
    let endpoint = |name: &str, health, primary| EndpointRecord {
        name: name.to_string(),
        address: "127.0.0.1:5433".parse().ok(),
        zone: "a".to_string(),
        group: 3,
        health,
        started_at_ms: 7,
        primary,
    };
    let endpoints =
        vec![endpoint("m1", EndpointHealth::Active, true), endpoint("m2", EndpointHealth::Draining, false)];
    let list = EndpointList { version: 41, complete: true, endpoints };
    assert_eq!(from_json(&to_json(&list)), Ok(list));
}
