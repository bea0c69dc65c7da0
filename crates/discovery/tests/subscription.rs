//! Many proxies that subscribe to one discovery service, in virtual time. Events are counted, nothing is timed.

use std::collections::VecDeque;
use wharfplank_discovery::{EndpointTracker, PollKind, PollRequest, PollSchedule, SharedDiscovery};
use wharfplank_protocol::endpoint_list::{parse, EndpointList};

const MS: i64 = 1_000;
const SECOND: i64 = 1_000 * MS;
const PROXIES: usize = 100;

/// Discovery as one service: it answers one poll each 50 ms, in turn, queues a poll for 2.3 s and has a queue of 46. What
/// it grants is a subscription, which costs nothing from then on. A poll for the full list takes four turns.
#[derive(Default)]
struct Service {
    queue: VecDeque<(usize, i64, i64)>,
    busy_until: i64,
    polled_at: Vec<i64>,
}

impl Service {
    /// Queues a poll; false where it is refused.
    fn enqueue(&mut self, proxy: usize, now: i64, work: i64) -> bool {
        self.polled_at.push(now);
        let has_room = self.queue.len() < 46;
        if has_room {
            self.queue.push_back((proxy, now, work));
        }
        has_room
    }

    /// The proxy that is answered now, and whether it is granted a subscription. A poll that has timed out costs its work
    /// all the same.
    fn tick(&mut self, now: i64) -> Option<(usize, bool)> {
        if now < self.busy_until {
            return None;
        }
        let (proxy, since, work) = self.queue.pop_front()?;
        self.busy_until = now + work;
        Some((proxy, now - since <= 2300 * MS))
    }
}

enum PollState {
    Scheduled(PollRequest),
    Waiting { until: i64, is_watch: bool },
}

/// How many proxies are subscribed after this many seconds, and the service.
fn play(schedule: impl Fn(u64) -> PollSchedule, seconds: i64) -> (usize, Service) {
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
            let refused = match state {
                PollState::Scheduled(poll) if now >= poll.start_at => {
                    let is_full_list = poll.kind == PollKind::FullList;
                    let work = if is_full_list { 200 * MS } else { 50 * MS };
                    let free = !is_full_list && subscribed[proxy];
                    let is_queued = !is_full_list && service.queue.iter().any(|(p, ..)| *p == proxy);
                    let refused = !free && !is_queued && !service.enqueue(proxy, now, work);
                    let span = if is_full_list { poll.response_timeout } else { poll.wait };
                    *state = PollState::Waiting { until: now + span, is_watch: !is_full_list };
                    refused
                }
                _ => false,
            };
            let PollState::Waiting { until, is_watch } = *state else { continue };
            let mine = answered.filter(|(p, _)| *p == proxy).map(|(_, granted)| granted);
            if mine == Some(true) && is_watch {
                subscribed[proxy] = true;
            }
            if refused || mine == Some(false) || (now >= until && !subscribed[proxy]) {
                tracker.on_failure(now);
            } else if now >= until || (mine == Some(true) && !is_watch) {
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
    let (subscribed, service) = play(shared, 15);
    assert_eq!(subscribed, PROXIES);
    assert!(service.polled_at.len() <= 3 * PROXIES, "{} polls", service.polled_at.len());
    // Once all are subscribed, nobody polls.
    assert!(service.polled_at.iter().all(|at| *at < 14 * SECOND));
}

/// What jitter and backoff are for: the same proxies with the schedule that suits a local agent.
#[test]
fn without_jitter_most_of_them_never_do() {
    let (subscribed, service) = play(|_| PollSchedule::new(SECOND), 15);
    assert!(subscribed < PROXIES / 2, "{subscribed} subscribed");
    assert!(service.polled_at.len() > 6 * PROXIES, "{} polls", service.polled_at.len());
}
