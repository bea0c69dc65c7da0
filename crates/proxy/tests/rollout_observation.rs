//! What the rollout service learns of members from the broker.

use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_proxy::rollout::observation::{attempt_counts, member_view};
use wharfplank_rollout::AttemptCounts;
use wharfplank_routing::{self as routing, AttemptOutcome, GroupId, HostId, Micros};

fn host(health: EndpointHealth) -> EndpointRecord {
    let (name, site) = ("m1".to_string(), "a".to_string());
    EndpointRecord { name, address: None, zone: site, group: 1, health, started_at_ms: 7, primary: false }
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

/// Guards against a member that counts as healthy though the list lacks it or the router suspects it, and against a
/// drain that counts as a failure: it is a cause of its own.
#[test]
fn a_member_is_healthy_where_it_is_listed_and_not_suspected() {
    let of = |health, view: Option<&routing::MemberView>| {
        member_view(&host(health), view, false, AttemptCounts::default())
    };
    assert!(of(EndpointHealth::Active, Some(&view(None))).healthy);
    assert!(!of(EndpointHealth::Active, Some(&view(Some(5)))).healthy);
    assert!(!of(EndpointHealth::Removed, Some(&view(None))).healthy);
    assert!(!of(EndpointHealth::Active, None).healthy);
    let drained = of(EndpointHealth::Draining, Some(&view(None)));
    assert!(drained.healthy && drained.draining && drained.primary && drained.incarnation == 7);
}

#[test]
fn attempts_that_this_proxy_ended_say_nothing_about_their_member() {
    let of = |ending, late| attempt_counts(ending, late).map(|t| (t.answered, t.failed, t.late));
    assert_eq!(of(AttemptOutcome::Ok, false), Some((1, 0, 0)));
    assert_eq!(of(AttemptOutcome::Ok, true), Some((1, 0, 1)));
    assert_eq!(of(AttemptOutcome::Timeout, true), Some((1, 1, 0)));
    assert_eq!(of(AttemptOutcome::Overloaded, false), Some((1, 1, 0)));
    assert_eq!(of(AttemptOutcome::Misrouted, true), Some((1, 0, 0)));
    assert_eq!(of(AttemptOutcome::Cancelled, true), None);
    assert_eq!(of(AttemptOutcome::NotSent, true), None);
}
