//! What other routers learned: positions, suspicions and requests that may have run.

mod common;
use common::*;
use wharfplank::routing::*;

fn told(host: u32, position: Micros, suspected_at: Micros) -> Event {
    Event::PeerObservations(vec![PeerObservation {
        host: HostId(host),
        position,
        suspected_at,
        traits: None,
    }])
}

fn answers() -> Settings {
    Settings { stale_reads: StaleReadPolicy::Serve, ..settings() }
}

#[test]
fn a_position_that_another_router_heard_serves_a_read_without_a_probe() {
    let mut router = TestRouter::new(answers());
    let untold = router.submit_with(SESSION, Some(50_000), 1_000_000);
    assert_eq!((sends(&untold).len(), probes(&untold).len()), (0, 1), "nothing is known yet");
    let woken = router.handle_event(told(2, START - 50_000, 0));
    assert_eq!(sends(&woken).iter().map(|s| s.1).collect::<Vec<_>>(), vec![HostId(2)], "the held read goes");
    let next = router.submit_with(SESSION, Some(50_000), 1_000_000);
    assert_eq!(sends(&next).iter().map(|s| s.1).collect::<Vec<_>>(), vec![HostId(2)]);
}

#[test]
fn a_position_short_by_a_microsecond_or_ahead_of_the_clock_serves_nothing_newer_than_it_may() {
    let mut router = TestRouter::new(answers());
    router.handle_event(told(2, START - 50_001, 0));
    assert!(sends(&router.submit_with(SESSION, Some(50_000), 1_000_000)).is_empty());
    // One ahead of the clock counts as of now: a later need is not met by it.
    router.handle_event(told(3, START + 10_000_000, 0));
    router.now += 1_000_000;
    assert!(sends(&router.submit_with(SESSION, Some(500_000), 1_000_000)).is_empty());
}

#[test]
fn a_request_that_may_have_run_elsewhere_is_failed_at_once_where_it_must_not_run_twice() {
    let mut router = TestRouter::new(settings());
    let mut ask = |class| {
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
    let write = ask(NON_IDEMPOTENT.0);
    assert!(sends(&write).is_empty());
    assert!(write.iter().any(|a| matches!(a, Action::Fail { reason: RejectReason::MayHaveRun, .. })));
    assert_eq!(sends(&ask(ANY.0)).len(), 1, "a read runs as often as it likes");
}

/// How many of 40 reads member 2 gets after one connection to it was refused.
fn after_a_refused_connection(suspected_at: Micros) -> usize {
    let mut router = TestRouter::new(settings());
    router.handle_event(told(2, 0, suspected_at));
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
    assert!(refused, "member 2 was not used at all: a word alone withdrew it");
    after
}

#[test]
fn a_member_suspected_elsewhere_is_left_on_the_first_failure_here_and_not_before() {
    let untold = after_a_refused_connection(0);
    assert!(untold > 5, "one refused connection is little, yet only {untold} reads went there");
    let trials = after_a_refused_connection(START);
    assert!(trials <= 1, "{trials} reads went to a suspect: more than a trial");
}
