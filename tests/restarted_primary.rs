//! A primary whose process starts anew: what was known of its role ends with the old process.

mod common;
use common::*;
use wharfplank::routing::*;

/// Lists member 1 as started at this time and as a replica.
fn list_restart(router: &mut TestRouter, started_at: Micros) {
    let restarted = Endpoint { started_at: Some(started_at), ..endpoint(1, false) };
    router.handle_event(Event::EndpointsChanged(vec![restarted]));
}

/// Creates a router to which member 1 has just answered as the primary.
fn router_with_primary() -> TestRouter {
    let mut router = TestRouter::new(settings());
    let sent = sends(&router.submit(STRONG))[0];
    assert_eq!(sent.1, HostId(1));
    router.now += 20_000;
    router.finish_attempt(sent, 0, AttemptOutcome::Ok, Some(Role::Primary));
    assert!(is_primary_known(&router));
    router
}

/// Returns whether the router knows a primary.
fn is_primary_known(router: &TestRouter) -> bool {
    router.inner.member_views().any(|member| member.primary)
}

/// Guards against reads that go to a crashed primary as to the primary when it has come back as a replica and
/// its first answers are lost: the endpoint list tells that its process is a new one.
#[test]
fn a_restart_ends_the_role_of_the_primary() {
    let mut router = router_with_primary();
    let started_at = router.now + 1_000_000;
    router.now += 3_000_000;
    list_restart(&mut router, started_at);
    assert!(!is_primary_known(&router));
}

/// Guards against a primary that is forgotten although it has answered since its start.
#[test]
fn an_answer_after_the_restart_keeps_the_role_of_the_primary() {
    let mut router = router_with_primary();
    let started_at = router.now - 10_000;
    router.now += 3_000_000;
    list_restart(&mut router, started_at);
    assert!(is_primary_known(&router));
}
