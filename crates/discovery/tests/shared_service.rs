//! Many proxies that poll one discovery service of fixed capacity, simulated in virtual time.

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
    /// All proxies start together.
    Startup,
    /// All proxies have watches, the service refuses polls for 5 s, then recovers with a change.
    RefusingService,
    /// The same, but the service does not respond instead of refusing.
    SilentService,
    /// All open watches fall silent while the service keeps working.
    SilentWatches,
    /// All proxies reload their configuration at once.
    Reload,
}

/// The time at which an outage begins.
const OUTAGE_STARTED: i64 = 15 * SECOND;
/// The time at which the fault ends and a change occurs.
const FAULT_ENDED: i64 = 20 * SECOND;

struct Proxy {
    tracker: EndpointTracker,
    poll: PollRequest,
    /// Whether the poll has been sent.
    is_open: bool,
    end: i64,
    is_hedged: bool,
    /// Whether the service has granted its watch.
    is_granted: bool,
    /// Whether its watch has fallen silent.
    is_silent: bool,
    notified_after: Option<i64>,
    has_failed: bool,
}

#[derive(Debug)]
#[allow(dead_code)] // Printed by the test.
struct FleetResult {
    /// The times until all proxies, and half of them, were notified of the change, in ms.
    last: Option<i64>,
    half: Option<i64>,
    notified_in_time: usize,
    polls: usize,
    refused: usize,
    wasted: usize,
    /// The most polls in any one second. Granted watches are not counted.
    peak: usize,
}

/// Returns the answer of the service: the complete list or a change.
fn answer(version: u64, is_complete: bool) -> EndpointList {
    if is_complete {
        full_list(version, &["a"])
    } else {
        change(version, &["a"])
    }
}

