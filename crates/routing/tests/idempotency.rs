//! Repeats of what may have run: decided within the window in which members recognise them, and written within it.

use wharfplank_routing::{
    Action, AttemptNo, AttemptOutcome, AttemptResult, Class, ClassId, Consistency, Endpoint, EndpointStatus,
    Event, GroupId, HostId, Idempotency, Micros, Request, RequestId, Role, Router, Settings,
};

const START: Micros = 100_000_000;
const LASTS: Micros = 3_000_000;
const GROUP: GroupId = GroupId(1);
const ID: RequestId = RequestId([b'1'; 36]);

struct Fixture {
    router: Router,
    now: Micros,
}

impl Fixture {
    /// A primary, and one class of writes with this idempotency.
    fn new(idempotency: Idempotency) -> Fixture {
        let classes = vec![Class {
            consistency: Consistency::Write,
            idempotency,
            latency_objective: 400_000,
            priority_weight: 1.0,
            late_weight: 0.5,
        }];
        let settings = Settings {
            seed: 7,
            routers: 3,
            classes,
            max_attempts: 6,
            may_cancel: true,
            ..Settings::default()
        };
        let mut fixture = Fixture { router: Router::new(settings), now: START };
        let (started_at, local, zone) = (None, true, 0);
        let entry = |host| Endpoint {
            host: HostId(host),
            group: GROUP,
            status: EndpointStatus::Up,
            primary: host == 1,
            started_at,
            local,
            zone,
        };
        fixture.handle(Event::EndpointList(vec![entry(1), entry(2)]));
        fixture
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    fn send_request(&mut self) -> Vec<Action> {
        let deadline = self.now + LASTS;
        let (class, session, last_write_age) = (ClassId(0), None, None);
        self.handle(Event::Request(Request {
            id: ID,
            class,
            group: GROUP,
            session,
            deadline,
            last_write_age,
            may_have_run: false,
        }))
    }

    fn finish_attempt(&mut self, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        self.handle(Event::AttemptFinished(AttemptResult {
            id: ID,
            attempt: AttemptNo(attempt),
            host: HostId(1),
            outcome,
            terminal: false,
            latency: 20_000,
            role: Some(Role::Primary),
            position: None,
        }))
    }
}

/// The sends among actions: until when each may be written.
fn sends(actions: &[Action]) -> Vec<Option<Micros>> {
    let send = |a: &Action| match a {
        Action::Send { holds_until, .. } => Some(*holds_until),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Guards against a repeat that is decided within the window, waits for a connection and is written after it: by then
/// members have forgotten the first, and it would run twice. The window counts from the first that may have run.
#[test]
fn a_retry_is_sent_within_the_window_of_the_first_attempt_that_may_have_run() {
    for window in [300_000, 1_000_000, 2_000_000] {
        let mut fixture = Fixture::new(Idempotency::Keyed { window, all_groups: false });
        assert_eq!(sends(&fixture.send_request()), [None], "what has never run may go out at any time");
        fixture.now += 40_000;
        // It never ran: the next is the first that may.
        assert_eq!(sends(&fixture.finish_attempt(0, AttemptOutcome::ConnectFailed)), [None]);
        let first = fixture.now;
        fixture.now += 60_000;
        let again = sends(&fixture.finish_attempt(1, AttemptOutcome::Reset));
        assert!(
            again.len() == 1 && again[0].is_some_and(|at| fixture.now < at && at <= first + window),
            "{again:?}"
        );
        // Neither a third, nor the end of one that was never sent, moves the window on.
        fixture.now += 40_000;
        let third = sends(&fixture.finish_attempt(2, AttemptOutcome::Error));
        assert_eq!(third, again, "window {window}");
        fixture.now = first + window;
        let late = fixture.finish_attempt(3, AttemptOutcome::NotSent);
        assert!(sends(&late).is_empty() && is_failed(&late) && !is_rejected(&late), "window {window}");
    }
}

/// Guards against a window that is shorter than one attempt: there is no repeat within it, and where only the group
/// recognises repeats the client is not told that trying again is harmless.
#[test]
fn a_window_shorter_than_an_attempt_allows_no_retry() {
    for (all_groups, outcome) in
        [(false, AttemptOutcome::Timeout), (false, AttemptOutcome::Reset), (true, AttemptOutcome::Reset)]
    {
        let mut fixture = Fixture::new(Idempotency::Keyed { window: 50_000, all_groups });
        assert_eq!(sends(&fixture.send_request()).len(), 1);
        fixture.now += 60_000;
        let actions = fixture.finish_attempt(0, outcome);
        assert!(sends(&actions).is_empty(), "{actions:?}");
        assert_eq!((is_failed(&actions), is_rejected(&actions)), (!all_groups, all_groups));
    }
}

/// Guards against a refusal of a write that may have run where its idempotency does not permit that, whatever ended it.
#[test]
fn a_request_that_may_have_run_is_rejected_only_if_every_group_recognises_its_key() {
    let keyed = |all_groups| Idempotency::Keyed { window: 2_000_000, all_groups };
    let cases = [
        (Idempotency::Idempotent, true),
        (keyed(true), true),
        (keyed(false), false),
        (Idempotency::NotIdempotent, false),
    ];
    for (idempotency, harmless) in cases {
        let mut fixture = Fixture::new(idempotency);
        fixture.send_request();
        fixture.now += 50_000;
        let mut actions = fixture.finish_attempt(0, AttemptOutcome::Error);
        assert_eq!(sends(&actions).is_empty(), idempotency == Idempotency::NotIdempotent);
        fixture.now += LASTS;
        actions.extend(fixture.finish_attempt(1, AttemptOutcome::Timeout));
        assert_eq!((is_failed(&actions), is_rejected(&actions)), (!harmless, harmless), "{idempotency:?}");
    }
}

/// Guards against a wait that is no wait: a client that has almost no time left is answered at once, and once.
#[test]
fn a_request_with_a_deadline_shorter_than_any_attempt_is_answered_at_once() {
    for lasts in [1, 999] {
        let mut fixture = Fixture::new(Idempotency::NotIdempotent);
        let (class, session, last_write_age) = (ClassId(0), None, None);
        let deadline = fixture.now + lasts;
        let request =
            Request { id: ID, class, group: GROUP, session, deadline, last_write_age, may_have_run: false };
        let actions = fixture.handle(Event::Request(request));
        assert!(sends(&actions).is_empty() && is_rejected(&actions) && !is_failed(&actions), "{actions:?}");
        fixture.now += 10_000;
        let later = fixture.handle(Event::Timer);
        assert!(!is_rejected(&later) && !is_failed(&later), "one answer");
    }
}
