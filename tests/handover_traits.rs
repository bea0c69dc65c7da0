//! A router that replaces another one starts from the traits of members that the other one had observed.

mod common;
use common::*;
use wharfplank::routing::*;

const SECOND: Micros = 1_000_000;

/// A primary (1), a warm replica (2) and a replica that has just started (3).
fn group() -> Vec<Endpoint> {
    vec![
        endpoint(1, true),
        endpoint(2, false),
        Endpoint { started_at: Some(START - SECOND), ..endpoint(3, false) },
    ]
}

fn traits(router: &TestRouter) -> Vec<PeerObservation> {
    let observation = |view: MemberView| PeerObservation {
        source: ObservationSource::Predecessor,
        host: view.host,
        position: 0,
        suspected_at: 0,
        traits: Some(view.traits),
    };
    router.inner.member_views().map(observation).collect()
}

/// Creates a successor at the time of the given router, with the inherited observations.
fn successor(router: &TestRouter, inherited: Vec<PeerObservation>) -> TestRouter {
    let mut successor = TestRouter {
        inner: Router::new(settings()),
        now: router.now,
        last_id: 1_000_000,
        latency: router.latency,
    };
    successor.handle_event(Event::EndpointList(group()));
    successor.handle_event(Event::PeerObservations(inherited));
    successor
}

/// Sends reads one after another for a span, each answered before the next; returns the count for each
/// member.
fn serve(router: &mut TestRouter, span: Micros) -> [usize; 4] {
    let (until, mut sent) = (router.now + span, [0; 4]);
    while router.now < until {
        for send in sends(&router.submit(ANY)) {
            sent[send.1 .0 as usize] += 1;
            router.finish_attempt(send, 0, AttemptOutcome::Ok, None);
        }
        router.advance(10_000);
    }
    sent
}

/// Guards against a new process that starves cold members because it has not seen answers of warm ones yet.
#[test]
fn a_cold_member_gets_no_less_than_before() {
    let mut old = TestRouter::with(settings(), group());
    serve(&mut old, 3 * SECOND);
    let (mut informed, mut uninformed) = (successor(&old, traits(&old)), successor(&old, Vec::new()));
    let [before, with, without] =
        [&mut old, &mut informed, &mut uninformed].map(|router| serve(router, SECOND)[3]);
    assert!(without < with && with <= before + 1, "{before} before, {with} inherited, {without} without");
}

/// Guards against low initial limits, which refuse for a second what the previous process could serve.
#[test]
fn as_many_requests_are_in_flight_as_before() {
    let at_once = |router: &mut TestRouter| (0..40).map(|_| sends(&router.submit(ANY)).len()).sum::<usize>();
    let mut old = TestRouter::with(settings(), group());
    for _ in 0..20 {
        let mut sent: Vec<Sent> = (0..8).flat_map(|_| sends(&old.submit(ANY))).collect();
        // An answer may free a queued request, which is answered as well.
        while let Some(send) = sent.pop() {
            sent.extend(sends(&old.finish_attempt(send, 0, AttemptOutcome::Ok, None)));
        }
        old.advance(10_000);
    }
    let (mut informed, mut uninformed) = (successor(&old, traits(&old)), successor(&old, Vec::new()));
    let [before, with, without] = [&mut old, &mut informed, &mut uninformed].map(at_once);
    assert!(without < with && with <= before, "{before} before, {with} inherited, {without} without");
}

/// Guards against a new search for a primary that the previous process had found while the list still names
/// another one.
#[test]
fn the_primary_that_was_found_is_tried_first() {
    let mut old = TestRouter::with(settings(), group());
    let first = sends(&old.submit(NON_IDEMPOTENT));
    assert_eq!(first.iter().map(|s| s.1).collect::<Vec<_>>(), [HostId(1)], "the primary of the list");
    let then = sends(&old.finish_attempt(first[0], 0, AttemptOutcome::Misrouted, Some(Role::Replica)));
    assert_eq!(then.iter().map(|s| s.1).collect::<Vec<_>>(), [HostId(2)]);
    old.finish_attempt(then[0], 1, AttemptOutcome::Ok, Some(Role::Primary));
    let mut informed = successor(&old, traits(&old));
    let asked = sends(&informed.submit(NON_IDEMPOTENT));
    assert_eq!(asked.iter().map(|s| s.1).collect::<Vec<_>>(), [HostId(2)]);
}

/// Guards against a read that misses a write of its session through the previous process: if clients do not
/// carry session tokens, the new process does not know the commit.
#[test]
fn a_session_reads_what_it_wrote_through_the_previous_process() {
    let settings_without_tokens =
        Settings { sessions_carry_tokens: false, stale_reads: StaleReadPolicy::Serve, ..settings() };
    for is_told in [true, false] {
        let mut informed = TestRouter::with(
            settings_without_tokens.clone(),
            vec![endpoint(1, true), endpoint(2, false), endpoint(3, false)],
        );
        let replaced_at = informed.now;
        if is_told {
            informed.handle_event(Event::SessionsCommittedElsewhere(replaced_at));
        }
        informed.now += SECOND;
        informed.finish_probe(2, Role::Replica, replaced_at - SECOND);
        informed.finish_probe(3, Role::Replica, replaced_at - 1);
        let hosts: Vec<HostId> = sends(&informed.submit(SESSION)).iter().map(|sent| sent.1).collect();
        assert_eq!(hosts.contains(&HostId(1)) || hosts.is_empty(), is_told, "sent to {hosts:?}");
        informed.finish_probe(3, Role::Replica, replaced_at);
        assert!(
            sends(&informed.submit(SESSION)).iter().any(|sent| sent.1 == HostId(3)),
            "a replica that has caught up serves the read"
        );
    }
}

/// Guards against a commit that is replaced by an earlier one, of this or another process.
#[test]
fn the_newest_commit_counts() {
    let settings_without_tokens =
        Settings { sessions_carry_tokens: false, stale_reads: StaleReadPolicy::Serve, ..settings() };
    for (own, elsewhere) in [(20_000, 10_000), (10_000, 20_000)] {
        let mut test_router =
            TestRouter::with(settings_without_tokens.clone(), vec![endpoint(1, true), endpoint(2, false)]);
        let write = sends(&test_router.submit(NON_IDEMPOTENT))[0];
        test_router.now += 50_000;
        test_router.finish_attempt_at(write, 0, AttemptOutcome::Ok, Some(Role::Primary), Some(START + own));
        test_router.handle_event(Event::SessionsCommittedElsewhere(START + elsewhere));
        for (position, is_fresh) in [(19_999, false), (20_000, true)] {
            test_router.finish_probe(2, Role::Replica, START + position);
            let to_replica = sends(&test_router.submit(SESSION)).iter().any(|sent| sent.1 == HostId(2));
            assert_eq!(to_replica, is_fresh, "own {own}, elsewhere {elsewhere}, position {position}");
        }
    }
}
