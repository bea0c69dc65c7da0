//! Bounds on the time from the recovery of discovery to the proxy acting on a change, for any failures of
//! earlier polls and any end of an outage.

mod support;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{change, full_list, unchanged, SECOND};
use wharfplank_discovery::{EndpointTracker, PollKind, PollRequest, PollSchedule, SharedDiscovery};
use wharfplank_protocol::endpoint_list::EndpointList;

const START: i64 = 1_800_000_000 * SECOND;
const NAMES: [&str; 2] = ["a", "b"];
/// The time after which a change takes effect once discovery has it and is reachable.
const EFFECTIVE_WITHIN: i64 = 6 * SECOND;
/// The same time after SIGHUP, for a local agent.
const RELOAD_EFFECTIVE_WITHIN: i64 = 4 * SECOND;
/// The time that the broker needs from the last byte of the answer to the last request that it still sends.
const BROKER_TIME: i64 = 20_000;

/// The outcome of a poll that starts before discovery is reachable. Fractions are in thousandths.
#[derive(Clone, Copy, Debug)]
enum PollOutcome {
    Refused,
    /// Reset, or answered with a malformed response, after this fraction of its timeout.
    BreaksAfter(i64),
    /// Neither the poll nor its hedged poll is answered.
    Hangs,
    /// Answered without changes after this fraction of the time until the hedged poll starts.
    AnsweredAfter(i64),
}

fn poll_outcome() -> impl Strategy<Value = PollOutcome> {
    prop_oneof![
        3 => Just(PollOutcome::Refused),
        2 => (0..1000_i64).prop_map(PollOutcome::BreaksAfter),
        3 => Just(PollOutcome::Hangs),
        2 => (0..1000_i64).prop_map(PollOutcome::AnsweredAfter),
    ]
}

/// Returns when a poll that hangs and its hedged poll have timed out.
fn timed_out_at(poll: &PollRequest) -> i64 {
    let is_hedged = poll.hedge.after < poll.response_timeout;
    let hedge_timeout = poll.hedge.after + poll.hedge.timeout;
    poll.start_at + if is_hedged { hedge_timeout.max(poll.response_timeout) } else { poll.response_timeout }
}

/// Returns when a poll fails whose connection breaks; its hedged poll hangs.
fn fails_at(poll: &PollRequest, fraction: i64) -> i64 {
    let at = poll.response_timeout * fraction / 1000;
    if at < poll.hedge.after {
        poll.start_at + at
    } else {
        timed_out_at(poll)
    }
}

