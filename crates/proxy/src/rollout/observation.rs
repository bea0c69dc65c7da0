//! What the broker observes of members, in the form in which the rollout service judges them.

use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_rollout::{AttemptCounts, MemberView};
use wharfplank_routing::{self as routing, AttemptOutcome};

/// What the outcome of one attempt says about its member; `None` for an attempt that this proxy ended itself.
/// `is_late` says whether the attempt exceeded its class's latency objective.
pub fn attempt_counts(outcome: AttemptOutcome, is_late: bool) -> Option<AttemptCounts> {
    let (failed, late) = match outcome {
        AttemptOutcome::Ok => (false, is_late),
        AttemptOutcome::Misrouted => (false, false),
        AttemptOutcome::Overloaded
        | AttemptOutcome::Error
        | AttemptOutcome::Timeout
        | AttemptOutcome::Reset
        | AttemptOutcome::ConnectFailed => (true, false),
        AttemptOutcome::Cancelled | AttemptOutcome::NotSent => return None,
    };
    Some(AttemptCounts { answered: 1, failed: failed.into(), late: late.into() })
}

/// A listed member, as the endpoint list, the router and operators see it. The incarnation is that of the list, not the
/// later one that a member has in the router's eyes after it was uncordoned.
pub fn member_view(
    endpoint: &EndpointRecord,
    view: Option<&routing::MemberView>,
    cordoned: bool,
    attempts: AttemptCounts,
) -> MemberView {
    let is_listed = endpoint.health != EndpointHealth::Removed;
    let is_unsuspected = view.is_some_and(|view| view.suspected_since.is_none());
    MemberView {
        incarnation: endpoint.started_at_ms.max(0) as u64,
        healthy: is_listed && is_unsuspected,
        primary: view.is_some_and(|view| view.primary),
        draining: endpoint.health == EndpointHealth::Draining,
        cordoned,
        attempts,
    }
}
