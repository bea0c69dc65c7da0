//! Property tests of the endpoint tracker with arbitrary answers of discovery at arbitrary times.

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

/// One input to the tracker.
#[derive(Clone, Debug)]
enum Step {
    /// Discovery answers a poll.
    Answer(Answer),
    /// A poll fails.
    Failure,
    /// Discovery has a new address.
    AddressChange,
    /// Time advances at once, so that the tracker expires its deadlines late.
    TimeJump(i64),
}

#[derive(Clone, Debug)]
struct Answer {
    /// The difference between its version and the newest one.
    versions_ahead: i64,
    is_complete: bool,
    /// The health of each endpoint; `None` omits it from the answer.
    healths: Vec<Option<EndpointHealth>>,
}

fn health() -> impl Strategy<Value = Option<EndpointHealth>> {
    prop_oneof![
        1 => Just(None),
        4 => Just(Some(EndpointHealth::Active)),
        1 => Just(Some(EndpointHealth::Draining)),
        1 => Just(Some(EndpointHealth::Removed)),
    ]
}

fn answer() -> impl Strategy<Value = Answer> {
    let healths = prop::collection::vec(health(), NAMES.len());
    (-3_i64..4, any::<bool>(), healths).prop_map(|(versions_ahead, is_complete, healths)| Answer {
        versions_ahead,
        is_complete,
        healths,
    })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => answer().prop_map(Step::Answer),
        2 => Just(Step::Failure),
        1 => Just(Step::AddressChange),
        3 => (0..3 * SECOND).prop_map(Step::TimeJump),
    ]
}

impl Answer {
    /// Returns the endpoints with their health.
    fn endpoints(&self) -> impl Iterator<Item = (&'static str, Option<EndpointHealth>)> + '_ {
        NAMES.into_iter().zip(self.healths.iter().copied())
    }

    /// Returns whether the answer removes an endpoint of this health from use.
    fn removes(&self, health: Option<EndpointHealth>) -> bool {
        match health {
            Some(health) => health != EndpointHealth::Active,
            None => self.is_complete,
        }
    }

    fn to_list(&self, version: u64) -> EndpointList {
        let endpoints = self.endpoints().filter_map(|(name, health)| Some(endpoint(name, health?)));
        EndpointList { version, complete: self.is_complete, endpoints: endpoints.collect() }
    }
}

/// A reference model: the state that a broker derives from the events, and the removals that discovery
/// announced.
struct Model {
    tracker: EndpointTracker,
    now: i64,
    newest: u64,
    active: BTreeSet<String>,
    until: BTreeMap<String, i64>,
    removed_at: BTreeMap<String, i64>,
    consecutive_empty_lists: u32,
    polls: Vec<i64>,
}

impl Model {
    fn new() -> Model {
        let known = full_list(0, &NAMES);
        let active = NAMES.iter().map(|n| n.to_string()).collect();
        let tracker = EndpointTracker::new(PollSchedule::new(SECOND), &known, START);
        let (until, removed_at) = Default::default();
        Model {
            tracker,
            now: START,
            newest: 0,
            active,
            until,
            removed_at,
            consecutive_empty_lists: 0,
            polls: vec![],
        }
    }

    fn apply_event(&mut self, event: WatchEvent) {
        for deadline in event.deadlines {
            self.until.insert(deadline.endpoint, deadline.until);
        }
        let Some(list) = event.update else { return };
        assert!(
            !list.complete || !list.endpoints.is_empty() || self.consecutive_empty_lists > 1,
            "a single empty answer was accepted"
        );
        if list.complete {
            self.active.clear();
        }
        for endpoint in list.endpoints {
            self.until.remove(&endpoint.name);
            match endpoint.health {
                EndpointHealth::Active => self.active.insert(endpoint.name),
                _ => self.active.remove(&endpoint.name),
            };
        }
    }

    /// Returns whether requests may be sent to the endpoint now.
    fn permits(&self, name: &str) -> bool {
        self.active.contains(name) && self.until.get(name).is_none_or(|until| self.now < *until)
    }

