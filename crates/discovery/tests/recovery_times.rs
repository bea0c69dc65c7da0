//! How soon a proxy acts on what discovery can tell again: whatever its calls met before, whenever an outage ends.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wharfplank_discovery::{EndpointTracker, PollKind, PollRequest, PollSchedule, SharedDiscovery};
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};

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
fn given_up(poll: &PollRequest) -> i64 {
    let beside = poll.hedge.after < poll.response_timeout;
    let second = poll.hedge.after + poll.hedge.timeout;
    poll.start_at + if beside { second.max(poll.response_timeout) } else { poll.response_timeout }
}

/// When a call ends that breaks: the one beside it hangs on.
fn breaks(poll: &PollRequest, part: i64) -> i64 {
    let at = poll.response_timeout * part / 1000;
    if at < poll.hedge.after {
        poll.start_at + at
    } else {
        given_up(poll)
    }
}

/// When an answer came that was given at the first call that began once discovery could be reached, and the last
/// SIGHUP. `late` is the part of the time allowed that this answer takes.
fn acted(tracker: &mut EndpointTracker, back: i64, hups: &[i64], fates: &[Fate], late: i64) -> (i64, i64) {
    let (mut now, mut seq, mut hup_at) = (START, 1, START);
    let mut hups = hups.iter().copied().peekable();
    let mut fates = fates.iter().copied().cycle();
    loop {
        let poll = tracker.next_poll(now);
        assert!(poll.start_at >= now && poll.hedge.after <= poll.response_timeout);
        let reached = poll.start_at >= back;
        let fate = fates.next().unwrap_or(Fate::Hangs);
        let end = match fate {
            _ if reached => poll.start_at + poll.response_timeout * late / 1000,
            Fate::Refused => poll.start_at + 1_000,
            Fate::Breaks(part) => breaks(&poll, part),
            Fate::Hangs => given_up(&poll),
            Fate::Answered(part) => poll.start_at + poll.hedge.after * part / 1000,
        };
        // A signal drops the call, whether it waits for its time or for its answer.
        if let Some(at) = hups.next_if(|at| *at <= end) {
            (now, hup_at) = (now.max(at), now.max(at));
            tracker.on_address_changed(now);
            continue;
        }
        now = end;
        match fate {
            _ if reached => return (now, hup_at),
            Fate::Answered(_) => {
                seq += 1;
                tracker.on_response(now, list(seq, poll.kind == PollKind::FullList));
            }
            _ => tracker.on_failure(now),
        }
    }
}

