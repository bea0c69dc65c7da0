//! Observations of other routers: positions, suspicions and requests that may have run.

mod common;
use common::*;
use wharfplank::routing::*;

fn observation(host: u32, position: Micros, suspected_at: Micros) -> Event {
    observation_by(ObservationSource::Peer, host, position, suspected_at)
}

fn observation_by(source: ObservationSource, host: u32, position: Micros, suspected_at: Micros) -> Event {
    Event::PeerObservations(vec![PeerObservation {
        source,
        host: HostId(host),
        position,
        suspected_at,
        traits: None,
    }])
}

fn settings_with_stale_reads() -> Settings {
    Settings { stale_reads: StaleReadPolicy::Serve, ..settings() }
}

fn hosts(actions: &[Action]) -> Vec<HostId> {
    sends(actions).iter().map(|sent| sent.1).collect()
}

#[test]
fn a_position_from_the_predecessor_serves_a_read_without_a_probe() {
    let mut router = TestRouter::new(settings_with_stale_reads());
    let before = router.submit_with(SESSION, Some(50_000), 1_000_000);
    assert_eq!((sends(&before).len(), probes(&before).len()), (0, 1), "no position is known yet");
    let released = router.handle_event(observation_by(ObservationSource::Predecessor, 2, START - 50_000, 0));
    assert_eq!(hosts(&released), vec![HostId(2)], "the held read is sent");
    let next = router.submit_with(SESSION, Some(50_000), 1_000_000);
    assert_eq!(hosts(&next), vec![HostId(2)]);
}

#[test]
fn a_position_too_old_or_ahead_of_the_clock_does_not_serve_a_fresher_read() {
    let mut router = TestRouter::new(settings_with_stale_reads());
    router.handle_event(observation_by(ObservationSource::Predecessor, 2, START - 50_001, 0));
    assert!(sends(&router.submit_with(SESSION, Some(50_000), 1_000_000)).is_empty());
    // A position ahead of the clock counts as the current time and does not satisfy a later requirement.
    router.handle_event(observation_by(ObservationSource::Predecessor, 3, START + 10_000_000, 0));
    router.now += 1_000_000;
    assert!(sends(&router.submit_with(SESSION, Some(500_000), 1_000_000)).is_empty());
}

/// Guards against stale reads at a replica whose position another router reports wrongly: what the replica
/// itself says decides, before and after the report.
#[test]
fn a_wrong_position_from_another_router_serves_no_read() {
    let lagging = START - 5_000_000;
    let mut router = TestRouter::new(settings_with_stale_reads());
    for host in [2, 3] {
        router.finish_probe(host, Role::Replica, lagging);
        router.handle_event(observation(host, START, 0));
    }
    for _ in 0..10 {
        router.now += 20_000;
        for class in [SESSION, BOUNDED] {
            let mut actions = router.submit_with(class, Some(50_000), 1_000_000);
            for host in probes(&actions) {
                actions.extend(router.finish_probe(host.0, Role::Replica, lagging));
            }
            actions.extend(router.advance(100_000));
            let replicas = hosts(&actions).into_iter().filter(|host| *host != HostId(1)).count();
            assert_eq!(replicas, 0, "{actions:?}");
        }
        router.handle_event(observation(2, router.now, 0));
        router.handle_event(observation(3, router.now, 0));
    }
}

/// A position that another router reports leads to a probe of that member, also where the member's own last
/// position did not let expect that it has caught up.
#[test]
fn a_position_from_another_router_leads_to_a_probe() {
    let mut router = TestRouter::new(settings_with_stale_reads());
    for host in [2, 3] {
        router.finish_probe(host, Role::Replica, START - 5_000_000);
    }
    let unaided = router.submit_with(SESSION, Some(50_000), 1_000_000);
    assert!(probes(&unaided).is_empty() && hosts(&unaided) == vec![HostId(1)], "{unaided:?}");
    router.handle_event(observation(3, START - 50_000, 0));
    let probed = router.submit_with(SESSION, Some(50_000), 1_000_000);
    assert_eq!((probes(&probed), hosts(&probed)), (vec![HostId(3)], vec![]));
    assert_eq!(hosts(&router.finish_probe(3, Role::Replica, START - 50_000)), vec![HostId(3)]);
}

#[test]
fn a_non_idempotent_request_that_may_have_run_elsewhere_fails_at_once() {
    let mut router = TestRouter::new(settings());
    let mut submit = |class| {
        let id = RequestId([class as u8; 36]);
        let (session, last_write_age, deadline) = (None, None, START + 1_000_000);
        router.handle_event(Event::Request(Request {
            id,
            class: ClassId(class),
            group: GROUP,
            session,
            deadline,
            last_write_age,
            may_have_run: true,
        }))
    };
    let write = submit(NON_IDEMPOTENT.0);
    assert!(sends(&write).is_empty());
    assert!(write.iter().any(|a| matches!(a, Action::Fail { reason: RejectReason::MayHaveRun, .. })));
    assert_eq!(sends(&submit(ANY.0)).len(), 1, "a read may run again");
}

/// Returns how many of 40 reads go to member 2 after one refused connection to it.
fn reads_after_a_refused_connection(suspected_at: Micros) -> usize {
    let mut router = TestRouter::new(settings());
    router.handle_event(observation(2, 0, suspected_at));
    let mut refused = false;
    let mut after = 0;
    for _ in 0..40 {
        router.now += 20_000;
        for sent in sends(&router.submit(ANY)) {
            let outcome = if sent.1 == HostId(2) && !refused {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::Ok
            };
            after += usize::from(refused && sent.1 == HostId(2));
            refused |= outcome == AttemptOutcome::ConnectFailed;
            router.finish_attempt(sent, 0, outcome, Some(Role::Replica));
        }
    }
    assert!(refused, "member 2 was not used: a suspicion alone took it out of use");
    after
}

#[test]
fn a_member_suspected_elsewhere_is_avoided_from_its_first_failure_on() {
    let unsuspected = reads_after_a_refused_connection(0);
    assert!(unsuspected > 5, "only {unsuspected} reads went there after a single refused connection");
    let trials = reads_after_a_refused_connection(START);
    assert!(trials <= 1, "{trials} reads went to a suspected member, more than one trial");
}