fn simulate(proxies: usize, service_time: i64, fault: Fault) -> FleetResult {
    let (busy_until, refused, wasted) = (0, 0, 0);
    let mut service = Service { service_time, queue: VecDeque::new(), busy_until, refused, wasted };
    let changed_at = if fault == Fault::Startup { 0 } else { FAULT_ENDED };
    let mut fleet: Vec<Proxy> = (0..proxies as u64)
        .map(|seed| {
            let shared =
                SharedDiscovery { seed: seed + 1, poll_interval: 10 * SECOND, proxies: proxies as u32 };
            let mut tracker =
                EndpointTracker::new(PollSchedule::new(SECOND).with_shared(shared), &answer(1, true), 0);
            if fault != Fault::Startup {
                tracker.next_poll(0);
                tracker.on_response(MS, answer(1, true));
            }
            // Those that are served continue their watches at different times.
            let at = if fault == Fault::Startup {
                0
            } else {
                10 * SECOND + seed as i64 * 2 * SECOND / proxies as i64
            };
            let poll = tracker.next_poll(at);
            let is_granted = fault != Fault::Startup;
            Proxy {
                tracker,
                poll,
                is_open: false,
                end: 0,
                is_hedged: false,
                is_granted,
                is_silent: false,
                notified_after: None,
                has_failed: false,
            }
        })
        .collect();
    let mut starts = Vec::new();
    let begins_at = if fault == Fault::Startup { 0 } else { 10 * SECOND };
    for now in (begins_at..FAULT_ENDED + 60 * SECOND).step_by(MS as usize) {
        let down = matches!(fault, Fault::RefusingService | Fault::SilentService)
            && (OUTAGE_STARTED..FAULT_ENDED).contains(&now);
        if now == OUTAGE_STARTED && down {
            fleet.iter_mut().for_each(|p| (p.is_granted, p.is_silent) = (false, p.is_open));
            service.queue.clear();
        }
        if now == FAULT_ENDED && fault == Fault::SilentWatches {
            fleet.iter_mut().for_each(|p| (p.is_granted, p.is_silent) = (false, p.is_open));
        }
        if now == FAULT_ENDED && fault == Fault::Reload {
            for p in &mut fleet {
                p.tracker.on_address_changed(now);
                (p.is_granted, p.is_open, p.is_hedged, p.is_silent) = (false, false, false, false);
                p.poll = p.tracker.next_poll(now);
            }
        }
        let answered = if down { None } else { service.tick(now) };
        for (i, p) in fleet.iter_mut().enumerate() {
            let mut ended = None;
            let is_full_list = p.poll.kind == PollKind::FullList;
            if !p.is_open && now >= p.poll.start_at {
                (p.is_open, p.end, p.has_failed) = (true, p.poll.start_at + p.poll.response_timeout, false);
                if !p.is_granted || is_full_list {
                    if now >= changed_at {
                        starts.push(now);
                    }
                    if down {
                        p.has_failed = fault == Fault::RefusingService;
                        p.is_silent = !p.has_failed;
                    } else if !p.is_silent {
                        p.has_failed =
                            !service.enqueue(i, now, is_full_list, p.poll.start_at + p.poll.response_timeout);
                    }
                }
            }
            if !p.is_open {
                continue;
            }
            // The hedged poll.
            if !p.is_hedged
                && !p.has_failed
                && p.poll.hedge.after < p.poll.response_timeout
                && now >= p.poll.start_at + p.poll.hedge.after
            {
                p.is_hedged = true;
                let span = p.poll.hedge.timeout;
                if now >= changed_at {
                    starts.push(now);
                }
                if !down && service.enqueue(i, now, p.poll.hedge.kind == PollKind::FullList, now + span) {
                    p.end = p.end.max(now + span);
                }
            }
            let own_answer = answered.filter(|(proxy, _)| *proxy == i && !p.has_failed);
            if let Some((_, is_full_list)) = own_answer {
                p.is_granted |= !is_full_list;
                ended = Some(true);
            } else if p.is_granted
                && !p.is_silent
                && now >= changed_at
                && p.notified_after.is_none()
                && fault != Fault::Startup
                && !is_full_list
            {
                // A granted watch is notified at once.
                ended = Some(true);
            } else if p.has_failed {
                ended = Some(false);
            } else if !is_full_list
                && !p.is_hedged
                && !p.is_silent
                && !down
                && now >= p.poll.start_at + p.poll.wait
            {
                // The wait is over: a granted watch ends without changes, and a poll still queued is refused.
                ended = Some(p.is_granted);
            } else if now >= p.end {
                ended = Some(p.is_granted && !p.is_silent);
            }
            match ended {
                Some(true) => {
                    if now >= changed_at && p.notified_after.is_none() {
                        p.notified_after = Some(now - changed_at);
                    }
                    p.tracker.on_response(now, answer(1 + u64::from(now >= changed_at), is_full_list));
                }
                Some(false) => p.tracker.on_failure(now),
                None => continue,
            }
            p.poll = p.tracker.next_poll(now);
            (p.is_open, p.is_hedged, p.is_silent) = (false, false, false);
        }
        if fleet.iter().all(|p| p.notified_after.is_some()) && now >= changed_at {
            break;
        }
    }
    let mut notified: Vec<i64> = fleet.iter().filter_map(|p| p.notified_after).collect();
    notified.sort_unstable();
    let polls_within_second = |at: &i64| starts.iter().filter(|s| (*at..*at + SECOND).contains(*s)).count();
    FleetResult {
        last: notified.get(proxies - 1).map(|at| at / MS),
        half: notified.get((proxies - 1) / 2).map(|at| at / MS),
        notified_in_time: notified.iter().filter(|at| **at <= 7 * SECOND).count(),
        polls: starts.len(),
        refused: service.refused,
        wasted: service.wasted,
        peak: starts.iter().map(polls_within_second).max().unwrap_or(0),
    }
}

/// Guards against polls that overload a shared service until it answers none. After each fault all proxies
/// are notified within the time that the service needs to answer them one by one, or 6 s plus the drain grace
/// of 1 s if that is longer. If answering them takes more than 5 s, half as much time again is allowed.
#[test]
fn all_proxies_are_notified_by_a_shared_service() {
    use Fault::*;
    let mut too_slow = Vec::new();
    for (proxies, service_time) in [(3, 50), (12, 50), (30, 50), (300, 15), (300, 50)] {
        for fault in [Startup, RefusingService, SilentService, SilentWatches, Reload] {
            let result = simulate(proxies, service_time * MS, fault);
            println!("{proxies:4} {service_time:3} ms {fault:?}: {result:?}");
            let min_time = (proxies as i64 * service_time).max(7_000);
            let fits_in_time = proxies as i64 * service_time <= 5_000;
            let max_time = if fits_in_time { min_time } else { min_time + min_time / 2 };
            if result.last.is_none_or(|last| last > max_time) {
                too_slow.push((proxies, service_time, fault, max_time, result));
            }
        }
    }
    assert!(too_slow.is_empty(), "{too_slow:#?}");
}
