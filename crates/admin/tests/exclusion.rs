//! Exclusion of listed members.

use wharfplank_admin::Exclusion;
use wharfplank_protocol::endpoint_list::EndpointHealth;

/// Guards against metrics that count a member as excluded after a single slow request.
#[test]
fn suspected_member_is_excluded_after_a_while() {
    let exclusion_since = |since| Exclusion::of(EndpointHealth::Active, false, since, 9_000_000);
    assert_eq!(exclusion_since(None), None);
    assert_eq!(exclusion_since(Some(8_000_001)), None);
    assert_eq!(exclusion_since(Some(8_000_000)), Some(Exclusion::Suspected));
}

#[test]
fn cordoned_and_draining_members_are_excluded() {
    assert_eq!(Exclusion::of(EndpointHealth::Active, true, None, 0), Some(Exclusion::Cordoned));
    assert_eq!(Exclusion::of(EndpointHealth::Draining, true, Some(0), 0), Some(Exclusion::Cordoned));
    assert_eq!(Exclusion::of(EndpointHealth::Draining, false, Some(0), 0), Some(Exclusion::Draining));
}
