//! Retries of requests that may have run are dispatched, and sent completely, within the window in which
//! members recognise repeats.

use wharfplank_routing::{
    Action, AttemptNo, AttemptOutcome, AttemptResult, Class, ClassId, Consistency, Endpoint, EndpointStatus,
    Event, GroupId, HostId, Idempotency, Micros, Request, RequestId, Role, Router, Settings,
};

const START: Micros = 100_000_000;
const REQUEST_TIMEOUT: Micros = 3_000_000;
const GROUP: GroupId = GroupId(1);
const ID: RequestId = RequestId([b'1'; 36]);

struct Fixture {
    router: Router,
    now: Micros,
}

impl Fixture {
    /// Creates a router for a primary and a replica, with one class of writes of this idempotency.
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
        let deadline = self.now + REQUEST_TIMEOUT;
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

/// The times until which the sends among the actions may be written.
fn sends(actions: &[Action]) -> Vec<Option<Micros>> {
    let send = |a: &Action| match a {
        Action::Send { send_deadline, .. } => Some(*send_deadline),
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

/// Guards against a retry that is dispatched within the window, waits for a connection and is written after
/// the window has ended: by then members no longer recognise it as a repeat, and it would run twice. The
/// window counts from the first attempt that may have run.
#[test]
fn retry_stays_within_window_of_first_attempt_that_may_have_run() {
    for window in [300_000, 1_000_000, 2_000_000] {
        let mut fixture = Fixture::new(Idempotency::Keyed { window, all_groups: false });
        assert_eq!(
            sends(&fixture.send_request()),
            [None],
            "a request that has never run may be sent at any time"
        );
        fixture.now += 40_000;
        // The first attempt never ran; the next one is the first that may have run.
        assert_eq!(sends(&fixture.finish_attempt(0, AttemptOutcome::ConnectFailed)), [None]);
        let first = fixture.now;
        fixture.now += 60_000;
        let second = sends(&fixture.finish_attempt(1, AttemptOutcome::Reset));
        assert!(
            second.len() == 1 && second[0].is_some_and(|at| fixture.now < at && at <= first + window),
            "{second:?}"
        );
        // Neither a third attempt nor one that was never sent extends the window.
        fixture.now += 40_000;
        let third = sends(&fixture.finish_attempt(2, AttemptOutcome::Error));
        assert_eq!(third, second, "window {window}");
        fixture.now = first + window;
        let late = fixture.finish_attempt(3, AttemptOutcome::NotSent);
        assert!(sends(&late).is_empty() && is_failed(&late) && !is_rejected(&late), "window {window}");
    }
}

/// Guards against retries outside a window that is shorter than one attempt. Where only the group recognises
/// repeats, the client must not be told that a retry is harmless either.
#[test]
fn no_retry_if_window_is_shorter_than_attempt() {
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

/// Guards against rejecting a write that may have run although its idempotency does not make a retry
/// harmless, however its attempts ended.
#[test]
fn request_that_may_have_run_is_rejected_only_if_repeatable() {
    let keyed = |all_groups| Idempotency::Keyed { window: 2_000_000, all_groups };
    let cases = [
        (Idempotency::Idempotent, true),
        (keyed(true), true),
        (keyed(false), false),
        (Idempotency::NotIdempotent, false),
    ];
    for (idempotency, retry_is_harmless) in cases {
        let mut fixture = Fixture::new(idempotency);
        fixture.send_request();
        fixture.now += 50_000;
        let mut actions = fixture.finish_attempt(0, AttemptOutcome::Error);
        assert_eq!(sends(&actions).is_empty(), idempotency == Idempotency::NotIdempotent);
        fixture.now += REQUEST_TIMEOUT;
        actions.extend(fixture.finish_attempt(1, AttemptOutcome::Timeout));
        assert_eq!(
            (is_failed(&actions), is_rejected(&actions)),
            (!retry_is_harmless, retry_is_harmless),
            "{idempotency:?}"
        );
    }
}

/// Guards against queueing a request whose client has almost no time left: it is answered immediately, and
/// only once.
#[test]
fn request_without_time_left_is_answered_immediately_and_once() {
    for time_left in [1, 999] {
        let mut fixture = Fixture::new(Idempotency::NotIdempotent);
        let (class, session, last_write_age) = (ClassId(0), None, None);
        let deadline = fixture.now + time_left;
        let request =
            Request { id: ID, class, group: GROUP, session, deadline, last_write_age, may_have_run: false };
        let actions = fixture.handle(Event::Request(request));
        assert!(sends(&actions).is_empty() && is_rejected(&actions) && !is_failed(&actions), "{actions:?}");
        fixture.now += 10_000;
        let later = fixture.handle(Event::Timer);
        assert!(!is_rejected(&later) && !is_failed(&later), "the request was answered twice");
    }
}
