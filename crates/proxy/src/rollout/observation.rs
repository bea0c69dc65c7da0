//! Converts the broker's observations of members to the input of the rollout service.

use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_rollout::{AttemptCounts, MemberView};
use wharfplank_routing::{self as routing, AttemptOutcome};

/// Returns the counts for the outcome of one attempt, or `None` if this proxy ended the attempt itself.
/// `is_late` is whether the attempt exceeded the latency objective of its class.
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

/// Combines the endpoint list's, the router's and the operators' view of a listed member. The incarnation is
/// the one in the list, not the later one that the router assigns when the member is uncordoned.
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
