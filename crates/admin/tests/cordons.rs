//! Cordons in combination with the endpoint list from discovery.

use wharfplank_admin::cordons::MAX_ENTRIES;
use wharfplank_admin::{CordonError, Cordons};
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_routing::Micros;

fn endpoint(health: EndpointHealth, started_at_ms: i64) -> EndpointRecord {
    EndpointRecord {
        name: "m1".to_string(),
        address: None,
        zone: "a".to_string(),
        group: 1,
        health,
        started_at_ms,
        primary: false,
    }
}

/// Guards against an endpoint list that puts a cordoned member back into service, since discovery does not
/// know about cordons, and against a member that was cordoned twice and needs two uncordons.
#[test]
fn cordon_overrides_the_endpoint_list() {
    let mut cordons = Cordons::default();
    assert_eq!(cordons.cordon("m1", true), Ok(()));
    assert_eq!(cordons.cordon("m1", false), Ok(()), "cordoned before, no longer listed");
    assert_eq!(cordons.apply(&endpoint(EndpointHealth::Active, 7)).health, EndpointHealth::Draining);
    assert_eq!(cordons.apply(&endpoint(EndpointHealth::Removed, 7)).health, EndpointHealth::Removed);
    cordons.retain_uncordoned(|_| false);
    assert!(cordons.is_cordoned("m1"));
    assert_eq!(cordons.uncordon("m1", false, 5_000_000), Ok(()));
    assert!(!cordons.is_cordoned("m1"));
    assert_eq!(cordons.apply(&endpoint(EndpointHealth::Active, 7)).health, EndpointHealth::Active);
}

/// Guards against full load on a member that was restarted while cordoned and whose restart discovery reports
/// late.
#[test]
fn uncordoned_member_counts_as_just_started() {
    let mut cordons = Cordons::default();
    assert_eq!(cordons.uncordon("m1", true, 4_000_000), Ok(()));
    assert_eq!(cordons.apply(&endpoint(EndpointHealth::Active, 7)).started_at_ms, 7, "it was not cordoned");
    assert_eq!(cordons.cordon("m1", true), Ok(()));
    assert_eq!(cordons.uncordon("m1", true, 5_000_000), Ok(()));
    assert_eq!(cordons.apply(&endpoint(EndpointHealth::Active, 7)).started_at_ms, 5_000);
    assert_eq!(cordons.apply(&endpoint(EndpointHealth::Active, 6_000)).started_at_ms, 6_000);
    let restored = Cordons::restore(cordons.cordoned().map(str::to_string), [("m1".to_string(), 5_000_000)]);
    assert_eq!(restored, cordons);
    cordons.retain_uncordoned(|_| false);
    assert_eq!(cordons.apply(&endpoint(EndpointHealth::Active, 7)).started_at_ms, 7);
}

#[test]
fn rejects_unknown_ids_and_bounds_tables() {
    let mut cordons = Cordons::default();
    assert_eq!(cordons.cordon("m9", false), Err(CordonError::UnknownMember));
    assert_eq!(cordons.uncordon("m9", false, 1), Err(CordonError::UnknownMember));
    for n in 0..MAX_ENTRIES {
        assert_eq!(cordons.cordon(&n.to_string(), true), Ok(()));
    }
    assert_eq!(cordons.cordon("one more", true), Err(CordonError::TooManyCordons));
    for n in 0..MAX_ENTRIES {
        assert_eq!(cordons.uncordon(&n.to_string(), true, n as Micros), Ok(()));
    }
    assert_eq!(cordons.cordon("one more", true), Ok(()));
    assert_eq!(cordons.uncordon("one more", true, 9_999), Ok(()));
    assert_eq!(cordons.uncordoned_at().count(), MAX_ENTRIES);
    assert!(cordons.uncordoned_at().all(|(id, _)| id != "0"));
}
