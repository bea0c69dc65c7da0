//! The rules of a permit server and of the leader election. Each test violates a single rule.

use wharfplank_rollout::{
    Candidate, DisruptionBudget, Incarnation, Inventory, LeaderElection, Micros, Node, NodeId, NodeKind,
    NodeObservation, OutageCause, PermitLedger, PermitRequest, PermitResponse, PermitReturn, PermitServer,
    RejectReason, RolloutConfig, RolloutId,
};

const ROLLOUT: RolloutId = RolloutId { started_ms: 1, started_by: 1 };

/// Returns two groups of three, with members 0 and 3 as primaries. Two nodes may be out of service, one of
/// each group.
fn inventory(fleet: u32) -> Inventory {
    let node = |id: NodeId| Node { id, group: id as u32 / 3, zone: id as u32 % 3, kind: NodeKind::Member };
    let budget = DisruptionBudget { per_group: 1, per_zone: 2, fleet, permit_servers: 1 };
    Inventory::new((0..6).map(node).collect(), budget)
}

fn server(ledger: Option<PermitLedger>) -> PermitServer {
    PermitServer::new(0, inventory(2), RolloutConfig::default(), ledger)
}

/// Creates a request of a controller with the server's inventory.
fn permit_request(
    phase_revision: u64,
    holder: u64,
    sequence: u64,
    candidates: Vec<Candidate>,
) -> PermitRequest {
    let inventory_digest = inventory(2).digest();
    PermitRequest { rollout: ROLLOUT, phase_revision, inventory_digest, holder, sequence, candidates }
}

fn candidate(id: NodeId, incarnation: Incarnation) -> Vec<Candidate> {
    vec![Candidate { id, incarnation }]
}

fn observe(server: &mut PermitServer, now: Micros, id: NodeId, incarnation: Incarnation, healthy: bool) {
    let primary = id.is_multiple_of(3);
    let observation = NodeObservation { incarnation, version: 1, healthy, down: !healthy, primary, at: now };
    server.on_observation(now, id, observation);
}

fn open_server() -> PermitServer {
    let mut server = server(Some(PermitLedger::default()));
    (0..6).for_each(|id| observe(&mut server, 0, id, 1, true));
    server
}

fn request(
    server: &mut PermitServer,
    now: Micros,
    holder: u64,
    sequence: u64,
    id: NodeId,
    incarnation: Incarnation,
) -> Option<PermitResponse> {
    server.on_request(now, &permit_request(0, holder, sequence, candidate(id, incarnation)))
}

fn reject_reason(response: Option<PermitResponse>) -> Option<RejectReason> {
    response.and_then(|response| response.rejected.first().map(|rejected| rejected.reason))
}

#[test]
fn unobserved_nodes_count_as_out_of_service() {
    let mut new = server(Some(PermitLedger::default()));
    observe(&mut new, 0, 1, 1, true);
    assert_eq!(reject_reason(request(&mut new, 0, 1, 1, 1, 1)), Some(RejectReason::GroupBudget));
    let mut server = open_server();
    let late = RolloutConfig::default().observation_ttl + 1;
    assert_eq!(reject_reason(request(&mut server, late, 1, 1, 1, 1)), Some(RejectReason::GroupBudget));
    assert_eq!(server.outage_cause(late, 4), Some(OutageCause::Unobserved));
}

#[test]
fn server_stays_closed_without_ledger_and_keeps_permits_with_it() {
    let mut lost = server(None);
    (0..6).for_each(|id| observe(&mut lost, 0, id, 1, true));
    assert_eq!(reject_reason(request(&mut lost, 0, 1, 1, 1, 1)), Some(RejectReason::Closed));
    let mut first = open_server();
    assert_eq!(request(&mut first, 0, 1, 1, 1, 1).map(|response| response.held.len()), Some(1));
    let mut next = server(first.ledger().cloned());
    (0..6).for_each(|id| observe(&mut next, 0, id, 1, true));
    assert_eq!(reject_reason(request(&mut next, 0, 1, 1, 2, 1)), Some(RejectReason::GroupBudget));
}

#[test]
fn only_the_holder_returns_a_permit_and_only_while_unshared() {
    let mut server = open_server();
    let granted = request(&mut server, 0, 1, 1, 1, 1).map(|response| response.held[0].sequence).unwrap_or(0);
    let returned = PermitReturn { id: 1, sequence: granted, holder: 1 };
    server.on_return(&PermitReturn { holder: 2, ..returned });
    assert_eq!(server.outage_cause(0, 1), Some(OutageCause::Rollout));
    server.on_return(&returned);
    assert_eq!(server.outage_cause(0, 1), None);
    // The permit is granted again. A duplicate or a late copy of the same return names the earlier
    // permit.
    assert!(request(&mut server, 0, 1, 2, 1, 1).is_some());
    server.on_return(&returned);
    assert_eq!(server.outage_cause(0, 1), Some(OutageCause::Rollout));
    // Another controller now knows the permit, and may order a restart under it.
    let response = server.on_request(0, &permit_request(0, 2, 1, vec![]));
    let sequence = response.map(|response| response.held[0].sequence).unwrap_or(0);
    server.on_return(&PermitReturn { sequence, ..returned });
    assert_eq!(server.outage_cause(0, 1), Some(OutageCause::Rollout));
}

#[test]
fn delayed_or_outdated_requests_get_no_permit() {
    let mut server = open_server();
    assert!(request(&mut server, 0, 1, 5, 1, 1).is_some());
    assert_eq!((request(&mut server, 0, 1, 5, 4, 1), request(&mut server, 0, 1, 4, 4, 1)), (None, None));
    let newer = permit_request(3, 2, 1, candidate(1, 1));
    assert!(server.on_request(0, &newer).is_some());
    assert_eq!(reject_reason(request(&mut server, 0, 1, 6, 4, 1)), Some(RejectReason::Stale));
}

