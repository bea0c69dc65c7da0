//! How soon a proxy acts on what discovery can tell again: whatever its calls met before, whenever an outage ends.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wharfplank::membership::{Ask, Call, Desk, Pace, Shared};
use wharfplank::protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};

const SECOND: i64 = 1_000_000;
const START: i64 = 1_800_000_000 * SECOND;
/// What discovery has to tell counts as told so long after it had it and could be reached.
const TOLD: i64 = 6 * SECOND;
/// After SIGHUP, where lists are pushed.
const RELOADED: i64 = 4 * SECOND;
/// The broker's share of the time: from the answer's last byte to the last send that still begins.
const ACTED: i64 = 20_000;

fn list(seq: u64, whole: bool) -> EndpointList {
    let dial = Some("127.0.0.1:1".parse().unwrap());
    let host = |name: &str| EndpointRecord {
        name: name.into(),
        address: dial,
        zone: String::new(),
        group: 0,
        health: EndpointHealth::Active,
        started_at_ms: 0,
        primary: false,
    };
    EndpointList {
        version: seq,
        complete: whole,
        endpoints: if whole { vec![host("a"), host("b")] } else { vec![] },
    }
}

/// What becomes of a call that begins before discovery can be reached. Parts are thousandths.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Refused,
    /// Reset, or spoilt, after this part of its time.
    Breaks(i64),
    /// Neither it nor the call beside it is answered.
    Hangs,
    /// Answered after this part of its time, with nothing new.
    Answered(i64),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Refused),
        2 => (0..1000_i64).prop_map(Fate::Breaks),
        3 => Just(Fate::Hangs),
        2 => (0..1000_i64).prop_map(Fate::Answered),
    ]
}

/// When a call that hangs, and the one beside it, are given up.
fn given_up(call: &Call) -> i64 {
    let beside = call.beside < call.answer;
    let second = call.beside + call.again_answer;
    call.at + if beside { second.max(call.answer) } else { call.answer }
}

/// When a call ends that breaks: the one beside it hangs on.
fn breaks(call: &Call, part: i64) -> i64 {
    let at = call.answer * part / 1000;
    if at < call.beside {
        call.at + at
    } else {
        given_up(call)
    }
}

/// When an answer came that was given at the first call that began once discovery could be reached, and the last
/// SIGHUP. `late` is the part of the time allowed that this answer takes.
fn acted(desk: &mut Desk, back: i64, hups: &[i64], fates: &[Fate], late: i64) -> (i64, i64) {
    let (mut now, mut seq, mut hup_at) = (START, 1, START);
    let mut hups = hups.iter().copied().peekable();
    let mut fates = fates.iter().copied().cycle();
    loop {
        let call = desk.next(now);
        assert!(call.at >= now && call.beside <= call.answer);
        let reached = call.at >= back;
        let fate = fates.next().unwrap_or(Fate::Hangs);
        let end = match fate {
            _ if reached => call.at + call.answer * late / 1000,
            Fate::Refused => call.at + 1_000,
            Fate::Breaks(part) => breaks(&call, part),
            Fate::Hangs => given_up(&call),
            Fate::Answered(part) => call.at + call.beside * part / 1000,
        };
        // A signal drops the call, whether it waits for its time or for its answer.
        if let Some(at) = hups.next_if(|at| *at <= end) {
            (now, hup_at) = (now.max(at), now.max(at));
            desk.moved(now);
            continue;
        }
        now = end;
        match fate {
            _ if reached => return (now, hup_at),
            Fate::Answered(_) => {
                seq += 1;
                desk.heard(now, list(seq, call.ask == Ask::Whole));
            }
            _ => desk.failed(now),
        }
    }
}

prop_compose! {
    fn shared()(seed in any::<u64>(), ask_every in SECOND / 2..120 * SECOND, proxies in 1_u32..1000) -> Shared {
        Shared { seed, ask_every, proxies }
    }
}

