//! Many proxies that subscribe to one discovery service, simulated in virtual time.

use std::collections::VecDeque;
use wharfplank_discovery::{EndpointTracker, PollKind, PollRequest, PollSchedule, SharedDiscovery};
use wharfplank_protocol::endpoint_list::{parse, EndpointList};

const MS: i64 = 1_000;
const SECOND: i64 = 1_000 * MS;
const PROXIES: usize = 100;

/// A simulated discovery service that answers one poll every 50 ms, queues a poll for at most 2.3 s and has a
/// queue of 46. It grants subscriptions, which cost nothing afterwards. A poll for the full list takes four
/// times as long.
#[derive(Default)]
struct Service {
    queue: VecDeque<(usize, i64, i64)>,
    busy_until: i64,
    polled_at: Vec<i64>,
}

impl Service {
    /// Queues a poll. Returns false if it is refused.
    fn enqueue(&mut self, proxy: usize, now: i64, service_time: i64) -> bool {
        self.polled_at.push(now);
        let has_room = self.queue.len() < 46;
        if has_room {
            self.queue.push_back((proxy, now, service_time));
        }
        has_room
    }

    /// Returns the proxy that is answered now, and whether it is granted a subscription. A poll that has
    /// timed out still takes its service time.
    fn tick(&mut self, now: i64) -> Option<(usize, bool)> {
        if now < self.busy_until {
            return None;
        }
        let (proxy, queued_at, service_time) = self.queue.pop_front()?;
        self.busy_until = now + service_time;
        Some((proxy, now - queued_at <= 2300 * MS))
    }
}

enum PollState {
    Scheduled(PollRequest),
    Waiting { until: i64, is_watch: bool },
}

/// Runs the simulation for this many seconds. Returns the number of subscribed proxies and the service.
fn simulate(schedule: impl Fn(u64) -> PollSchedule, seconds: i64) -> (usize, Service) {
    let known = br#"{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]}"#;
    let known = parse(known).unwrap();
    let mut service = Service::default();
    let mut subscribed = [false; PROXIES];
    let mut fleet: Vec<(EndpointTracker, PollState)> = (0..PROXIES as u64)
        .map(|seed| {
            let mut tracker = EndpointTracker::new(schedule(seed), &known, 0);
            let poll = tracker.next_poll(0);
            (tracker, PollState::Scheduled(poll))
        })
        .collect();
    for now in (0..seconds * SECOND).step_by(MS as usize) {
        let answered = service.tick(now);
        for (proxy, (tracker, state)) in fleet.iter_mut().enumerate() {
            let is_refused = match state {
                PollState::Scheduled(poll) if now >= poll.start_at => {
                    let is_full_list = poll.kind == PollKind::FullList;
                    let service_time = if is_full_list { 200 * MS } else { 50 * MS };
                    let costs_nothing = !is_full_list && subscribed[proxy];
                    let is_queued = !is_full_list && service.queue.iter().any(|(p, ..)| *p == proxy);
                    let is_refused =
                        !costs_nothing && !is_queued && !service.enqueue(proxy, now, service_time);
                    let span = if is_full_list { poll.response_timeout } else { poll.wait };
                    *state = PollState::Waiting { until: now + span, is_watch: !is_full_list };
                    is_refused
                }
                _ => false,
            };
            let PollState::Waiting { until, is_watch } = *state else { continue };
            let own_answer = answered.filter(|(p, _)| *p == proxy).map(|(_, granted)| granted);
            if own_answer == Some(true) && is_watch {
                subscribed[proxy] = true;
            }
            if is_refused || own_answer == Some(false) || (now >= until && !subscribed[proxy]) {
                tracker.on_failure(now);
            } else if now >= until || (own_answer == Some(true) && !is_watch) {
                tracker.on_response(
                    now,
                    EndpointList { version: 1, complete: !is_watch, endpoints: known.endpoints.clone() },
                );
            } else {
                continue;
            }
            *state = PollState::Scheduled(tracker.next_poll(now));
        }
    }
    (subscribed.iter().filter(|s| **s).count(), service)
}

#[test]
fn all_proxies_subscribe_to_a_shared_service() {
    let shared = |seed| {
        PollSchedule::new(SECOND).with_shared(SharedDiscovery {
            seed,
            poll_interval: 10 * SECOND,
            proxies: PROXIES as u32,
        })
    };
    let (subscribed, service) = simulate(shared, 15);
    assert_eq!(subscribed, PROXIES);
    assert!(service.polled_at.len() <= 3 * PROXIES, "{} polls", service.polled_at.len());
    // Once all proxies are subscribed, no proxy polls.
    assert!(service.polled_at.iter().all(|at| *at < 14 * SECOND));
}

/// Shows that jitter and backoff are needed: the same proxies with the schedule for a local agent.
#[test]
fn without_jitter_most_proxies_do_not_subscribe() {
    let (subscribed, service) = simulate(|_| PollSchedule::new(SECOND), 15);
    assert!(subscribed < PROXIES / 2, "{subscribed} subscribed");
    assert!(service.polled_at.len() > 6 * PROXIES, "{} polls", service.polled_at.len());
}
