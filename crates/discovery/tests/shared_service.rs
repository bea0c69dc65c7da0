//! Many proxies that poll one discovery service of fixed capacity, in virtual time. Events are counted.

use std::collections::VecDeque;
use wharfplank_discovery::{EndpointTracker, PollKind, PollRequest, PollSchedule, SharedDiscovery};
use wharfplank_protocol::endpoint_list::EndpointList;

#[path = "shared_service/service.rs"]
mod service;
mod support;

use service::{Service, MS, SECOND};
use support::{change, full_list};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// All start together.
    Start,
    /// All are served, the service refuses polls for 5 s, then has a change.
    Refuses,
    /// The same, but silent.
    Silent,
    /// All open watches fall silent while the service works.
    Watches,
    /// All get a new configuration at once.
    Reload,
}

/// When an outage begins.
const DOWN: i64 = 15 * SECOND;
/// When the fault ends and there is a change.
const RECOVERED: i64 = 20 * SECOND;

struct Proxy {
    tracker: EndpointTracker,
    poll: PollRequest,
    /// Whether the poll has been made.
    is_open: bool,
    end: i64,
    is_hedged: bool,
    /// The service has granted its watch.
    granted: bool,
    /// Its watch has fallen silent.
    broken: bool,
    notified_after: Option<i64>,
    failed: bool,
}

#[derive(Debug)]
#[allow(dead_code)] // Printed by the test.
struct FleetResult {
    /// When the last proxy was notified of the change, and when half of them were, in ms.
    last: Option<i64>,
    half: Option<i64>,
    notified_in_time: usize,
    polls: usize,
    refused: usize,
    wasted: usize,
    /// The most polls in any second. A granted watch costs nothing.
    peak: usize,
}

/// The answer of the service, complete or as a change.
fn answer(version: u64, is_complete: bool) -> EndpointList {
    if is_complete {
        full_list(version, &["a"])
    } else {
        change(version, &["a"])
    }
}

