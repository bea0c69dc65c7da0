//! Observations of members that follow from their agents' replies and the broker's view.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use wharfplank_rollout::{
    AgentPoller, AgentRequest, AgentStatus, FleetView, Incarnation, MemberView, Micros, RestartOrder,
};

fn poller() -> AgentPoller {
    let address = |port| SocketAddrV4::new([127, 0, 0, 1].into(), port);
    AgentPoller::new(BTreeMap::from([(1, address(11)), (2, address(12))]), 5 << 12, 0)
}

fn sent_requests(poller: &mut AgentPoller) -> Vec<AgentRequest> {
    poller.take_outbox().iter().filter_map(|(_, bytes)| AgentRequest::from_bytes(bytes).ok()).collect()
}

fn view(at: Micros, incarnation: Incarnation, healthy: bool) -> FleetView {
    let member = MemberView { incarnation, healthy, ..MemberView::default() };
    FleetView { at, members: BTreeMap::from([(1, member)]) }
}

fn status(sequence: u64, incarnation: Incarnation, ready: bool) -> Vec<u8> {
    AgentStatus { sequence, incarnation, version: 6, ready }.to_bytes()
}

/// Guards against a member that counts as healthy although only its agent reports that, or although the
/// broker's view is old.
#[test]
fn member_is_healthy_if_agent_and_broker_agree() {
    let cases = [
        (7, true, view(100, 7, true), true),
        (7, false, view(100, 7, true), false),
        (7, true, view(100, 7, false), false),
        (8, true, view(100, 7, true), false),
        (7, true, view(100, 8, true), false),
        (7, true, FleetView::default(), false),
    ];
    for (incarnation, ready, view, healthy) in cases {
        let mut poller = poller();
        poller.on_tick(200);
        let sequence = sent_requests(&mut poller)[0].sequence;
        let observation = poller.on_datagram(1, &status(sequence, incarnation, ready), &view).unwrap();
        assert_eq!(
            (observation.healthy, observation.incarnation, observation.at),
            (healthy, incarnation, view.at),
            "{view:?}"
        );
    }
}

/// Guards against accepting replies to another process, and delayed, duplicated or reordered replies.
#[test]
fn reply_matches_a_pending_request_and_has_its_age() {
    let mut poller = poller();
    poller.on_tick(0);
    poller.on_tick(600_000);
    let sequences: Vec<u64> = sent_requests(&mut poller).iter().map(|request| request.sequence).collect();
    assert_eq!(sequences.len(), 3, "expected two polls of one agent and one of the other");
    let now = view(9_000_000, 7, true);
    assert_eq!(
        poller.on_datagram(1, &status(3, 7, true), &now),
        None,
        "not a sequence number of this process"
    );
    let observation = poller.on_datagram(1, &status(sequences[1], 7, true), &now);
    assert_eq!(observation.map(|observation| observation.at), Some(600_000));
    assert_eq!(poller.on_datagram(1, &status(sequences[1], 7, true), &now), None, "duplicated");
    assert_eq!(
        poller.on_datagram(1, &status(sequences[0], 7, true), &now),
        None,
        "older than the last reply"
    );
    assert_eq!(poller.on_datagram(1, b"no status", &now), None);
    assert_eq!(poller.rejected, 4);
    let order = RestartOrder { id: 1, incarnation: 7, version: 7, only_if_down: false };
    (0..100).for_each(|now| poller.restart(now, &order));
    assert_eq!(poller.pending_requests(1), AgentPoller::MAX_PENDING);
}
