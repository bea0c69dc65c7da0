//! Cordons beside what discovery reports.

use wharfplank_admin::cordons::MAX_ENTRIES;
use wharfplank_admin::{CordonError, Cordons};
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_routing::Micros;

fn host(health: EndpointHealth, started_at_ms: i64) -> EndpointRecord {
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

/// Guards against discovery, which knows nothing of cordons, putting a member back into service, and against two
/// cordons that need two uncordons.
#[test]
fn a_cordon_holds_whatever_the_list_says() {
    let mut cordons = Cordons::default();
    assert_eq!(cordons.cordon("m1", true), Ok(()));
    assert_eq!(cordons.cordon("m1", false), Ok(()), "the list may lack it by now");
    assert_eq!(cordons.apply(&host(EndpointHealth::Active, 7)).health, EndpointHealth::Draining);
    assert_eq!(cordons.apply(&host(EndpointHealth::Removed, 7)).health, EndpointHealth::Removed);
    cordons.retain_uncordoned(|_| false);
    assert!(cordons.is_cordoned("m1"));
    assert_eq!(cordons.uncordon("m1", false, 5_000_000), Ok(()));
    assert!(!cordons.is_cordoned("m1"));
    assert_eq!(cordons.apply(&host(EndpointHealth::Active, 7)).health, EndpointHealth::Active);
}

/// Guards against full load on a member that was restarted while cordoned, where discovery reports it late.
#[test]
fn an_uncordoned_member_counts_as_launched_then() {
    let mut cordons = Cordons::default();
    assert_eq!(cordons.uncordon("m1", true, 4_000_000), Ok(()));
    assert_eq!(cordons.apply(&host(EndpointHealth::Active, 7)).started_at_ms, 7, "it was not cordoned");
    assert_eq!(cordons.cordon("m1", true), Ok(()));
    assert_eq!(cordons.uncordon("m1", true, 5_000_000), Ok(()));
    assert_eq!(cordons.apply(&host(EndpointHealth::Active, 7)).started_at_ms, 5_000);
    assert_eq!(cordons.apply(&host(EndpointHealth::Active, 6_000)).started_at_ms, 6_000);
    let again = Cordons::restore(cordons.cordoned().map(str::to_string), [("m1".to_string(), 5_000_000)]);
    assert_eq!(again, cordons);
    cordons.retain_uncordoned(|_| false);
    assert_eq!(cordons.apply(&host(EndpointHealth::Active, 7)).started_at_ms, 7);
}

#[test]
fn unknown_ids_are_rejected_and_tables_are_bounded() {
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
