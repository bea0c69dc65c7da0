//! The events of the router for exhausted fleet-wide budgets.

mod common;

use common::*;
use wharfplank::routing::*;

fn request(id: u8, class: ClassId, may_have_run: bool) -> Request {
    let (id, group, session) = (RequestId([id; 36]), GROUP, Some(SessionKey(9)));
    Request { id, class, group, session, deadline: START + 1_000_000, last_write_age: None, may_have_run }
}

#[test]
fn a_request_over_budget_is_refused_at_once_with_a_retry_delay() {
    let mut router = TestRouter::new(settings());
    let actions = router.handle_event(Event::RequestOverQuota(request(1, NON_IDEMPOTENT, false)));
    let retry_after_of = |a: &Action| match a {
        Action::Reject { retry_after, reason: RejectReason::OverQuota, .. } => Some(*retry_after),
        _ => None,
    };
    assert_eq!(actions.iter().filter_map(retry_after_of).collect::<Vec<_>>(), [1_000_000]);
    assert!(sends(&actions).is_empty());
    // The router does not keep the request: it is not sent later either.
    assert!(sends(&router.advance(500_000)).is_empty());
    // A request that may have run and must not run twice fails: a refusal would tell the client that a retry
    // is safe.
    assert!(failed(&router.handle_event(Event::RequestOverQuota(request(2, NON_IDEMPOTENT, true)))));
    assert_eq!(sends(&router.submit(ANY)).len(), 1);
}

#[test]
fn without_a_retry_budget_a_request_is_sent_once() {
    let mut router = TestRouter::new(settings());
    let sent = sends(&router.submit(ANY))[0];
    assert_eq!(sends(&router.finish_attempt(sent, 0, AttemptOutcome::ConnectFailed, None)).len(), 1);
    router.handle_event(Event::RetriesAllowed(false));
    let sent = sends(&router.submit(ANY))[0];
    let actions = router.finish_attempt(sent, 0, AttemptOutcome::ConnectFailed, None);
    assert!(refused(&actions) && sends(&actions).is_empty());
    router.handle_event(Event::RetriesAllowed(true));
    let sent = sends(&router.submit(ANY))[0];
    assert_eq!(sends(&router.finish_attempt(sent, 0, AttemptOutcome::ConnectFailed, None)).len(), 1);
}