prop_compose! {
    /// Outages that end at any moment, signals near it, and what calls meet until then.
    fn story()(
        back in 0..40 * SECOND,
        near in prop::collection::vec(-8 * SECOND..8 * SECOND, 0..3),
        fates in prop::collection::vec(fate(), 1..12),
    ) -> (i64, Vec<i64>, Vec<Fate>) {
        let mut hups: Vec<i64> = near.iter().map(|at| START + (back + at).max(0)).collect();
        hups.sort_unstable();
        (START + back, hups, fates)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against a change that a proxy which must ask acts on later than 6 s and the rule's time after discovery
    /// could be reached, with the answer as late as its call allows.
    #[test]
    fn an_asked_list_is_acted_on_in_time(
        stop_within in 0..20 * SECOND,
        shared in shared(),
        story in story(),
        late in 0..1000_i64,
        restarted in any::<bool>(),
    ) {
        let (back, hups, fates) = story;
        let known = if restarted { EndpointList::default() } else { list(1, true) };
        let pace = Pace::new(stop_within).shared(shared);
        let mut desk = Desk::new(pace, &known, START);
        let (acted, hup_at) = acted(&mut desk, back, &hups, &fates, late);
        let allowed = TOLD + stop_within.min(TOLD) - ACTED;
        let span = acted - back.max(hup_at);
        prop_assert!(span <= allowed, "{span} of {allowed} us");
        // What the module derives holds, and is enough.
        prop_assert!(span <= pace.reached() && pace.reached() <= pace.allowed() - ACTED, "{span}: {pace:?}");
    }

    /// Guards against a pushed list that is acted on later than the rule's time after the agent had it, or, after
    /// SIGHUP, 4 s and that time later. The agent answers at once; half of what is left is its machine's.
    #[test]
    fn a_pushed_list_is_acted_on_in_time(stop_within in 400_000..20 * SECOND, story in story()) {
        let (back, hups, fates) = story;
        // An open watch that hangs has fallen silent and has the other clock: see below.
        let fates = fates.into_iter().filter(|f| !matches!(f, Fate::Answered(_)));
        let fates: Vec<Fate> = fates.chain([Fate::Hangs]).collect();
        let mut desk = Desk::new(Pace::new(stop_within), &list(1, true), START);
        let (acted, hup_at) = acted(&mut desk, back, &hups, &fates, 0);
        let pace = Pace::new(stop_within);
        prop_assert!(acted <= back.max(hup_at) + pace.reached() && pace.reached() <= pace.allowed() - ACTED);
        let reloaded = if hup_at > START { RELOADED } else { 0 };
        let allowed = back.max(hup_at + reloaded) + stop_within - ACTED;
        prop_assert!(acted <= allowed, "{} us too late", acted - allowed);
    }

    /// Guards against a watch that fell silent and costs more than 6 s: the call beside it is refused or hangs, and so
    /// is the next one, and the third is answered as late as its call allows.
    #[test]
    fn a_silent_watch_may_be_refused_twice(
        stop_within in 0..20 * SECOND, shared in shared(), late in 0..1000_i64, hangs in any::<bool>(),
    ) {
        let mut desk = Desk::new(Pace::new(stop_within).shared(shared), &list(1, true), START);
        let mut now = desk.next(START).at;
        desk.heard(now, list(2, false));
        // It falls silent as it begins, with a change that it holds back.
        let call = desk.next(now);
        let silent = call.at;
        now = if hangs { given_up(&call) } else { call.at + call.answer };
        desk.failed(now);
        let mut call = desk.next(now);
        if !hangs {
            desk.failed(call.at + 1_000);
            call = desk.next(call.at + 1_000);
        }
        let span = call.at + call.answer * late / 1000 - silent;
        let allowed = TOLD + stop_within.min(TOLD) - ACTED;
        prop_assert!(span <= allowed, "{span} of {allowed} us");
    }

    /// Guards against a pushed watch that fell silent and that SIGHUP, to the same address, leaves as it is: what it
    /// missed counts 6 s after it fell silent, and what the agent has 4 s after the signal.
    #[test]
    fn a_silent_pushed_watch_needs_no_help_of_a_signal(stop_within in 0..20 * SECOND) {
        let mut desk = Desk::new(Pace::new(stop_within), &list(1, true), START);
        let now = desk.next(START).at;
        desk.heard(now, list(2, true));
        let call = desk.next(now);
        let now = given_up(&call);
        desk.failed(now);
        let span = desk.next(now).at + call.connect - call.at;
        let allowed = RELOADED + stop_within.min(TOLD) - ACTED;
        prop_assert!(span <= allowed, "{span} of {allowed} us");
    }
}

/// Guards against many proxies that all ask a shared discovery for the whole list at a new configuration, and against
/// one whose versions mean something else and is never asked for it: an older version, or some time, has it asked for.
#[test]
fn many_proxies_go_on_from_their_version_at_a_new_address() {
    let desk = |proxies| {
        let shared = Shared { seed: 3, ask_every: 10 * SECOND, proxies };
        let mut desk = Desk::new(Pace::new(SECOND).shared(shared), &list(1, true), START);
        let now = desk.next(START).at;
        desk.heard(now, list(7, true));
        desk.next(now);
        desk.moved(now);
        (desk, now)
    };
    let (mut few, now) = desk(10);
    assert_eq!(few.next(now).ask, Ask::Whole);
    let (mut many, now) = desk(300);
    let call = many.next(now);
    assert_eq!(call.ask, Ask::Watch { seq: 7 });
    assert!(many.heard(call.at, list(3, false)).list.is_none());
    assert_eq!(many.next(call.at).ask, Ask::Whole);
    let (mut many, mut now) = desk(300);
    let end = now + 2 * 300 * Pace::WHOLE_SPREAD + 10 * SECOND;
    let mut wholes = 0;
    while now < end {
        let call = many.next(now);
        wholes += u32::from(call.ask == Ask::Whole);
        now = call.at + call.wait;
        many.heard(now, list(7, call.ask == Ask::Whole));
    }
    assert_eq!(wholes, 1);
}
