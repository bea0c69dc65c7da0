//! Properties of the membership module: whatever discovery answers, and whenever.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use wharfplank::membership::{Age, Ask, Desk, Doubt, News, Pace, Shared};
use wharfplank::protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};

const SECOND: i64 = 1_000_000;
const START: i64 = 1_800_000_000 * SECOND;
const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn host(name: &str, health: EndpointHealth) -> EndpointRecord {
    let dial = Some("127.0.0.1:1".parse().unwrap());
    EndpointRecord {
        name: name.into(),
        address: dial,
        zone: String::new(),
        group: 0,
        health,
        started_at_ms: 0,
        primary: false,
    }
}

fn list(seq: u64, whole: bool, names: &[&str]) -> EndpointList {
    EndpointList {
        version: seq,
        complete: whole,
        endpoints: names.iter().map(|n| host(n, EndpointHealth::Active)).collect(),
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// An answer: how far its version is ahead of the newest, whether it is whole, and a health for each member;
    /// 0 leaves it out.
    Answer(i64, bool, Vec<u8>),
    Fails,
    Moves,
    /// Time passes in one leap, so that the module's own deadlines come late.
    Leap(i64),
}

fn step() -> impl Strategy<Value = Step> {
    let healths =
        prop::collection::vec(prop_oneof![1 => Just(0), 4 => Just(1), 1 => Just(2), 1 => Just(3)], 6);
    prop_oneof![
        6 => (-3_i64..4, any::<bool>(), healths).prop_map(|(ahead, whole, h)| Step::Answer(ahead, whole, h)),
        2 => Just(Step::Fails),
        1 => Just(Step::Moves),
        3 => (0..3 * SECOND).prop_map(Step::Leap),
    ]
}

/// What the broker makes of the news, and what discovery has told, kept apart from the module.
struct World {
    desk: Desk,
    now: i64,
    newest: u64,
    active: BTreeSet<String>,
    until: BTreeMap<String, i64>,
    told: BTreeMap<String, i64>,
    empties: u32,
    calls: Vec<i64>,
}

impl World {
    fn new() -> World {
        let known = list(0, true, &NAMES);
        let active = NAMES.iter().map(|n| n.to_string()).collect();
        let desk = Desk::new(Pace::new(SECOND), &known, START);
        let (until, told) = Default::default();
        World { desk, now: START, newest: 0, active, until, told, empties: 0, calls: vec![] }
    }

    fn take(&mut self, news: News) {
        for (name, until) in news.until {
            self.until.insert(name, until);
        }
        let Some(list) = news.list else { return };
        assert!(
            !list.complete || !list.endpoints.is_empty() || self.empties > 1,
            "empty by one answer alone"
        );
        if list.complete {
            self.active.clear();
        }
        for host in list.endpoints {
            self.until.remove(&host.name);
            match host.health {
                EndpointHealth::Active => self.active.insert(host.name),
                _ => self.active.remove(&host.name),
            };
        }
    }

    /// Whether a send to it could begin now.
    fn permits(&self, name: &str) -> bool {
        self.active.contains(name) && self.until.get(name).is_none_or(|until| self.now < *until)
    }

    fn answer(&mut self, ahead: i64, whole: bool, healths: &[u8]) {
        let seq = self.newest.saturating_add_signed(ahead);
        let healths: Vec<(&str, u8)> = NAMES.into_iter().zip(healths.iter().copied()).collect();
        let hosts = healths.iter().filter(|(_, h)| *h > 0).map(|(name, h)| {
            host(
                name,
                [EndpointHealth::Active, EndpointHealth::Draining, EndpointHealth::Removed]
                    [usize::from(*h) - 1],
            )
        });
        let catalog = EndpointList { version: seq, complete: whole, endpoints: hosts.collect() };
        let out = |h: u8| if whole { h != 1 } else { h > 1 };
        let in_use = |name: &str| self.active.contains(name);
        let all = self.active.iter().all(|n| healths.iter().any(|(name, h)| name == n && out(*h)));
        self.empties = if whole && catalog.endpoints.is_empty() { self.empties + 1 } else { 0 };
        // What an answer of a newer version tells binds from now on, unless it would leave no member at all.
        if ahead >= 0 && (!whole || !all) {
            for (name, h) in &healths {
                if out(*h) && in_use(name) {
                    self.told.entry(name.to_string()).or_insert(self.now);
                } else if *h == 1 {
                    self.told.remove(*name);
                }
            }
        } else {
            // Not the module's word any more: what it says of those members is another story.
            self.told.retain(|name, _| !healths.iter().any(|(n, h)| n == name && *h == 1));
        }
        self.newest = self.newest.max(seq);
        let news = self.desk.heard(self.now, catalog);
        self.take(news);
    }

    fn call(&mut self) {
        let call = self.desk.next(self.now);
        assert!(call.at >= self.now && call.answer > 0 && call.beside < call.answer);
        if let Ask::Watch { seq } = call.ask {
            assert!(seq <= self.newest, "a version that nobody told");
        }
        self.now = call.at;
        self.calls.push(call.at);
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Answer(ahead, whole, healths) => {
                self.call();
                self.answer(*ahead, *whole, healths);
            }
            Step::Fails => {
                self.call();
                self.desk.failed(self.now);
            }
            Step::Moves => {
                self.desk.moved(self.now);
                (self.newest, self.calls) = (0, vec![]);
                self.told.clear();
            }
            Step::Leap(span) => {
                self.now += span;
                // Between the leap and the module's turn a send may be about to begin.
                self.check();
                if self.desk.due().is_some_and(|due| self.now >= due) {
                    let news = self.desk.lapse(self.now);
                    self.take(news);
                }
            }
        }
        self.check();
    }

    fn check(&self) {
        let late = |name: &str| self.told.get(name).is_some_and(|at| self.now > at + SECOND);
        // Where all that are left were told out of use by answers that nothing confirmed, they stay.
        if !self.active.iter().all(|name| late(name)) {
            for name in self.told.keys() {
                assert!(!late(name) || !self.permits(name), "{name} may be sent to past its deadline");
            }
        }
        for pair in self.calls.windows(2) {
            assert!(pair[1] - pair[0] >= Pace::APART, "calls {} us apart", pair[1] - pair[0]);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a send past a drain's deadline, an empty list by one bad answer, and calls without end,
    /// for any order of answers, silences, versions and leaps of the clock.
    #[test]
    fn any_story_of_discovery(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        steps.iter().for_each(|step| world.step(step));
    }

    /// Guards against times of calls that do not fit into what the rules leave, whatever their figures.
    #[test]
    fn a_silent_watch_is_replaced_in_time(stop_within in 0..20 * SECOND) {
        let pace = Pace::new(stop_within);
        prop_assert!(pace.worst() <= pace.old_after());
        prop_assert!(pace.wait > 0 && pace.beside < pace.answer);
        // The clock is the same where lists are asked for.
        let shared = pace.shared(Shared { seed: 1, ask_every: 10 * SECOND, proxies: 300 });
        prop_assert!(shared.worst() <= shared.old_after() && shared.beside < shared.answer);
    }

    /// Guards against a proxy that learns too late what the agent got when discovery came back: that counts as told
    /// at once, so the first answer after an outage of any length must leave time to stop.
    #[test]
    fn an_outage_ends_in_time_to_stop(stop_within in 400_000..20 * SECOND, down in 0..60 * SECOND) {
        let pace = Pace::new(stop_within);
        let mut desk = Desk::new(pace, &list(0, true, &NAMES), START);
        let mut now = START;
        let back = START + down;
        loop {
            let call = desk.next(now);
            now = call.at;
            if now >= back {
                break;
            }
            // The call and the one beside it hang: the agent may well have come back meanwhile.
            now += (call.beside + call.connect + call.answer - call.wait).max(call.answer);
            desk.failed(now);
        }
        prop_assert!(now - back < stop_within, "asked {} us after the return", now - back);
    }
}

/// Guards against half a list that takes members out of use before a second answer has said the same.
#[test]
fn a_short_list_counts_once_it_is_confirmed() {
    let mut desk = Desk::new(Pace::new(SECOND), &list(0, true, &NAMES), START);
    desk.next(START);
    assert!(desk.heard(START, list(5, true, &NAMES)).list.is_some());
    let news = desk.heard(START + 10, list(6, true, &["a", "b", "c"]));
    assert_eq!((news.list, news.doubt), (None, Some(Doubt::Short)));
    assert_eq!(news.until.len(), 3);
    assert!(news.until.iter().all(|(_, until)| (START + 10..=START + 10 + SECOND).contains(until)));
    assert_eq!(desk.next(START + 20).ask, Ask::Whole);
    assert_eq!(
        desk.heard(START + 30, list(6, true, &["a", "b", "c"])).list.map(|l| l.endpoints.len()),
        Some(3)
    );
    assert_eq!(desk.due(), None);
    // One that nobody confirms counts by its deadline; one that would leave nobody never does alone.
    assert_eq!(desk.heard(START + 40, list(7, true, &["a"])).doubt, Some(Doubt::Short));
    let due = desk.due().unwrap();
    assert_eq!(desk.lapse(due - 1), News::default());
    let left: Vec<_> =
        desk.lapse(due).list.unwrap().endpoints.into_iter().map(|h| (h.name, h.health)).collect();
    assert_eq!(
        left,
        [("b".to_string(), EndpointHealth::Removed), ("c".to_string(), EndpointHealth::Removed)]
    );
    let empty = desk.heard(due + 10, list(8, true, &[]));
    assert_eq!((empty.list, empty.until.len(), empty.doubt), (None, 0, Some(Doubt::Short)));
    assert_eq!(desk.lapse(due + 2 * SECOND), News::default());
}

/// Guards against an older list that brings a drained member back, and against an agent that began anew and is
/// never believed again.
#[test]
fn a_version_that_goes_back_counts_once_it_is_confirmed() {
    let mut desk = Desk::new(Pace::new(SECOND), &list(0, true, &NAMES), START);
    desk.heard(START, list(9, true, &["a", "b", "c"]));
    desk.heard(START, list(9, true, &["a", "b", "c"]));
    assert_eq!(desk.heard(START + 1, list(3, true, &NAMES)).doubt, Some(Doubt::Back));
    assert_eq!(desk.heard(START + 2, list(9, true, &["a", "b", "c"])).doubt, None);
    assert_eq!(desk.heard(START + 3, list(3, true, &NAMES)).doubt, Some(Doubt::Back));
    assert_eq!(desk.heard(START + 4, list(4, true, &NAMES)).list.map(|l| l.endpoints.len()), Some(6));
    assert_eq!(desk.next(START + 5).ask, Ask::Watch { seq: 4 });
    // A patch of an older version says nothing and has the whole list asked for.
    assert_eq!(desk.heard(START + 6, list(2, false, &["z"])).doubt, Some(Doubt::Back));
    assert_eq!(desk.next(START + 7).ask, Ask::Whole);
}

/// Guards against a start that comes undone, which would end a cold member's budget, or lies ahead of the clock.
#[test]
fn a_start_stays() {
    let mut desk = Desk::new(Pace::new(SECOND), &EndpointList::default(), START);
    let born = |ms| EndpointList {
        version: 1,
        complete: true,
        endpoints: vec![EndpointRecord { started_at_ms: ms, ..host("a", EndpointHealth::Active) }],
    };
    let mut told = |ms| desk.heard(START, born(ms)).list.unwrap().endpoints[0].started_at_ms;
    assert_eq!(told(START / 1000 - 500), START / 1000 - 500);
    assert_eq!(told(0), START / 1000 - 500);
    assert_eq!(told(START / 1000 + 60_000), START / 1000);
}

/// Guards against a list whose age nobody can tell.
#[test]
fn the_age_has_four_names() {
    let mut desk = Desk::new(Pace::new(SECOND), &list(0, true, &NAMES), START);
    assert_eq!((desk.age(START), desk.age(START + 8 * SECOND)), (Age::Unheard, Age::Old));
    desk.heard(START, list(1, true, &NAMES));
    let ages: Vec<_> = [0, 2, 3, 7, 8].map(|s| desk.age(START + s * SECOND)).to_vec();
    assert_eq!(ages, [Age::Fresh, Age::Fresh, Age::Late, Age::Late, Age::Old]);
    desk.moved(START + 9 * SECOND);
    assert_eq!(desk.age(START + 9 * SECOND), Age::Unheard);
}

/// Guards against an agent that answers every watch at once with nothing to say: it is asked ever more slowly, and
/// still often enough for its watch to go on (200 ms).
#[test]
fn a_hurried_agent_is_not_asked_without_end() {
    let mut desk = Desk::new(Pace::new(SECOND), &list(0, true, &NAMES), START);
    desk.next(START);
    desk.heard(START, list(1, true, &NAMES));
    let (mut now, mut calls) = (START, 0);
    while now < START + 10 * SECOND {
        now = desk.next(now).at;
        calls += 1;
        desk.heard(now, list(1, false, &[]));
    }
    assert!((50..=80).contains(&calls), "{calls} calls in 10 s");
}