#[test]
fn inventory_mismatch_is_rejected() {
    let mut server = open_server();
    let inventory_digest = inventory(4).digest();
    let other = PermitRequest { inventory_digest, ..permit_request(0, 1, 1, candidate(1, 1)) };
    assert_eq!(reject_reason(server.on_request(0, &other)), Some(RejectReason::InventoryMismatch));
}

#[test]
fn permit_ends_at_a_later_healthy_incarnation() {
    let mut server = open_server();
    assert!(request(&mut server, 0, 1, 1, 1, 1).is_some());
    let hour = 3_600_000_000;
    observe(&mut server, hour, 1, 1, true);
    observe(&mut server, hour, 1, 2, false);
    assert_eq!(server.outage_cause(hour, 1), Some(OutageCause::Rollout));
    observe(&mut server, hour + 1, 1, 2, true);
    assert_eq!(server.outage_cause(hour + 1, 1), None);
}

#[test]
fn group_keeps_its_primary_until_handover_and_one_replica() {
    let mut server = open_server();
    assert_eq!(reject_reason(request(&mut server, 0, 1, 1, 0, 1)), Some(RejectReason::IsPrimary));
    // Both claim to be the primary: the role has been handed over, and the old primary was not observed
    // again yet.
    let healthy =
        |primary, at| NodeObservation { incarnation: 1, version: 1, healthy: true, down: false, primary, at };
    server.on_observation(1, 1, healthy(true, 1));
    assert_eq!(reject_reason(request(&mut server, 1, 1, 2, 0, 1)), Some(RejectReason::IsPrimary));
    server.on_observation(2, 0, healthy(false, 2));
    assert_eq!(request(&mut server, 2, 1, 3, 0, 1).map(|response| response.held.len()), Some(1));
    // The primary fails, so a replica may have to become the primary.
    let nodes = (0..3).map(|id| Node { id, group: 0, zone: id as u32, kind: NodeKind::Member }).collect();
    let budget = DisruptionBudget { per_group: 3, per_zone: 3, fleet: 3, permit_servers: 1 };
    let wide = Inventory::new(nodes, budget);
    let inventory_digest = wide.digest();
    let mut wide = PermitServer::new(0, wide, RolloutConfig::default(), Some(PermitLedger::default()));
    let request = |server: &mut PermitServer, now, holder, sequence, id, incarnation| {
        let request = permit_request(0, holder, sequence, candidate(id, incarnation));
        server.on_request(now, &PermitRequest { inventory_digest, ..request })
    };
    (0..3).for_each(|id| observe(&mut wide, 0, id, 1, true));
    assert!(request(&mut wide, 0, 1, 1, 1, 1).is_some());
    assert_eq!(reject_reason(request(&mut wide, 0, 1, 2, 2, 1)), Some(RejectReason::LastReplica));
    observe(&mut wide, 1, 0, 1, false);
    assert_eq!(reject_reason(request(&mut wide, 1, 1, 3, 2, 1)), Some(RejectReason::NoPrimary));
}

#[test]
fn down_node_needs_no_budget_while_it_is_down() {
    let mut server = open_server();
    assert!(request(&mut server, 0, 1, 1, 1, 1).is_some());
    observe(&mut server, 0, 2, 1, false);
    let held = request(&mut server, 0, 1, 2, 2, 1).map(|response| response.held).unwrap_or_default();
    assert_eq!(held.iter().map(|permit| permit.only_if_down).collect::<Vec<_>>(), [false, true]);
    observe(&mut server, 1, 2, 1, true);
    assert_eq!(server.outage_cause(1, 2), None);
    assert_eq!(reject_reason(request(&mut server, 1, 1, 3, 2, 1)), Some(RejectReason::GroupBudget));
}

#[test]
fn lowest_rank_leads_and_a_paused_proxy_waits() {
    let timeout = 3;
    let mut election = LeaderElection::new(2, timeout, 0);
    assert!(!election.check_leadership(2) && election.check_leadership(3));
    election.on_heartbeat(4, 1);
    assert!(!election.check_leadership(4) && !election.check_leadership(6) && election.check_leadership(7));
    assert!(
        !election.check_leadership(100) && !election.check_leadership(102) && election.check_leadership(103),
        "the proxy led immediately after the pause"
    );
}

/// Guards against a permit that is limited to members that are down, but granted because only the broker
/// suspects the member. Its agent reports that it serves, so the order has no effect and the rollout
/// waits forever. A permit that is limited in this way ends when the member serves again.
#[test]
fn node_suspected_only_by_the_broker_needs_budget() {
    let mut server = open_server();
    let unhealthy =
        |down, at| NodeObservation { incarnation: 1, version: 1, healthy: false, down, primary: false, at };
    server.on_observation(1, 1, unhealthy(false, 1));
    let response = request(&mut server, 2, 1, 1, 1, 1).unwrap();
    assert_eq!(response.held.iter().map(|permit| permit.only_if_down).collect::<Vec<_>>(), [false]);
    server.on_observation(3, 4, unhealthy(true, 3));
    let response = request(&mut server, 4, 1, 2, 4, 1).unwrap();
    assert!(response.held.iter().any(|permit| permit.id == 4 && permit.only_if_down), "{response:?}");
    server.on_observation(5, 4, unhealthy(false, 5));
    let response = server.on_request(6, &permit_request(0, 1, 3, vec![])).unwrap();
    assert_eq!(
        response.held.iter().map(|permit| permit.id).collect::<Vec<_>>(),
        [1],
        "the permit of a member that serves again must end, healthy or not"
    );
}
