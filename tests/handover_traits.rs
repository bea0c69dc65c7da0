//! A router that goes on in another one's place starts from what that one had learned of members.

mod common;
use common::*;
use wharfplank::routing::*;

const SECOND: Micros = 1_000_000;

/// A primary (1), a warm replica (2) and one that has just started (3).
fn group() -> Vec<Endpoint> {
    vec![
        endpoint(1, true),
        endpoint(2, false),
        Endpoint { started_at: Some(START - SECOND), ..endpoint(3, false) },
    ]
}

fn traits(router: &TestRouter) -> Vec<PeerObservation> {
    let told = |view: MemberView| PeerObservation {
        host: view.host,
        position: 0,
        suspected_at: 0,
        traits: Some(view.traits),
    };
    router.inner.member_views().map(told).collect()
}

/// The next router at the time of this one, with what it inherits.
fn next(router: &TestRouter, inherited: Vec<PeerObservation>) -> TestRouter {
    let mut next = TestRouter {
        inner: Router::new(settings()),
        now: router.now,
        last_id: 1_000_000,
        latency: router.latency,
    };
    next.handle_event(Event::EndpointList(group()));
    next.handle_event(Event::PeerObservations(inherited));
    next
}

/// Reads one by one for a span, each answered before the next; the sends to each member.
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

/// Guards against a new process that starves cold members, since it has seen no answers of warm ones yet.
#[test]
fn a_cold_member_gets_no_less_than_before() {
    let mut old = TestRouter::with(settings(), group());
    serve(&mut old, 3 * SECOND);
    let (mut heir, mut stranger) = (next(&old, traits(&old)), next(&old, Vec::new()));
    let [before, with, without] = [&mut old, &mut heir, &mut stranger].map(|router| serve(router, SECOND)[3]);
    assert!(without < with && with <= before + 1, "{before} before, {with} inherited, {without} without");
}

/// Guards against small limits at the start, which refuse for a second what the process before could serve.
#[test]
fn as_much_is_in_flight_as_before() {
    let at_once = |router: &mut TestRouter| (0..40).map(|_| sends(&router.submit(ANY)).len()).sum::<usize>();
    let mut old = TestRouter::with(settings(), group());
    for _ in 0..20 {
        let mut sent: Vec<Sent> = (0..8).flat_map(|_| sends(&old.submit(ANY))).collect();
        // An answer may make room for a request that was queued: that one is answered as well.
        while let Some(send) = sent.pop() {
            sent.extend(sends(&old.finish_attempt(send, 0, AttemptOutcome::Ok, None)));
        }
        old.advance(10_000);
    }
    let (mut heir, mut stranger) = (next(&old, traits(&old)), next(&old, Vec::new()));
    let [before, with, without] = [&mut old, &mut heir, &mut stranger].map(at_once);
    assert!(without < with && with <= before, "{before} before, {with} inherited, {without} without");
}

/// Guards against a search for a primary that the process before had found, while the list still names another.
#[test]
fn the_primary_that_was_found_is_asked_first() {
    let mut old = TestRouter::with(settings(), group());
    let first = sends(&old.submit(NON_IDEMPOTENT));
    assert_eq!(first.iter().map(|s| s.1).collect::<Vec<_>>(), [HostId(1)], "as the list says");
    let then = sends(&old.finish_attempt(first[0], 0, AttemptOutcome::Misrouted, Some(Role::Replica)));
    assert_eq!(then.iter().map(|s| s.1).collect::<Vec<_>>(), [HostId(2)]);
    old.finish_attempt(then[0], 1, AttemptOutcome::Ok, Some(Role::Primary));
    let mut heir = next(&old, traits(&old));
    let asked = sends(&heir.submit(NON_IDEMPOTENT));
    assert_eq!(asked.iter().map(|s| s.1).collect::<Vec<_>>(), [HostId(2)]);
}

/// Guards against a read that does not see what its session wrote at the process before: where clients do not carry
/// session tokens, the new process remembers no commit of it.
#[test]
fn a_session_reads_what_it_wrote_at_the_process_before() {
    let kept = Settings { sessions_carry_tokens: false, stale_reads: StaleReadPolicy::Serve, ..settings() };
    for is_told in [true, false] {
        let mut heir =
            TestRouter::with(kept.clone(), vec![endpoint(1, true), endpoint(2, false), endpoint(3, false)]);
        let replaced_at = heir.now;
        if is_told {
            heir.handle_event(Event::SessionsCommittedElsewhere(replaced_at));
        }
        heir.now += SECOND;
        heir.finish_probe(2, Role::Replica, replaced_at - SECOND);
        heir.finish_probe(3, Role::Replica, replaced_at - 1);
        let hosts: Vec<HostId> = sends(&heir.submit(SESSION)).iter().map(|sent| sent.1).collect();
        assert_eq!(hosts.contains(&HostId(1)) || hosts.is_empty(), is_told, "sent to {hosts:?}");
        heir.finish_probe(3, Role::Replica, replaced_at);
        assert!(
            sends(&heir.submit(SESSION)).iter().any(|sent| sent.1 == HostId(3)),
            "a replica that has caught up"
        );
    }
}

/// Guards against a later commit that an earlier one, or one of another process, takes the place of.
#[test]
fn the_newest_commit_counts() {
    let kept = Settings { sessions_carry_tokens: false, stale_reads: StaleReadPolicy::Serve, ..settings() };
    for (own, elsewhere) in [(20_000, 10_000), (10_000, 20_000)] {
        let mut router = TestRouter::with(kept.clone(), vec![endpoint(1, true), endpoint(2, false)]);
        let write = sends(&router.submit(NON_IDEMPOTENT))[0];
        router.now += 50_000;
        router.finish_attempt_at(write, 0, AttemptOutcome::Ok, Some(Role::Primary), Some(START + own));
        router.handle_event(Event::SessionsCommittedElsewhere(START + elsewhere));
        for (position, is_fresh) in [(19_999, false), (20_000, true)] {
            router.finish_probe(2, Role::Replica, START + position);
            let to_replica = sends(&router.submit(SESSION)).iter().any(|sent| sent.1 == HostId(2));
            assert_eq!(to_replica, is_fresh, "own {own}, elsewhere {elsewhere}, position {position}");
        }
    }
}