    fn answer(&mut self, answer: &Answer) {
        let version = self.newest.saturating_add_signed(answer.versions_ahead);
        let list = answer.to_list(version);
        self.consecutive_empty_lists =
            if list.complete && list.endpoints.is_empty() { self.consecutive_empty_lists + 1 } else { 0 };
        self.expect_removals(answer);
        self.newest = self.newest.max(version);
        let event = self.tracker.on_response(self.now, list);
        self.apply_event(event);
    }

    /// Records the endpoints to which no requests may be sent once the drain grace from now has passed.
    fn expect_removals(&mut self, answer: &Answer) {
        let removes_all = self
            .active
            .iter()
            .all(|active| answer.endpoints().any(|(name, health)| name == active && answer.removes(health)));
        // A newer version takes effect now, unless it would leave no endpoint.
        let takes_effect = answer.versions_ahead >= 0 && (!answer.is_complete || !removes_all);
        for (name, health) in answer.endpoints() {
            if takes_effect && answer.removes(health) && self.active.contains(name) {
                self.removed_at.entry(name.to_string()).or_insert(self.now);
            } else if health == Some(EndpointHealth::Active) {
                // If the answer takes no effect, the tracker need not act on it alone, and earlier removals
                // of the endpoints that it lists as active no longer apply.
                self.removed_at.remove(name);
            }
        }
    }

    fn poll(&mut self) {
        let poll = self.tracker.next_poll(self.now);
        assert!(
            poll.start_at >= self.now
                && poll.response_timeout > 0
                && poll.hedge.after < poll.response_timeout
        );
        if let PollKind::Watch { version } = poll.kind {
            assert!(version <= self.newest, "a version that no answer contained");
        }
        self.now = poll.start_at;
        self.polls.push(poll.start_at);
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Answer(answer) => {
                self.poll();
                self.answer(answer);
            }
            Step::Failure => {
                self.poll();
                self.tracker.on_failure(self.now);
            }
            Step::AddressChange => {
                self.tracker.on_address_changed(self.now);
                (self.newest, self.polls) = (0, vec![]);
                self.removed_at.clear();
            }
            Step::TimeJump(span) => {
                self.now += span;
                // A request may be sent before the tracker expires its deadlines.
                self.check();
                if self.tracker.next_deadline().is_some_and(|due| self.now >= due) {
                    let event = self.tracker.expire_deadlines(self.now);
                    self.apply_event(event);
                }
            }
        }
        self.check();
    }

