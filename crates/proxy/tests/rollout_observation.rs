//! The input of the rollout service from the broker's observations of members.

use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_proxy::rollout::observation::{attempt_counts, member_view};
use wharfplank_rollout::AttemptCounts;
use wharfplank_routing::{self as routing, AttemptOutcome, GroupId, HostId, Micros};

fn endpoint(health: EndpointHealth) -> EndpointRecord {
    let (name, zone_name) = ("m1".to_string(), "a".to_string());
    EndpointRecord {
        name,
        address: None,
        zone: zone_name,
        group: 1,
        health,
        started_at_ms: 7,
        primary: false,
    }
}

fn view(suspected: Option<Micros>) -> routing::MemberView {
    let (host, group) = (HostId(1), GroupId(1));
    let (primary, active) = (true, true);
    routing::MemberView {
        host,
        group,
        primary,
        active,
        position: 0,
        position_seen_at: 0,
        suspected_since: suspected,
        in_flight: 0,
        traits: routing::LearnedTraits::default(),
    }
}

/// Guards against a member that counts as healthy although it is not listed or the router suspects it, and
/// against a drain that counts as a failure: draining is a separate state.
#[test]
fn healthy_if_listed_and_not_suspected() {
    let observe = |health, view: Option<&routing::MemberView>| {
        member_view(&endpoint(health), view, false, AttemptCounts::default())
    };
    assert!(observe(EndpointHealth::Active, Some(&view(None))).healthy);
    assert!(!observe(EndpointHealth::Active, Some(&view(Some(5)))).healthy);
    assert!(!observe(EndpointHealth::Removed, Some(&view(None))).healthy);
    assert!(!observe(EndpointHealth::Active, None).healthy);
    let drained = observe(EndpointHealth::Draining, Some(&view(None)));
    assert!(drained.healthy && drained.draining && drained.primary && drained.incarnation == 7);
}

#[test]
fn attempts_ended_by_proxy_are_not_counted() {
    let counts_of = |outcome, late| attempt_counts(outcome, late).map(|c| (c.answered, c.failed, c.late));
    assert_eq!(counts_of(AttemptOutcome::Ok, false), Some((1, 0, 0)));
    assert_eq!(counts_of(AttemptOutcome::Ok, true), Some((1, 0, 1)));
    assert_eq!(counts_of(AttemptOutcome::Timeout, true), Some((1, 1, 0)));
    assert_eq!(counts_of(AttemptOutcome::Overloaded, false), Some((1, 1, 0)));
    assert_eq!(counts_of(AttemptOutcome::Misrouted, true), Some((1, 0, 0)));
    assert_eq!(counts_of(AttemptOutcome::Cancelled, true), None);
    assert_eq!(counts_of(AttemptOutcome::NotSent, true), None);
}
