//! The load that a member may get after its start, derived from the responses of warm members.

mod common;
use common::*;
use wharfplank::routing::*;

const SECOND: Micros = 1_000_000;

/// Group 1 has a primary that has just started (1) and a warm replica (2); group 2 is warm (3, 4).
fn groups() -> Vec<Endpoint> {
    let other = |host, primary| Endpoint { group: GroupId(2), ..endpoint(host, primary) };
    let cold = Endpoint { started_at: Some(START), ..endpoint(1, true) };
    vec![cold, endpoint(2, false), other(3, true), other(4, false)]
}

/// Submits a write every 20 ms for a second, each answered at once; returns how many reach the cold primary.
fn writes(router: &mut TestRouter) -> usize {
    let (until, mut sent) = (router.now + SECOND, 0);
    while router.now < until {
        let mut actions = router.submit(NON_IDEMPOTENT);
        actions.extend(router.advance(20_000));
        for send in sends(&actions) {
            assert_eq!(send.1, HostId(1));
            sent += 1;
            router.finish_attempt(send, 0, AttemptOutcome::Ok, Some(Role::Primary));
        }
    }
    sent
}

/// Guards against a cold primary that stays idle because its only warm replica lags: that replica gets no
/// requests, which does not show how many it could serve. The members of the other group show it.
#[test]
fn a_cold_primary_is_compared_with_busy_warm_members() {
    let mut router = TestRouter::with(settings(), groups());
    for _ in 0..200 {
        let group_actions = router.submit_to_group(GroupId(2), ANY);
        sends(&group_actions)
            .into_iter()
            .for_each(|send| drop(router.finish_attempt(send, 0, AttemptOutcome::Ok, None)));
        router.advance(10_000);
    }
    // The lagging replica has answered once.
    router.finish_probe(2, Role::Replica, START - 20 * SECOND);
    sends(&router.submit(ANY))
        .into_iter()
        .for_each(|send| drop(router.finish_attempt(send, 0, AttemptOutcome::Ok, None)));
    let many = writes(&mut router);
    let mut without_load = TestRouter::with(settings(), groups());
    let few = writes(&mut without_load);
    assert!(many > 10 && few < many / 2, "{many} with busy warm members, {few} without");
}