prop_compose! {
    fn shared()(seed in any::<u64>(), poll_interval in SECOND / 2..120 * SECOND, proxies in 1_u32..1000) -> SharedDiscovery {
        SharedDiscovery { seed, poll_interval, proxies }
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
        drain_grace in 0..20 * SECOND,
        shared in shared(),
        story in story(),
        late in 0..1000_i64,
        restarted in any::<bool>(),
    ) {
        let (back, hups, fates) = story;
        let known = if restarted { EndpointList::default() } else { list(1, true) };
        let schedule = PollSchedule::new(drain_grace).with_shared(shared);
        let mut tracker = EndpointTracker::new(schedule, &known, START);
        let (acted, hup_at) = acted(&mut tracker, back, &hups, &fates, late);
        let allowed = TOLD + drain_grace.min(TOLD) - ACTED;
        let span = acted - back.max(hup_at);
        prop_assert!(span <= allowed, "{span} of {allowed} us");
        // What the module derives holds, and is enough.
        prop_assert!(span <= schedule.max_recovery() && schedule.max_recovery() <= schedule.allowed_recovery() - ACTED, "{span}: {schedule:?}");
    }

    /// Guards against a pushed list that is acted on later than the rule's time after the agent had it, or, after
    /// SIGHUP, 4 s and that time later. The agent answers at once; half of what is left is its machine's.
    #[test]
    fn a_pushed_list_is_acted_on_in_time(drain_grace in 400_000..20 * SECOND, story in story()) {
        let (back, hups, fates) = story;
        // An open watch that hangs has fallen silent and has the other clock: see below.
        let fates = fates.into_iter().filter(|f| !matches!(f, Fate::Answered(_)));
        let fates: Vec<Fate> = fates.chain([Fate::Hangs]).collect();
        let mut tracker = EndpointTracker::new(PollSchedule::new(drain_grace), &list(1, true), START);
        let (acted, hup_at) = acted(&mut tracker, back, &hups, &fates, 0);
        let schedule = PollSchedule::new(drain_grace);
        prop_assert!(acted <= back.max(hup_at) + schedule.max_recovery() && schedule.max_recovery() <= schedule.allowed_recovery() - ACTED);
        let reloaded = if hup_at > START { RELOADED } else { 0 };
        let allowed = back.max(hup_at + reloaded) + drain_grace - ACTED;
        prop_assert!(acted <= allowed, "{} us too late", acted - allowed);
    }

    /// Guards against a watch that fell silent and costs more than 6 s: the call beside it is refused or hangs, and so
    /// is the next one, and the third is answered as late as its call allows.
    #[test]
    fn a_silent_watch_may_be_refused_twice(
        drain_grace in 0..20 * SECOND, shared in shared(), late in 0..1000_i64, hangs in any::<bool>(),
    ) {
        let mut tracker = EndpointTracker::new(PollSchedule::new(drain_grace).with_shared(shared), &list(1, true), START);
        let mut now = tracker.next_poll(START).start_at;
        tracker.on_response(now, list(2, false));
        // It falls silent as it begins, with a change that it holds back.
        let poll = tracker.next_poll(now);
        let silent = poll.start_at;
        now = if hangs { given_up(&poll) } else { poll.start_at + poll.response_timeout };
        tracker.on_failure(now);
        let mut poll = tracker.next_poll(now);
        if !hangs {
            tracker.on_failure(poll.start_at + 1_000);
            poll = tracker.next_poll(poll.start_at + 1_000);
        }
        let span = poll.start_at + poll.response_timeout * late / 1000 - silent;
        let allowed = TOLD + drain_grace.min(TOLD) - ACTED;
        prop_assert!(span <= allowed, "{span} of {allowed} us");
    }

    /// Guards against a pushed watch that fell silent and that SIGHUP, to the same address, leaves as it is: what it
    /// missed counts 6 s after it fell silent, and what the agent has 4 s after the signal.
    #[test]
    fn a_silent_pushed_watch_needs_no_help_of_a_signal(drain_grace in 0..20 * SECOND) {
        let mut tracker = EndpointTracker::new(PollSchedule::new(drain_grace), &list(1, true), START);
        let now = tracker.next_poll(START).start_at;
        tracker.on_response(now, list(2, true));
        let poll = tracker.next_poll(now);
        let now = given_up(&poll);
        tracker.on_failure(now);
        let span = tracker.next_poll(now).start_at + poll.connect_timeout - poll.start_at;
        let allowed = RELOADED + drain_grace.min(TOLD) - ACTED;
        prop_assert!(span <= allowed, "{span} of {allowed} us");
    }
}

/// Guards against many proxies that all ask a shared discovery for the whole list at a new configuration, and against
/// one whose versions mean something else and is never asked for it: an older version, or some time, has it asked for.
#[test]
fn many_proxies_go_on_from_their_version_at_a_new_address() {
    let tracker = |proxies| {
        let shared = SharedDiscovery { seed: 3, poll_interval: 10 * SECOND, proxies };
        let mut tracker =
            EndpointTracker::new(PollSchedule::new(SECOND).with_shared(shared), &list(1, true), START);
        let now = tracker.next_poll(START).start_at;
        tracker.on_response(now, list(7, true));
        tracker.next_poll(now);
        tracker.on_address_changed(now);
        (tracker, now)
    };
    let (mut few, now) = tracker(10);
    assert_eq!(few.next_poll(now).kind, PollKind::FullList);
    let (mut many, now) = tracker(300);
    let poll = many.next_poll(now);
    assert_eq!(poll.kind, PollKind::Watch { version: 7 });
    assert!(many.on_response(poll.start_at, list(3, false)).update.is_none());
    assert_eq!(many.next_poll(poll.start_at).kind, PollKind::FullList);
    let (mut many, mut now) = tracker(300);
    let end = now + 2 * 300 * PollSchedule::FULL_LIST_SPREAD_PER_PROXY + 10 * SECOND;
    let mut wholes = 0;
    while now < end {
        let poll = many.next_poll(now);
        wholes += u32::from(poll.kind == PollKind::FullList);
        now = poll.start_at + poll.wait;
        many.on_response(now, list(7, poll.kind == PollKind::FullList));
    }
    assert_eq!(wholes, 1);
}
