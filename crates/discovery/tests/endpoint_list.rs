//! Properties of the endpoint tracker, for any answers of discovery at any time.

mod support;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use support::{change, endpoint, full_list, SECOND};
use wharfplank_discovery::{
    EndpointTracker, PollKind, PollSchedule, SharedDiscovery, Staleness, SuspectReason, WatchEvent,
};
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};

const START: i64 = 1_800_000_000 * SECOND;
const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

#[derive(Clone, Debug)]
enum Step {
    /// An answer: how far its version is ahead of the newest, whether it is whole, and a health for each member;
    /// 0 leaves it out.
    Answer(i64, bool, Vec<u8>),
    Fails,
    Moves,
    /// Time passes in one leap, so that the tracker expires its deadlines late.
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

/// The broker's view of the events, and the removals that discovery announced, kept apart from the tracker.
struct Model {
    tracker: EndpointTracker,
    now: i64,
    newest: u64,
    active: BTreeSet<String>,
    until: BTreeMap<String, i64>,
    removed_at: BTreeMap<String, i64>,
    empties: u32,
    polls: Vec<i64>,
}

impl Model {
    fn new() -> Model {
        let known = full_list(0, &NAMES);
        let active = NAMES.iter().map(|n| n.to_string()).collect();
        let tracker = EndpointTracker::new(PollSchedule::new(SECOND), &known, START);
        let (until, removed_at) = Default::default();
        Model { tracker, now: START, newest: 0, active, until, removed_at, empties: 0, polls: vec![] }
    }

    fn take(&mut self, event: WatchEvent) {
        for deadline in event.deadlines {
            self.until.insert(deadline.endpoint, deadline.until);
        }
        let Some(list) = event.update else { return };
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
            endpoint(
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
        // A newer version takes effect from now on, unless it would leave no endpoint at all.
        if ahead >= 0 && (!whole || !all) {
            for (name, h) in &healths {
                if out(*h) && in_use(name) {
                    self.removed_at.entry(name.to_string()).or_insert(self.now);
                } else if *h == 1 {
                    self.removed_at.remove(*name);
                }
            }
        } else {
            // The tracker need not act on this answer alone: removals of endpoints that it lists as active are void.
            self.removed_at.retain(|name, _| !healths.iter().any(|(n, h)| n == name && *h == 1));
        }
        self.newest = self.newest.max(seq);
        let event = self.tracker.on_response(self.now, catalog);
        self.take(event);
    }

    fn poll(&mut self) {
        let poll = self.tracker.next_poll(self.now);
        assert!(
            poll.start_at >= self.now
                && poll.response_timeout > 0
                && poll.hedge.after < poll.response_timeout
        );
        if let PollKind::Watch { version } = poll.kind {
            assert!(version <= self.newest, "a version that no answer had");
        }
        self.now = poll.start_at;
        self.polls.push(poll.start_at);
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Answer(ahead, whole, healths) => {
                self.poll();
                self.answer(*ahead, *whole, healths);
            }
            Step::Fails => {
                self.poll();
                self.tracker.on_failure(self.now);
            }
            Step::Moves => {
                self.tracker.on_address_changed(self.now);
                (self.newest, self.polls) = (0, vec![]);
                self.removed_at.clear();
            }
            Step::Leap(span) => {
                self.now += span;
                // A send may be about to begin before the tracker expires its deadlines.
                self.check();
                if self.tracker.next_deadline().is_some_and(|due| self.now >= due) {
                    let event = self.tracker.expire_deadlines(self.now);
                    self.take(event);
                }
            }
        }
        self.check();
    }

