//! Many proxies' decisions in virtual time against one thing that they share. Events are counted, nothing is timed.

use std::collections::VecDeque;
use wharfplank_discovery::{EndpointTracker, PollKind, PollRequest, PollSchedule, SharedDiscovery};
use wharfplank_protocol::endpoint_list::{parse, EndpointList};

const MS: i64 = 1_000;
const SECOND: i64 = 1_000 * MS;
const PROXIES: usize = 100;

/// Discovery as one service: it answers one call each 50 ms, in turn, lets a call wait for 2.3 s and has a line of 46.
/// What it grants is a subscription, which costs nothing from then on. A call for the whole list takes four turns.
#[derive(Default)]
struct Service {
    line: VecDeque<(usize, i64, i64)>,
    busy_until: i64,
    asked: Vec<i64>,
}

impl Service {
    /// Whether a call may stand in the line.
    fn ask(&mut self, proxy: usize, now: i64, work: i64) -> bool {
        self.asked.push(now);
        let room = self.line.len() < 46;
        if room {
            self.line.push_back((proxy, now, work));
        }
        room
    }

    /// Who is answered now, and whether granted. What is served too late has cost its work all the same.
    fn tick(&mut self, now: i64) -> Option<(usize, bool)> {
        if now < self.busy_until {
            return None;
        }
        let (proxy, since, work) = self.line.pop_front()?;
        self.busy_until = now + work;
        Some((proxy, now - since <= 2300 * MS))
    }
}

enum Stand {
    Calls(PollRequest),
    Waits { until: i64, asked: bool },
}

/// How many proxies are subscribed after so many seconds, and what the service was asked.
fn play(schedule: impl Fn(u64) -> PollSchedule, seconds: i64) -> (usize, Service) {
    let known = br#"{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"active"}]}"#;
    let known = parse(known).unwrap();
    let mut service = Service::default();
    let mut subscribed = [false; PROXIES];
    let mut fleet: Vec<(EndpointTracker, Stand)> = (0..PROXIES as u64)
        .map(|seed| {
            let mut tracker = EndpointTracker::new(schedule(seed), &known, 0);
            let poll = tracker.next_poll(0);
            (tracker, Stand::Calls(poll))
        })
        .collect();
    for now in (0..seconds * SECOND).step_by(MS as usize) {
        let answered = service.tick(now);
        for (proxy, (tracker, stand)) in fleet.iter_mut().enumerate() {
            let refused = match stand {
                Stand::Calls(poll) if now >= poll.start_at => {
                    let whole = poll.kind == PollKind::FullList;
                    let work = if whole { 200 * MS } else { 50 * MS };
                    let free = !whole && subscribed[proxy];
                    let stands = !whole && service.line.iter().any(|(p, ..)| *p == proxy);
                    let refused = !free && !stands && !service.ask(proxy, now, work);
                    let span = if whole { poll.response_timeout } else { poll.wait };
                    *stand = Stand::Waits { until: now + span, asked: !whole };
                    refused
                }
                _ => false,
            };
            let Stand::Waits { until, asked } = *stand else { continue };
            let mine = answered.filter(|(p, _)| *p == proxy).map(|(_, granted)| granted);
            if mine == Some(true) && asked {
                subscribed[proxy] = true;
            }
            if refused || mine == Some(false) || (now >= until && !subscribed[proxy]) {
                tracker.on_failure(now);
            } else if now >= until || (mine == Some(true) && !asked) {
                tracker.on_response(
                    now,
                    EndpointList { version: 1, complete: !asked, endpoints: known.endpoints.clone() },
                );
            } else {
                continue;
            }
            *stand = Stand::Calls(tracker.next_poll(now));
        }
    }
    (subscribed.iter().filter(|s| **s).count(), service)
}

#[test]
fn all_proxies_come_through_to_a_discovery_that_they_share() {
    let shared = |seed| {
        PollSchedule::new(SECOND).with_shared(SharedDiscovery {
            seed,
            poll_interval: 10 * SECOND,
            proxies: PROXIES as u32,
        })
    };
    let (subscribed, service) = play(shared, 15);
    assert_eq!(subscribed, PROXIES);
    assert!(service.asked.len() <= 3 * PROXIES, "{} polls", service.asked.len());
    // Once all stand on the list, nobody asks.
    assert!(service.asked.iter().all(|at| *at < 14 * SECOND));
}

/// What the spread and the pauses are for: the same proxies at the pace that suits an agent of their own.
#[test]
fn at_a_fixed_pace_most_of_them_never_do() {
    let (subscribed, service) = play(|_| PollSchedule::new(SECOND), 15);
    assert!(subscribed < PROXIES / 2, "{subscribed} subscribed");
    assert!(service.asked.len() > 6 * PROXIES, "{} polls", service.asked.len());
}