fn play(proxies: usize, turn: i64, fault: Fault) -> FleetResult {
    let (busy_until, refused, wasted) = (0, 0, 0);
    let mut service = Service { turn, queue: VecDeque::new(), busy_until, refused, wasted };
    let from = if fault == Fault::Start { 0 } else { RECOVERED };
    let mut fleet: Vec<Proxy> = (0..proxies as u64)
        .map(|seed| {
            let shared =
                SharedDiscovery { seed: seed + 1, poll_interval: 10 * SECOND, proxies: proxies as u32 };
            let mut tracker =
                EndpointTracker::new(PollSchedule::new(SECOND).with_shared(shared), &answer(1, true), 0);
            if fault != Fault::Start {
                tracker.next_poll(0);
                tracker.on_response(MS, answer(1, true));
            }
            // Those that are served continue their watches at different times.
            let at = if fault == Fault::Start {
                0
            } else {
                10 * SECOND + seed as i64 * 2 * SECOND / proxies as i64
            };
            let poll = tracker.next_poll(at);
            let granted = fault != Fault::Start;
            Proxy {
                tracker,
                poll,
                is_open: false,
                end: 0,
                is_hedged: false,
                granted,
                broken: false,
                notified_after: None,
                failed: false,
            }
        })
        .collect();
    let mut starts = Vec::new();
    let begin = if fault == Fault::Start { 0 } else { 10 * SECOND };
    for now in (begin..RECOVERED + 60 * SECOND).step_by(MS as usize) {
        let down = matches!(fault, Fault::Refuses | Fault::Silent) && (DOWN..RECOVERED).contains(&now);
        if now == DOWN && down {
            fleet.iter_mut().for_each(|p| (p.granted, p.broken) = (false, p.is_open));
            service.queue.clear();
        }
        if now == RECOVERED && fault == Fault::Watches {
            fleet.iter_mut().for_each(|p| (p.granted, p.broken) = (false, p.is_open));
        }
        if now == RECOVERED && fault == Fault::Reload {
            for p in &mut fleet {
                p.tracker.on_address_changed(now);
                (p.granted, p.is_open, p.is_hedged, p.broken) = (false, false, false, false);
                p.poll = p.tracker.next_poll(now);
            }
        }
        let answered = if down { None } else { service.tick(now) };
        for (i, p) in fleet.iter_mut().enumerate() {
            let mut ended = None;
            let whole = p.poll.kind == PollKind::FullList;
            if !p.is_open && now >= p.poll.start_at {
                (p.is_open, p.end, p.failed) = (true, p.poll.start_at + p.poll.response_timeout, false);
                if !p.granted || whole {
                    if now >= from {
                        starts.push(now);
                    }
                    if down {
                        p.failed = fault == Fault::Refuses;
                        p.broken = !p.failed;
                    } else if !p.broken {
                        p.failed = !service.enqueue(i, now, whole, p.poll.start_at + p.poll.response_timeout);
                    }
                }
            }
            if !p.is_open {
                continue;
            }
            // The hedged poll.
            if !p.is_hedged
                && !p.failed
                && p.poll.hedge.after < p.poll.response_timeout
                && now >= p.poll.start_at + p.poll.hedge.after
            {
                p.is_hedged = true;
                let span = p.poll.hedge.timeout;
                if now >= from {
                    starts.push(now);
                }
                if !down && service.enqueue(i, now, p.poll.hedge.kind == PollKind::FullList, now + span) {
                    p.end = p.end.max(now + span);
                }
            }
            let mine = answered.filter(|(proxy, _)| *proxy == i && !p.failed);
            if let Some((_, whole)) = mine {
                p.granted |= !whole;
                ended = Some(true);
            } else if p.granted
                && !p.broken
                && now >= from
                && p.notified_after.is_none()
                && fault != Fault::Start
                && !whole
            {
                // A granted watch is notified at once.
                ended = Some(true);
            } else if p.failed {
                ended = Some(false);
            } else if !whole && !p.is_hedged && !p.broken && !down && now >= p.poll.start_at + p.poll.wait {
                // Its wait is over: nothing is new, or it is still queued and is refused.
                ended = Some(p.granted);
            } else if now >= p.end {
                ended = Some(p.granted && !p.broken);
            }
            match ended {
                Some(true) => {
                    if now >= from && p.notified_after.is_none() {
                        p.notified_after = Some(now - from);
                    }
                    p.tracker.on_response(now, answer(1 + u64::from(now >= from), whole));
                }
                Some(false) => p.tracker.on_failure(now),
                None => continue,
            }
            p.poll = p.tracker.next_poll(now);
            (p.is_open, p.is_hedged, p.broken) = (false, false, false);
        }
        if fleet.iter().all(|p| p.notified_after.is_some()) && now >= from {
            break;
        }
    }
    let mut notified: Vec<i64> = fleet.iter().filter_map(|p| p.notified_after).collect();
    notified.sort_unstable();
    let second = |at: &i64| starts.iter().filter(|s| (*at..*at + SECOND).contains(*s)).count();
    FleetResult {
        last: notified.get(proxies - 1).map(|at| at / MS),
        half: notified.get((proxies - 1) / 2).map(|at| at / MS),
        notified_in_time: notified.iter().filter(|at| **at <= 7 * SECOND).count(),
        polls: starts.len(),
        refused: service.refused,
        wasted: service.wasted,
        peak: starts.iter().map(second).max().unwrap_or(0),
    }
}

/// Guards against polls that keep a shared service from answering any: with each fault all proxies are notified in the
/// time that their answers take one after the other, or within 6 s and the drain grace of 1 s if that is longer, and half
/// as much again.
#[test]
fn all_proxies_are_notified_by_a_shared_service() {
    use Fault::*;
    let mut slow = Vec::new();
    for (proxies, turn) in [(3, 50), (12, 50), (30, 50), (300, 15), (300, 50)] {
        for fault in [Start, Refuses, Silent, Watches, Reload] {
            let result = play(proxies, turn * MS, fault);
            println!("{proxies:4} {turn:3} ms {fault:?}: {result:?}");
            let least = (proxies as i64 * turn).max(7_000);
            let alone = proxies as i64 * turn <= 5_000;
            let most = if alone { least } else { least + least / 2 };
            if result.last.is_none_or(|last| last > most) {
                slow.push((proxies, turn, fault, most, result));
            }
        }
    }
    assert!(slow.is_empty(), "{slow:#?}");
}
