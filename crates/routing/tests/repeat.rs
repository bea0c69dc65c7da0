//! Repeats of what may have run: decided within the window in which members recognise them, and written within it.

use wharfplank_routing::{
    Action, AttemptNo, Class, ClassId, Consistency, Effect, Ending, Entry, Event, GroupId, HostId, Listed,
    Micros, Outcome, Request, RequestId, Role, Router, Settings,
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
    /// A primary, and one class of writes with this effect.
    fn new(effect: Effect) -> Bench {
        let (consistency, aim, worth, late_worth) = (Consistency::Write, 400_000, 1.0, 0.5);
        let classes = vec![Class { consistency, effect, aim, worth, late_worth }];
        let settings = Settings {
            seed: 7,
            routers: 3,
            classes,
            max_attempts: 6,
            may_cancel: true,
            ..Settings::default()
        };
        let mut b = Bench { router: Router::new(settings), now: START };
        let (launched, local, zone) = (None, true, 0);
        let entry = |host| Entry {
            host: HostId(host),
            group: GROUP,
            listed: Listed::Up,
            primary: host == 1,
            launched,
            local,
            zone,
        };
        b.tell(Event::List(vec![entry(1), entry(2)]));
        b
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    fn ask(&mut self) -> Vec<Action> {
        let give_up_at = self.now + LASTS;
        let (class, key, write_age) = (ClassId(0), None, None);
        self.tell(Event::Request(Request {
            id: ID,
            class,
            group: GROUP,
            key,
            give_up_at,
            write_age,
            doubted: false,
        }))
    }

    fn end(&mut self, attempt: u32, ending: Ending) -> Vec<Action> {
        self.tell(Event::Outcome(Outcome {
            id: ID,
            attempt: AttemptNo(attempt),
            host: HostId(1),
            ending,
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
    actions.iter().any(|a| matches!(a, Action::Fail(..)))
}

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

/// Guards against a repeat that is decided within the window, waits for a connection and is written after it: by then
/// members have forgotten the first, and it would run twice. The window counts from the first that may have run.
#[test]
fn a_repeat_is_written_within_the_window_of_the_first_that_may_have_run() {
    for window in [300_000, 1_000_000, 2_000_000] {
        let mut b = Bench::new(Effect::Keyed { window, everywhere: false });
        assert_eq!(sends(&b.ask()), [None], "what has never run may go out at any time");
        b.now += 40_000;
        // It never ran: the next is the first that may.
        assert_eq!(sends(&b.end(0, Ending::ConnectFailed)), [None]);
        let first = b.now;
        b.now += 60_000;
        let again = sends(&b.end(1, Ending::Reset));
        assert!(
            again.len() == 1 && again[0].is_some_and(|at| b.now < at && at <= first + window),
            "{again:?}"
        );
        // Neither a third, nor the end of one that was never sent, moves the window on.
        b.now += 40_000;
        let third = sends(&b.end(2, Ending::Error));
        assert_eq!(third, again, "window {window}");
        b.now = first + window;
        let late = b.end(3, Ending::Moot);
        assert!(sends(&late).is_empty() && failed(&late) && !refused(&late), "window {window}");
    }
}

/// Guards against a window that is shorter than one attempt: there is no repeat within it, and where only the group
/// recognises repeats the client is not told that trying again is harmless.
#[test]
fn a_window_shorter_than_an_attempt_leaves_no_repeat() {
    for (everywhere, ending) in [(false, Ending::Timeout), (false, Ending::Reset), (true, Ending::Reset)] {
        let mut b = Bench::new(Effect::Keyed { window: 50_000, everywhere });
        assert_eq!(sends(&b.ask()).len(), 1);
        b.now += 60_000;
        let actions = b.end(0, ending);
        assert!(sends(&actions).is_empty(), "{actions:?}");
        assert_eq!((failed(&actions), refused(&actions)), (!everywhere, everywhere));
    }
}

/// Guards against a refusal of a write that may have run where its effect does not permit that, whatever ended it.
#[test]
fn what_may_have_run_is_refused_only_where_any_member_recognises_it() {
    let keyed = |everywhere| Effect::Keyed { window: 2_000_000, everywhere };
    let cases = [(Effect::Safe, true), (keyed(true), true), (keyed(false), false), (Effect::Unsafe, false)];
    for (effect, harmless) in cases {
        let mut b = Bench::new(effect);
        b.ask();
        b.now += 50_000;
        let mut actions = b.end(0, Ending::Error);
        assert_eq!(sends(&actions).is_empty(), effect == Effect::Unsafe);
        b.now += LASTS;
        actions.extend(b.end(1, Ending::Timeout));
        assert_eq!((failed(&actions), refused(&actions)), (!harmless, harmless), "{effect:?}");
    }
}

/// Guards against a wait that is no wait: a client that has almost no time left is answered at once, and once.
#[test]
fn a_deadline_shorter_than_any_attempt_is_answered_at_once() {
    for lasts in [1, 999] {
        let mut b = Bench::new(Effect::Unsafe);
        let (class, key, write_age) = (ClassId(0), None, None);
        let give_up_at = b.now + lasts;
        let request = Request { id: ID, class, group: GROUP, key, give_up_at, write_age, doubted: false };
        let actions = b.tell(Event::Request(request));
        assert!(sends(&actions).is_empty() && refused(&actions) && !failed(&actions), "{actions:?}");
        b.now += 10_000;
        let later = b.tell(Event::Timer);
        assert!(!refused(&later) && !failed(&later), "one answer");
    }
}
