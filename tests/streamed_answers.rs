//! Routing after streamed answers: what a member states at the end of one, after its attempt has ended.

mod common;
use common::*;
use wharfplank::routing::*;

/// Ends a strong read at the primary when its answer starts, which states nothing yet. Returns what its end
/// states with this role.
fn start_long_answer(router: &mut TestRouter, role: Role) -> StreamedState {
    let sent_at = router.now;
    let sent = sends(&router.submit(STRONG))[0];
    router.now += 20_000;
    router.finish_attempt(sent, 0, AttemptOutcome::Ok, None);
    StreamedState {
        host: sent.1,
        class: STRONG,
        session: None,
        sent_at,
        started_at: router.now,
        role: Some(role),
        position: Some(sent_at),
    }
}

/// Returns the member that a strong read goes to now.
fn strong_read_host(router: &mut TestRouter) -> Option<HostId> {
    sends(&router.submit(STRONG)).first().map(|sent| sent.1)
}

/// Guards against reads that go on to a deposed primary all of whose answers are streamed.
#[test]
fn a_streamed_answer_of_a_replica_ends_its_time_as_primary() {
    let mut router = TestRouter::new(settings());
    let state = start_long_answer(&mut router, Role::Replica);
    assert_eq!(strong_read_host(&mut router), Some(HostId(1)), "nothing is known yet");
    router.handle_event(Event::StreamFinished(state));
    assert_eq!(strong_read_host(&mut router), None);
}

/// Guards against a slow client that restores a deposed primary: its answer was given as primary, and ends
/// after a newer one has stated that the member is a replica.
#[test]
fn a_streamed_answer_that_ends_late_does_not_restore_a_deposed_primary() {
    let mut router = TestRouter::new(settings());
    let state = start_long_answer(&mut router, Role::Primary);
    let sent = sends(&router.submit(STRONG))[0];
    router.now += 500_000;
    router.finish_attempt(sent, 0, AttemptOutcome::Ok, Some(Role::Replica));
    router.now += 500_000;
    router.handle_event(Event::StreamFinished(state));
    assert_eq!(strong_read_host(&mut router), None);
}

/// Guards against a primary that is not recognized because all of its answers are streamed.
#[test]
fn a_streamed_answer_of_a_primary_makes_it_known() {
    let mut router = TestRouter::new(settings());
    let replica = start_long_answer(&mut router, Role::Replica);
    let state = start_long_answer(&mut router, Role::Primary);
    router.handle_event(Event::StreamFinished(StreamedState { host: HostId(1), ..replica }));
    router.handle_event(Event::StreamFinished(StreamedState { host: HostId(2), ..state }));
    assert_eq!(strong_read_host(&mut router), Some(HostId(2)));
}

/// Guards against a commit that is forgotten because the answer to its write is streamed.
#[test]
fn a_commit_stated_at_the_end_of_a_streamed_answer_is_remembered() {
    let mut router = TestRouter::new(Settings {
        sessions_carry_tokens: false,
        stale_reads: StaleReadPolicy::Serve,
        ..settings()
    });
    let state = start_long_answer(&mut router, Role::Primary);
    let (commit, session) = (router.now, Some(SessionKey(9)));
    for lag in [1, 0] {
        router.finish_probe(2, Role::Replica, commit - lag);
        let written = StreamedState { class: KEYED_WRITE, session, position: Some(commit), ..state.clone() };
        router.handle_event(Event::StreamFinished(written));
        router.now += 100_000;
        let is_direct = sends(&router.submit(SESSION)).first().is_some_and(|sent| sent.1 == HostId(2));
        assert_eq!(is_direct, lag == 0, "the replica is {lag} us behind the commit");
    }
}