/// Returns when the response to the first poll that started after the recovery came, and the time of the last
/// SIGHUP. `delay` is the fraction of its timeout that this response takes.
fn first_response(
    tracker: &mut EndpointTracker,
    recovered_at: i64,
    reloads: &[i64],
    outcomes: &[PollOutcome],
    delay: i64,
) -> (i64, i64) {
    let (mut now, mut version, mut reloaded_at) = (START, 1, START);
    let mut reloads = reloads.iter().copied().peekable();
    let mut outcomes = outcomes.iter().copied().cycle();
    loop {
        let poll = tracker.next_poll(now);
        assert!(poll.start_at >= now && poll.hedge.after <= poll.response_timeout);
        let is_reached = poll.start_at >= recovered_at;
        let outcome = outcomes.next().unwrap_or(PollOutcome::Hangs);
        let end = match outcome {
            _ if is_reached => poll.start_at + poll.response_timeout * delay / 1000,
            PollOutcome::Refused => poll.start_at + 1_000,
            PollOutcome::BreaksAfter(fraction) => fails_at(&poll, fraction),
            PollOutcome::Hangs => timed_out_at(&poll),
            PollOutcome::AnsweredAfter(fraction) => poll.start_at + poll.hedge.after * fraction / 1000,
        };
        // SIGHUP cancels the poll, whether it has started or not.
        if let Some(at) = reloads.next_if(|at| *at <= end) {
            (now, reloaded_at) = (now.max(at), now.max(at));
            tracker.on_address_changed(now);
            continue;
        }
        now = end;
        match outcome {
            _ if is_reached => return (now, reloaded_at),
            PollOutcome::AnsweredAfter(_) => {
                version += 1;
                tracker.on_response(now, unchanged(poll.kind, version, &NAMES));
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
    /// Outages that end at any time, SIGHUPs near the end, and the outcomes of polls until then.
    fn outage()(
        recovered_at in 0..40 * SECOND,
        reload_offsets in prop::collection::vec(-8 * SECOND..8 * SECOND, 0..3),
        outcomes in prop::collection::vec(poll_outcome(), 1..12),
    ) -> (i64, Vec<i64>, Vec<PollOutcome>) {
        let mut reloads: Vec<i64> =
            reload_offsets.iter().map(|at| START + (recovered_at + at).max(0)).collect();
        reloads.sort_unstable();
        (START + recovered_at, reloads, outcomes)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against a proxy that polls a shared service and acts on a change later than 6 s plus the drain
    /// grace after discovery became reachable, with a response as late as its timeout allows.
    #[test]
    fn a_polled_list_takes_effect_in_time(
        drain_grace in 0..20 * SECOND,
        shared in shared(),
        outage in outage(),
        delay in 0..1000_i64,
        restarted in any::<bool>(),
    ) {
        let (recovered_at, reloads, outcomes) = outage;
        let known = if restarted { EndpointList::default() } else { full_list(1, &NAMES) };
        let schedule = PollSchedule::new(drain_grace).with_shared(shared);
        let mut tracker = EndpointTracker::new(schedule, &known, START);
        let (responded_at, reloaded_at) =
            first_response(&mut tracker, recovered_at, &reloads, &outcomes, delay);
        let allowed = EFFECTIVE_WITHIN + drain_grace.min(EFFECTIVE_WITHIN) - BROKER_TIME;
        let elapsed = responded_at - recovered_at.max(reloaded_at);
        prop_assert!(elapsed <= allowed, "{elapsed} of {allowed} us");
        // The limit derived by the schedule holds, and is within the allowed time.
        prop_assert!(elapsed <= schedule.max_recovery() && schedule.max_recovery() <= schedule.allowed_recovery() - BROKER_TIME, "{elapsed}: {schedule:?}");
    }

    /// Guards against a list of a local agent that takes effect later than the drain grace after the agent
    /// had it, or, after SIGHUP, later than 4 s plus the drain grace. The agent answers at once.
    #[test]
    fn a_pushed_list_takes_effect_in_time(drain_grace in 400_000..20 * SECOND, outage in outage()) {
        let (recovered_at, reloads, outcomes) = outage;
        // An established watch that hangs is subject to other limits; see the tests of silent watches below.
        let outcomes = outcomes.into_iter().filter(|f| !matches!(f, PollOutcome::AnsweredAfter(_)));
        let outcomes: Vec<PollOutcome> = outcomes.chain([PollOutcome::Hangs]).collect();
        let mut tracker = EndpointTracker::new(PollSchedule::new(drain_grace), &full_list(1, &NAMES), START);
        let (responded_at, reloaded_at) = first_response(&mut tracker, recovered_at, &reloads, &outcomes, 0);
        let schedule = PollSchedule::new(drain_grace);
        prop_assert!(responded_at <= recovered_at.max(reloaded_at) + schedule.max_recovery() && schedule.max_recovery() <= schedule.allowed_recovery() - BROKER_TIME);
        let reload_limit = if reloaded_at > START { RELOAD_EFFECTIVE_WITHIN } else { 0 };
        let allowed = recovered_at.max(reloaded_at + reload_limit) + drain_grace - BROKER_TIME;
        prop_assert!(responded_at <= allowed, "{} us too late", responded_at - allowed);
    }

    /// Guards against a watch that falls silent and delays a change by more than 6 s plus the drain grace:
    /// either its hedged poll hangs, or the hedged poll and the next poll are refused. The last poll is
    /// answered as late as its timeout allows.
    #[test]
    fn a_silent_watch_refused_twice_recovers_in_time(
        drain_grace in 0..20 * SECOND, shared in shared(), delay in 0..1000_i64, hangs in any::<bool>(),
    ) {
        let mut tracker = EndpointTracker::new(PollSchedule::new(drain_grace).with_shared(shared), &full_list(1, &NAMES), START);
        let mut now = tracker.next_poll(START).start_at;
        tracker.on_response(now, change(2, &[]));
        // The watch falls silent as it starts, so a change is not delivered.
        let poll = tracker.next_poll(now);
        let silent_since = poll.start_at;
        now = if hangs { timed_out_at(&poll) } else { poll.start_at + poll.response_timeout };
        tracker.on_failure(now);
        let mut poll = tracker.next_poll(now);
        if !hangs {
            tracker.on_failure(poll.start_at + 1_000);
            poll = tracker.next_poll(poll.start_at + 1_000);
        }
        let elapsed = poll.start_at + poll.response_timeout * delay / 1000 - silent_since;
        let allowed = EFFECTIVE_WITHIN + drain_grace.min(EFFECTIVE_WITHIN) - BROKER_TIME;
        prop_assert!(elapsed <= allowed, "{elapsed} of {allowed} us");
    }

    /// Guards against a silent watch of a local agent that is not replaced in time. SIGHUP with an unchanged
    /// address does not restart it: what it missed takes effect 6 s after it fell silent, and what the agent
    /// has 4 s after the signal.
    #[test]
    fn a_silent_pushed_watch_recovers_without_a_reload(drain_grace in 0..20 * SECOND) {
        let mut tracker = EndpointTracker::new(PollSchedule::new(drain_grace), &full_list(1, &NAMES), START);
        let now = tracker.next_poll(START).start_at;
        tracker.on_response(now, full_list(2, &NAMES));
        let poll = tracker.next_poll(now);
        let now = timed_out_at(&poll);
        tracker.on_failure(now);
        let elapsed = tracker.next_poll(now).start_at + poll.connect_timeout - poll.start_at;
        let allowed = RELOAD_EFFECTIVE_WITHIN + drain_grace.min(EFFECTIVE_WITHIN) - BROKER_TIME;
        prop_assert!(elapsed <= allowed, "{elapsed} of {allowed} us");
    }
}

/// Guards against a large fleet whose proxies all request the full list at once from a new address of a
/// shared service, and against one that never requests it there. An older version, or the scheduled time,
/// triggers the request.
#[test]
fn a_large_fleet_resumes_from_its_version_at_a_new_address() {
    let tracker = |proxies| {
        let shared = SharedDiscovery { seed: 3, poll_interval: 10 * SECOND, proxies };
        let mut tracker =
            EndpointTracker::new(PollSchedule::new(SECOND).with_shared(shared), &full_list(1, &NAMES), START);
        let now = tracker.next_poll(START).start_at;
        tracker.on_response(now, full_list(7, &NAMES));
        tracker.next_poll(now);
        tracker.on_address_changed(now);
        (tracker, now)
    };
    let (mut small, now) = tracker(10);
    assert_eq!(small.next_poll(now).kind, PollKind::FullList);
    let (mut large, now) = tracker(300);
    let poll = large.next_poll(now);
    assert_eq!(poll.kind, PollKind::Watch { version: 7 });
    assert!(large.on_response(poll.start_at, change(3, &[])).update.is_none());
    assert_eq!(large.next_poll(poll.start_at).kind, PollKind::FullList);
    let (mut large, mut now) = tracker(300);
    let end = now + 2 * 300 * PollSchedule::FULL_LIST_SPREAD_PER_PROXY + 10 * SECOND;
    let mut full_lists = 0;
    while now < end {
        let poll = large.next_poll(now);
        full_lists += u32::from(poll.kind == PollKind::FullList);
        now = poll.start_at + poll.wait;
        large.on_response(now, unchanged(poll.kind, 7, &NAMES));
    }
    assert_eq!(full_lists, 1);
}
