//! What the router does where a budget of the whole fleet is spent: its call, told by its interface.

mod common;

use common::*;
use wharfplank::routing::*;

fn request(id: u8, class: ClassId, may_have_run: bool) -> Request {
    let (id, group, session) = (RequestId([id; 36]), GROUP, Some(SessionKey(9)));
    Request { id, class, group, session, deadline: START + 1_000_000, last_write_age: None, may_have_run }
}

#[test]
fn a_request_over_budget_is_refused_at_once_with_a_wait() {
    let mut bench = Bench::new(settings());
    let actions = bench.tell(Event::RequestOverQuota(request(1, UNSAFE, false)));
    let wait = |a: &Action| match a {
        Action::Reject { retry_after, reason: RejectReason::OverQuota, .. } => Some(*retry_after),
        _ => None,
    };
    assert_eq!(actions.iter().filter_map(wait).collect::<Vec<_>>(), [1_000_000]);
    assert!(sends(&actions).is_empty());
    // Nothing of it is left: it is not sent later either.
    assert!(sends(&bench.pass(500_000)).is_empty());
    // One that may have run before and must not run twice is not promised to be harmless.
    assert!(failed(&bench.tell(Event::RequestOverQuota(request(2, UNSAFE, true)))));
    assert_eq!(sends(&bench.ask(ANY)).len(), 1);
}

#[test]
fn without_a_budget_of_retries_a_request_is_sent_once() {
    let mut bench = Bench::new(settings());
    let sent = sends(&bench.ask(ANY))[0];
    assert_eq!(sends(&bench.end(sent, 0, AttemptOutcome::ConnectFailed, None)).len(), 1);
    bench.tell(Event::RetriesAllowed(false));
    let sent = sends(&bench.ask(ANY))[0];
    let actions = bench.end(sent, 0, AttemptOutcome::ConnectFailed, None);
    assert!(refused(&actions) && sends(&actions).is_empty());
    bench.tell(Event::RetriesAllowed(true));
    let sent = sends(&bench.ask(ANY))[0];
    assert_eq!(sends(&bench.end(sent, 0, AttemptOutcome::ConnectFailed, None)).len(), 1);
}
