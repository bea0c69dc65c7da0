//! Repeats of what may have run: decided within the window in which members recognise them, and written within it.

use wharfplank_routing::{
    Action, AttemptNo, AttemptOutcome, AttemptResult, Class, ClassId, Consistency, Endpoint, EndpointStatus,
    Event, GroupId, HostId, Idempotency, Micros, Request, RequestId, Role, Router, Settings,
};

const START: Micros = 100_000_000;
const LASTS: Micros = 3_000_000;
const GROUP: GroupId = GroupId(1);
const ID: RequestId = RequestId([b'1'; 36]);

struct Bench {
    router: Router,
    now: Micros,
}

impl Bench {
    /// A primary, and one class of writes with this idempotency.
    fn new(idempotency: Idempotency) -> Bench {
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
        let mut b = Bench { router: Router::new(settings), now: START };
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
        b.tell(Event::EndpointList(vec![entry(1), entry(2)]));
        b
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    fn ask(&mut self) -> Vec<Action> {
        let deadline = self.now + LASTS;
        let (class, session, last_write_age) = (ClassId(0), None, None);
        self.tell(Event::Request(Request {
            id: ID,
            class,
            group: GROUP,
            session,
            deadline,
            last_write_age,
            may_have_run: false,
        }))
    }

    fn end(&mut self, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        self.tell(Event::AttemptFinished(AttemptResult {
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

fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Guards against a repeat that is decided within the window, waits for a connection and is written after it: by then
/// members have forgotten the first, and it would run twice. The window counts from the first that may have run.
#[test]
fn a_repeat_is_written_within_the_window_of_the_first_that_may_have_run() {
    for window in [300_000, 1_000_000, 2_000_000] {
        let mut b = Bench::new(Idempotency::Keyed { window, all_groups: false });
        assert_eq!(sends(&b.ask()), [None], "what has never run may go out at any time");
        b.now += 40_000;
        // It never ran: the next is the first that may.
        assert_eq!(sends(&b.end(0, AttemptOutcome::ConnectFailed)), [None]);
        let first = b.now;
        b.now += 60_000;
        let again = sends(&b.end(1, AttemptOutcome::Reset));
        assert!(
            again.len() == 1 && again[0].is_some_and(|at| b.now < at && at <= first + window),
            "{again:?}"
        );
        // Neither a third, nor the end of one that was never sent, moves the window on.
        b.now += 40_000;
        let third = sends(&b.end(2, AttemptOutcome::Error));
        assert_eq!(third, again, "window {window}");
        b.now = first + window;
        let late = b.end(3, AttemptOutcome::NotSent);
        assert!(sends(&late).is_empty() && failed(&late) && !refused(&late), "window {window}");
    }
}

/// Guards against a window that is shorter than one attempt: there is no repeat within it, and where only the group
/// recognises repeats the client is not told that trying again is harmless.
#[test]
fn a_window_shorter_than_an_attempt_leaves_no_repeat() {
    for (all_groups, outcome) in
        [(false, AttemptOutcome::Timeout), (false, AttemptOutcome::Reset), (true, AttemptOutcome::Reset)]
    {
        let mut b = Bench::new(Idempotency::Keyed { window: 50_000, all_groups });
        assert_eq!(sends(&b.ask()).len(), 1);
        b.now += 60_000;
        let actions = b.end(0, outcome);
        assert!(sends(&actions).is_empty(), "{actions:?}");
        assert_eq!((failed(&actions), refused(&actions)), (!all_groups, all_groups));
    }
}

/// Guards against a refusal of a write that may have run where its idempotency does not permit that, whatever ended it.
#[test]
fn what_may_have_run_is_refused_only_where_any_member_recognises_it() {
    let keyed = |all_groups| Idempotency::Keyed { window: 2_000_000, all_groups };
    let cases = [
        (Idempotency::Idempotent, true),
        (keyed(true), true),
        (keyed(false), false),
        (Idempotency::NotIdempotent, false),
    ];
    for (idempotency, harmless) in cases {
        let mut b = Bench::new(idempotency);
        b.ask();
        b.now += 50_000;
        let mut actions = b.end(0, AttemptOutcome::Error);
        assert_eq!(sends(&actions).is_empty(), idempotency == Idempotency::NotIdempotent);
        b.now += LASTS;
        actions.extend(b.end(1, AttemptOutcome::Timeout));
        assert_eq!((failed(&actions), refused(&actions)), (!harmless, harmless), "{idempotency:?}");
    }
}

/// Guards against a wait that is no wait: a client that has almost no time left is answered at once, and once.
#[test]
fn a_deadline_shorter_than_any_attempt_is_answered_at_once() {
    for lasts in [1, 999] {
        let mut b = Bench::new(Idempotency::NotIdempotent);
        let (class, session, last_write_age) = (ClassId(0), None, None);
        let deadline = b.now + lasts;
        let request =
            Request { id: ID, class, group: GROUP, session, deadline, last_write_age, may_have_run: false };
        let actions = b.tell(Event::Request(request));
        assert!(sends(&actions).is_empty() && refused(&actions) && !failed(&actions), "{actions:?}");
        b.now += 10_000;
        let later = b.tell(Event::Timer);
        assert!(!refused(&later) && !failed(&later), "one answer");
    }
}