    fn check(&self) {
        let is_past_grace = |name: &str| self.removed_at.get(name).is_some_and(|at| self.now > at + SECOND);
        // If unconfirmed answers removed all remaining endpoints, the endpoints stay in use.
        if !self.active.iter().all(|name| is_past_grace(name)) {
            for name in self.removed_at.keys() {
                assert!(
                    !is_past_grace(name) || !self.permits(name),
                    "{name} still accepts requests after its deadline"
                );
            }
        }
        for pair in self.polls.windows(2) {
            assert!(pair[1] - pair[0] >= PollSchedule::MIN_INTERVAL, "polls {} us apart", pair[1] - pair[0]);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against requests after a drain deadline, an empty list caused by one bad answer, and polls in a
    /// busy loop, for any order of answers, failures, versions and time jumps.
    #[test]
    fn any_answers_respect_deadlines_and_intervals(steps in prop::collection::vec(step(), 1..60)) {
        let mut model = Model::new();
        steps.iter().for_each(|step| model.step(step));
    }

    /// Guards against poll limits that exceed the time until the list counts as stale.
    #[test]
    fn a_silent_watch_is_replaced_in_time(drain_grace in 0..20 * SECOND) {
        let schedule = PollSchedule::new(drain_grace);
        prop_assert!(schedule.max_silent_watch() <= schedule.stale_after());
        prop_assert!(schedule.watch_wait > 0 && schedule.hedge_after < schedule.response_timeout);
        // The same limits hold for a shared service.
        let shared = schedule.with_shared(SharedDiscovery { seed: 1, poll_interval: 10 * SECOND, proxies: 300 });
        prop_assert!(shared.max_silent_watch() <= shared.stale_after() && shared.hedge_after < shared.response_timeout);
    }

    /// Guards against a proxy that receives too late what the agent received when discovery recovered. That
    /// takes effect at once, so the first poll after an outage of any length must come within the drain
    /// grace.
    #[test]
    fn polling_resumes_in_time_after_an_outage(drain_grace in 400_000..20 * SECOND, down in 0..60 * SECOND) {
        let schedule = PollSchedule::new(drain_grace);
        let mut tracker = EndpointTracker::new(schedule, &full_list(0, &NAMES), START);
        let mut now = START;
        let recovered_at = START + down;
        loop {
            let poll = tracker.next_poll(now);
            now = poll.start_at;
            if now >= recovered_at {
                break;
            }
            // The poll and its hedged poll hang, and the agent may recover in the meantime.
            now += (poll.hedge.after + poll.connect_timeout + poll.response_timeout - poll.wait).max(poll.response_timeout);
            tracker.on_failure(now);
        }
        prop_assert!(now - recovered_at < drain_grace, "polled {} us after the recovery", now - recovered_at);
    }
}

/// Guards against a list that lacks half of the endpoints and removes them before a second answer confirms
/// it.
#[test]
fn a_list_that_lacks_half_is_accepted_once_confirmed() {
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
    // An unconfirmed list takes effect at its deadline, unless it would leave no endpoint.
    assert_eq!(
        tracker.on_response(START + 40, full_list(7, &["a"])).suspect,
        Some(SuspectReason::MissingEndpoints)
    );
    let due = tracker.next_deadline().unwrap();
    assert_eq!(tracker.expire_deadlines(due - 1), WatchEvent::default());
    let removed: Vec<_> = tracker
        .expire_deadlines(due)
        .update
        .unwrap()
        .endpoints
        .into_iter()
        .map(|h| (h.name, h.health))
        .collect();
    assert_eq!(
        removed,
        [("b".to_string(), EndpointHealth::Removed), ("c".to_string(), EndpointHealth::Removed)]
    );
    let empty = tracker.on_response(due + 10, full_list(8, &[]));
    assert_eq!(
        (empty.update, empty.deadlines.len(), empty.suspect),
        (None, 0, Some(SuspectReason::MissingEndpoints))
    );
    assert_eq!(tracker.expire_deadlines(due + 2 * SECOND), WatchEvent::default());
}

/// Guards against an older list that restores a drained endpoint, and against a restarted agent whose answers
/// are never accepted.
#[test]
fn an_older_version_is_accepted_once_confirmed() {
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
    // A change with an older version is not accepted, and the full list is requested.
    assert_eq!(tracker.on_response(START + 6, change(2, &["z"])).suspect, Some(SuspectReason::OlderVersion));
    assert_eq!(tracker.next_poll(START + 7).kind, PollKind::FullList);
}

/// Guards against a start time that moves back, which would end an endpoint's slow start early, or that lies
/// in the future.
#[test]
fn the_start_time_of_an_endpoint_does_not_move_back() {
    let mut tracker = EndpointTracker::new(PollSchedule::new(SECOND), &EndpointList::default(), START);
    let list_started_at = |ms| EndpointList {
        version: 1,
        complete: true,
        endpoints: vec![EndpointRecord { started_at_ms: ms, ..endpoint("a", EndpointHealth::Active) }],
    };
    let mut accepted_start =
        |ms| tracker.on_response(START, list_started_at(ms)).update.unwrap().endpoints[0].started_at_ms;
    assert_eq!(accepted_start(START / 1000 - 500), START / 1000 - 500);
    assert_eq!(accepted_start(0), START / 1000 - 500);
    assert_eq!(accepted_start(START / 1000 + 60_000), START / 1000);
}

/// Guards against staleness that is not reported, or is reported as the wrong level.
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

/// Guards against a busy loop with an agent that answers every watch at once without changes. It is polled
/// with a backoff, but often enough for its watch to be continued (200 ms).
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
