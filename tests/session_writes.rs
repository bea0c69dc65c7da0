//! Session reads where clients carry no session tokens: they see each write of their session that may have
//! been committed when they arrived, whatever is known of its outcome.

mod common;
use common::*;
use rstest::rstest;
use wharfplank::routing::*;

/// The time that a request of the test has.
const TIMEOUT: Micros = 1_000_000;
/// The time after its deadline until which a write that was begun before may commit.
const LATE_COMMIT_TIME: Micros = 500_000;

/// A router that remembers writes, with both replicas up to date as of now and a write sent now.
fn router_with_write() -> (TestRouter, Sent) {
    let mut router = TestRouter::new(Settings {
        sessions_carry_tokens: false,
        stale_reads: StaleReadPolicy::Serve,
        ..settings()
    });
    set_replicas(&mut router, START);
    let sent = sends(&router.submit_with(KEYED_WRITE, None, TIMEOUT))[0];
    assert_eq!(sent.1, HostId(1));
    router.now += 200_000;
    (router, sent)
}

fn set_replicas(router: &mut TestRouter, position: Micros) {
    router.finish_probe(2, Role::Replica, position);
    router.finish_probe(3, Role::Replica, position);
}

/// Returns whether a replica serves a session read now without another probe.
fn replica_serves_read(router: &mut TestRouter) -> bool {
    sends(&router.submit(SESSION)).first().is_some_and(|sent| sent.1 != HostId(1))
}

/// Guards against a session read that misses a write whose answer is still on its way.
#[test]
fn a_read_during_a_write_needs_its_own_arrival() {
    let (mut router, _) = router_with_write();
    let now = router.now;
    set_replicas(&mut router, now - 1);
    assert!(!replica_serves_read(&mut router));
    set_replicas(&mut router, now);
    assert!(replica_serves_read(&mut router));
}

/// Guards against a session read that misses a write whose answer was lost: until its deadline and the time
/// for a late commit have passed, the member may still run it.
#[rstest]
#[case::timeout(AttemptOutcome::Timeout)]
#[case::reset(AttemptOutcome::Reset)]
#[case::cancelled(AttemptOutcome::Cancelled)]
fn a_read_after_a_write_without_an_answer_needs_the_end_of_its_time(#[case] outcome: AttemptOutcome) {
    let (mut router, sent) = router_with_write();
    router.handle_event(Event::ClientDisconnected(sent.0));
    router.finish_attempt(sent, 0, outcome, None);
    let now = router.now;
    set_replicas(&mut router, now - 1);
    assert!(!replica_serves_read(&mut router), "it may have run until now");
    router.now += 5_000_000;
    let until = START + TIMEOUT + LATE_COMMIT_TIME;
    set_replicas(&mut router, until - 1);
    assert!(!replica_serves_read(&mut router), "it may have run until {until}");
    set_replicas(&mut router, until);
    assert!(replica_serves_read(&mut router), "it cannot have run after {until}");
}

/// Guards against a session read that misses a write which the member answered with an error, although it may
/// have run, or whose answer did not state the commit, as at the start of a streamed one.
#[rstest]
#[case::error(AttemptOutcome::Error)]
#[case::no_position(AttemptOutcome::Ok)]
fn a_read_after_a_write_with_an_unknown_commit_needs_the_answer_time(#[case] outcome: AttemptOutcome) {
    let (mut router, sent) = router_with_write();
    router.handle_event(Event::ClientDisconnected(sent.0));
    router.finish_attempt(sent, 0, outcome, Some(Role::Primary));
    let answered_at = router.now;
    router.now += 100_000;
    set_replicas(&mut router, answered_at - 1);
    assert!(!replica_serves_read(&mut router));
    set_replicas(&mut router, answered_at);
    assert!(replica_serves_read(&mut router));
}

/// Guards against session reads that all go to the primary because of a write that did not run.
#[rstest]
#[case::overloaded(AttemptOutcome::Overloaded)]
#[case::connect_failed(AttemptOutcome::ConnectFailed)]
#[case::not_sent(AttemptOutcome::NotSent)]
fn a_read_after_a_write_that_did_not_run_needs_no_position(#[case] outcome: AttemptOutcome) {
    let (mut router, sent) = router_with_write();
    router.handle_event(Event::ClientDisconnected(sent.0));
    router.finish_attempt(sent, 0, outcome, None);
    assert!(replica_serves_read(&mut router));
}

/// Guards against reads of all sessions that pay for a write of one.
#[test]
fn a_write_concerns_its_own_session() {
    let (mut router, _) = router_with_write();
    let deadline = router.now + TIMEOUT;
    let actions = router.handle_event(Event::Request(Request {
        id: RequestId([7; 36]),
        class: SESSION,
        group: GROUP,
        session: Some(SessionKey(10)),
        deadline,
        last_write_age: None,
        may_have_run: false,
    }));
    assert_ne!(sends(&actions)[0].1, HostId(1));
}
