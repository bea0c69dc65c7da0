//! The router's timer: a check that falls due before the current timer is not missed.

mod common;
use common::*;
use wharfplank::routing::*;

/// The upper limit of timers set per second while a request is queued.
const MAX_TIMERS_PER_SECOND: usize = 110;

fn timers(actions: &[Action]) -> impl Iterator<Item = Micros> + '_ {
    actions.iter().filter_map(|action| match action {
        Action::SetTimer(span) => Some(*span),
        _ => None,
    })
}

/// Creates a group without a known primary, in which one write searches for it and others wait for the
/// result.
fn router_searching_for_primary() -> (TestRouter, Vec<Action>) {
    let members = (1..=4).map(|host| endpoint(host, false)).collect();
    let mut router = TestRouter::with(Settings { may_probe: false, ..settings() }, members);
    let actions = router.submit(NON_IDEMPOTENT);
    assert_eq!(sends(&actions).len(), 1);
    (router, actions)
}

/// Guards against a request that is queued while a later timer is set, and given up only when that timer
/// expires.
#[test]
fn a_request_queued_behind_another_is_given_up_by_its_deadline() {
    let (mut router, first) = router_searching_for_primary();
    assert!(timers(&first).all(|span| span > 10_000), "a timer for attempts in flight is set");
    router.now += 1_000;
    let actions = router.submit_with(NON_IDEMPOTENT, None, 5_000);
    assert!(refused(&actions), "less time is left than a response usually takes");
    let actions = router.submit_with(KEYED_WRITE, None, 300_000);
    assert!(sends(&actions).is_empty() && !refused(&actions), "it is queued");
    assert_eq!(timers(&actions).collect::<Vec<_>>(), [10_000]);
}

/// Guards against replaced timers that stay set, so that their number grows without bound.
#[test]
fn replaced_timers_do_not_accumulate() {
    let (mut router, first) = router_searching_for_primary();
    let mut due: Vec<Micros> = timers(&first).map(|span| router.now + span).collect();
    let mut set = due.len();
    let end = router.now + 1_000_000;
    while router.now < end {
        router.now += 500;
        let expired = due.iter().filter(|at| **at <= router.now).count();
        due.retain(|at| *at > router.now);
        let mut actions = Vec::new();
        (0..expired).for_each(|_| actions.extend(router.handle_event(Event::Timer)));
        actions.extend(router.submit_with(KEYED_WRITE, None, 300_000));
        let now = router.now;
        due.extend(timers(&actions).map(|span| now + span));
        set += timers(&actions).count();
        assert!(due.len() <= 3, "{} timers are set at once", due.len());
    }
    assert!(set <= MAX_TIMERS_PER_SECOND, "{set} timers in a second");
}