    fn check(&self) {
        let late = |name: &str| self.removed_at.get(name).is_some_and(|at| self.now > at + SECOND);
        // Where unconfirmed answers removed all endpoints that are left, they stay.
        if !self.active.iter().all(|name| late(name)) {
            for name in self.removed_at.keys() {
                assert!(!late(name) || !self.permits(name), "{name} may be sent to past its deadline");
            }
        }
        for pair in self.polls.windows(2) {
            assert!(pair[1] - pair[0] >= PollSchedule::MIN_INTERVAL, "polls {} us apart", pair[1] - pair[0]);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a send past a drain's deadline, an empty list by one bad answer, and calls without end,
    /// for any order of answers, silences, versions and leaps of the clock.
    #[test]
    fn any_sequence_of_answers_keeps_deadlines_and_intervals(steps in prop::collection::vec(step(), 1..60)) {
        let mut model = Model::new();
        steps.iter().for_each(|step| model.step(step));
    }

    /// Guards against times of calls that do not fit into what the rules leave, whatever their figures.
    #[test]
    fn a_silent_watch_is_replaced_in_time(drain_grace in 0..20 * SECOND) {
        let schedule = PollSchedule::new(drain_grace);
        prop_assert!(schedule.max_silent_watch() <= schedule.stale_after());
        prop_assert!(schedule.watch_wait > 0 && schedule.hedge_after < schedule.response_timeout);
        // The clock is the same where lists are asked for.
        let shared = schedule.with_shared(SharedDiscovery { seed: 1, poll_interval: 10 * SECOND, proxies: 300 });
        prop_assert!(shared.max_silent_watch() <= shared.stale_after() && shared.hedge_after < shared.response_timeout);
    }

    /// Guards against a proxy that learns too late what the agent got when discovery came back: that takes effect
    /// at once, so the first answer after an outage of any length must leave time to stop.
    #[test]
    fn an_outage_ends_in_time_to_stop(drain_grace in 400_000..20 * SECOND, down in 0..60 * SECOND) {
        let schedule = PollSchedule::new(drain_grace);
        let mut tracker = EndpointTracker::new(schedule, &full_list(0, &NAMES), START);
        let mut now = START;
        let back = START + down;
        loop {
            let poll = tracker.next_poll(now);
            now = poll.start_at;
            if now >= back {
                break;
            }
            // The call and the one beside it hang: the agent may well have come back meanwhile.
            now += (poll.hedge.after + poll.connect_timeout + poll.response_timeout - poll.wait).max(poll.response_timeout);
            tracker.on_failure(now);
        }
        prop_assert!(now - back < drain_grace, "asked {} us after the return", now - back);
    }
}

/// Guards against half a list that takes members out of use before a second answer has said the same.
#[test]
fn a_list_that_lacks_half_counts_once_it_is_confirmed() {
    let mut tracker = EndpointTracker::new(PollSchedule::new(SECOND), &full_list(0, &NAMES), START);
    tracker.next_poll(START);
    assert!(tracker.on_response(START, full_list(5, &NAMES)).update.is_some());
    let event = tracker.on_response(START + 10, full_list(6, &["a", "b", "c"]));
    assert_eq!((event.update, event.suspect), (None, Some(SuspectReason::MissingEndpoints)));
    assert_eq!(event.deadlines.len(), 3);
    assert!(event
        .deadlines
        .iter()
        .all(|deadline| (START + 10..=START + 10 + SECOND).contains(&deadline.until)));
    assert_eq!(tracker.next_poll(START + 20).kind, PollKind::FullList);
    assert_eq!(
        tracker.on_response(START + 30, full_list(6, &["a", "b", "c"])).update.map(|l| l.endpoints.len()),
        Some(3)
    );
    assert_eq!(tracker.next_deadline(), None);
    // One that nobody confirms counts by its deadline; one that would leave nobody never does alone.
    assert_eq!(
        tracker.on_response(START + 40, full_list(7, &["a"])).suspect,
        Some(SuspectReason::MissingEndpoints)
    );
    let due = tracker.next_deadline().unwrap();
    assert_eq!(tracker.expire_deadlines(due - 1), WatchEvent::default());
    let left: Vec<_> = tracker
        .expire_deadlines(due)
        .update
        .unwrap()
        .endpoints
        .into_iter()
        .map(|h| (h.name, h.health))
        .collect();
    assert_eq!(
        left,
        [("b".to_string(), EndpointHealth::Removed), ("c".to_string(), EndpointHealth::Removed)]
    );
    let empty = tracker.on_response(due + 10, full_list(8, &[]));
    assert_eq!(
        (empty.update, empty.deadlines.len(), empty.suspect),
        (None, 0, Some(SuspectReason::MissingEndpoints))
    );
    assert_eq!(tracker.expire_deadlines(due + 2 * SECOND), WatchEvent::default());
}

/// Guards against an older list that brings a drained member back, and against an agent that began anew and is
/// never believed again.
#[test]
fn an_older_version_counts_once_it_is_confirmed() {
    let mut tracker = EndpointTracker::new(PollSchedule::new(SECOND), &full_list(0, &NAMES), START);
    tracker.on_response(START, full_list(9, &["a", "b", "c"]));
    tracker.on_response(START, full_list(9, &["a", "b", "c"]));
    assert_eq!(
        tracker.on_response(START + 1, full_list(3, &NAMES)).suspect,
        Some(SuspectReason::OlderVersion)
    );
    assert_eq!(tracker.on_response(START + 2, full_list(9, &["a", "b", "c"])).suspect, None);
    assert_eq!(
        tracker.on_response(START + 3, full_list(3, &NAMES)).suspect,
        Some(SuspectReason::OlderVersion)
    );
    assert_eq!(
        tracker.on_response(START + 4, full_list(4, &NAMES)).update.map(|l| l.endpoints.len()),
        Some(6)
    );
    assert_eq!(tracker.next_poll(START + 5).kind, PollKind::Watch { version: 4 });
    // A patch of an older version says nothing and has the whole list asked for.
    assert_eq!(tracker.on_response(START + 6, change(2, &["z"])).suspect, Some(SuspectReason::OlderVersion));
    assert_eq!(tracker.next_poll(START + 7).kind, PollKind::FullList);
}

/// Guards against a start that comes undone, which would end a cold member's budget, or lies ahead of the clock.
#[test]
fn the_start_of_an_endpoint_does_not_go_back() {
    let mut tracker = EndpointTracker::new(PollSchedule::new(SECOND), &EndpointList::default(), START);
    let born = |ms| EndpointList {
        version: 1,
        complete: true,
        endpoints: vec![EndpointRecord { started_at_ms: ms, ..endpoint("a", EndpointHealth::Active) }],
    };
    let mut accepted_start =
        |ms| tracker.on_response(START, born(ms)).update.unwrap().endpoints[0].started_at_ms;
    assert_eq!(accepted_start(START / 1000 - 500), START / 1000 - 500);
    assert_eq!(accepted_start(0), START / 1000 - 500);
    assert_eq!(accepted_start(START / 1000 + 60_000), START / 1000);
}

/// Guards against a list whose staleness is not reported.
#[test]
fn staleness_has_four_levels() {
    let mut tracker = EndpointTracker::new(PollSchedule::new(SECOND), &full_list(0, &NAMES), START);
    assert_eq!(
        (tracker.staleness(START), tracker.staleness(START + 8 * SECOND)),
        (Staleness::Unconfirmed, Staleness::Stale)
    );
    tracker.on_response(START, full_list(1, &NAMES));
    let ages: Vec<_> = [0, 2, 3, 7, 8].map(|s| tracker.staleness(START + s * SECOND)).to_vec();
    assert_eq!(
        ages,
        [Staleness::Fresh, Staleness::Fresh, Staleness::Overdue, Staleness::Overdue, Staleness::Stale]
    );
    tracker.on_address_changed(START + 9 * SECOND);
    assert_eq!(tracker.staleness(START + 9 * SECOND), Staleness::Unconfirmed);
}

/// Guards against an agent that answers every watch at once with nothing to say: it is asked ever more slowly, and
/// still often enough for its watch to go on (200 ms).
#[test]
fn an_agent_with_empty_early_responses_is_polled_with_backoff() {
    let mut tracker = EndpointTracker::new(PollSchedule::new(SECOND), &full_list(0, &NAMES), START);
    tracker.next_poll(START);
    tracker.on_response(START, full_list(1, &NAMES));
    let (mut now, mut polls) = (START, 0);
    while now < START + 10 * SECOND {
        now = tracker.next_poll(now).start_at;
        polls += 1;
        tracker.on_response(now, change(1, &[]));
    }
    assert!((50..=80).contains(&polls), "{polls} polls in 10 s");
}
