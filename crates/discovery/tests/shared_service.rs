//! Many proxies and one discovery of fixed capacity in virtual time: what each calls adds up. Events are counted.

use std::collections::VecDeque;
use wharfplank_discovery::{EndpointTracker, PollKind, PollRequest, PollSchedule, SharedDiscovery};
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};

#[path = "shared_service/service.rs"]
mod service;

use service::{Service, MS, SECOND};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// All start together.
    Start,
    /// All are served, the service is gone for 5 s and turns calls away, then has news.
    Refuses,
    /// The same, but silent.
    Silent,
    /// All open watches fall silent while the service is well.
    Watches,
    /// All get a new configuration at once.
    Reload,
}

/// When the trouble ends and the news counts.
const BACK: i64 = 20 * SECOND;
const DOWN: i64 = 15 * SECOND;

struct Proxy {
    tracker: EndpointTracker,
    poll: PollRequest,
    /// When the call was made, if it was.
    open: bool,
    end: i64,
    second: bool,
    /// Its watch stands on the service's list.
    granted: bool,
    /// Its watch has fallen silent.
    broken: bool,
    notified_after: Option<i64>,
    failed: bool,
}

#[derive(Debug)]
#[allow(dead_code)] // For who reads what the test prints.
struct Course {
    /// After the news could be had, in ms: the last proxy that heard, and half of them.
    last: Option<i64>,
    half: Option<i64>,
    heard_in_time: usize,
    polls: usize,
    refused: usize,
    wasted: usize,
    /// The most calls in any second. A watch that stands on the service's list costs nothing.
    peak: usize,
}

fn catalog(seq: u64, whole: bool) -> EndpointList {
    let dial = Some("127.0.0.1:1".parse().unwrap());
    let (name, site) = ("a".to_string(), String::new());
    let host = EndpointRecord {
        name,
        address: dial,
        zone: site,
        group: 0,
        health: EndpointHealth::Active,
        started_at_ms: 0,
        primary: false,
    };
    EndpointList { version: seq, complete: whole, endpoints: vec![host] }
}

fn play(proxies: usize, turn: i64, trouble: Trouble) -> Course {
    let (busy_until, refused, wasted) = (0, 0, 0);
    let mut service = Service { turn, line: VecDeque::new(), busy_until, refused, wasted };
    let from = if trouble == Trouble::Start { 0 } else { BACK };
    let mut fleet: Vec<Proxy> = (0..proxies as u64)
        .map(|seed| {
            let shared =
                SharedDiscovery { seed: seed + 1, poll_interval: 10 * SECOND, proxies: proxies as u32 };
            let mut tracker =
                EndpointTracker::new(PollSchedule::new(SECOND).with_shared(shared), &catalog(1, true), 0);
            if trouble != Trouble::Start {
                tracker.next_poll(0);
                tracker.on_response(MS, catalog(1, true));
            }
            // Those that are served watch on, each from a moment of its own.
            let at = if trouble == Trouble::Start {
                0
            } else {
                10 * SECOND + seed as i64 * 2 * SECOND / proxies as i64
            };
            let poll = tracker.next_poll(at);
            let granted = trouble != Trouble::Start;
            Proxy {
                tracker,
                poll,
                open: false,
                end: 0,
                second: false,
                granted,
                broken: false,
                notified_after: None,
                failed: false,
            }
        })
        .collect();
    let mut starts = Vec::new();
    let begin = if trouble == Trouble::Start { 0 } else { 10 * SECOND };
    for now in (begin..BACK + 60 * SECOND).step_by(MS as usize) {
        let down = matches!(trouble, Trouble::Refuses | Trouble::Silent) && (DOWN..BACK).contains(&now);
        if now == DOWN && down {
            fleet.iter_mut().for_each(|p| (p.granted, p.broken) = (false, p.open));
            service.line.clear();
        }
        if now == BACK && trouble == Trouble::Watches {
            fleet.iter_mut().for_each(|p| (p.granted, p.broken) = (false, p.open));
        }
        if now == BACK && trouble == Trouble::Reload {
            for p in &mut fleet {
                p.tracker.on_address_changed(now);
                (p.granted, p.open, p.second, p.broken) = (false, false, false, false);
                p.poll = p.tracker.next_poll(now);
            }
        }
        let answered = if down { None } else { service.tick(now) };
        for (i, p) in fleet.iter_mut().enumerate() {
            let mut ended = None;
            let whole = p.poll.kind == PollKind::FullList;
            if !p.open && now >= p.poll.start_at {
                (p.open, p.end, p.failed) = (true, p.poll.start_at + p.poll.response_timeout, false);
                if !p.granted || whole {
                    if now >= from {
                        starts.push(now);
                    }
                    if down {
                        p.failed = trouble == Trouble::Refuses;
                        p.broken = !p.failed;
                    } else if !p.broken {
                        p.failed = !service.ask(i, now, whole, p.poll.start_at + p.poll.response_timeout);
                    }
                }
            }
            if !p.open {
                continue;
            }
            // The call beside it.
            if !p.second
                && !p.failed
                && p.poll.hedge.after < p.poll.response_timeout
                && now >= p.poll.start_at + p.poll.hedge.after
            {
                p.second = true;
                let span = p.poll.hedge.timeout;
                if now >= from {
                    starts.push(now);
                }
                if !down && service.ask(i, now, p.poll.hedge.kind == PollKind::FullList, now + span) {
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
                && trouble != Trouble::Start
                && !whole
            {
                // A watch that stands is told at once.
                ended = Some(true);
            } else if p.failed {
                ended = Some(false);
            } else if !whole && !p.second && !p.broken && !down && now >= p.poll.start_at + p.poll.wait {
                // Its wait is over: nothing new, or it still stands in the line and is turned away.
                ended = Some(p.granted);
            } else if now >= p.end {
                ended = Some(p.granted && !p.broken);
            }
            match ended {
                Some(true) => {
                    if now >= from && p.notified_after.is_none() {
                        p.notified_after = Some(now - from);
                    }
                    p.tracker.on_response(now, catalog(1 + u64::from(now >= from), whole));
                }
                Some(false) => p.tracker.on_failure(now),
                None => continue,
            }
            p.poll = p.tracker.next_poll(now);
            (p.open, p.second, p.broken) = (false, false, false);
        }
        if fleet.iter().all(|p| p.notified_after.is_some()) && now >= from {
            break;
        }
    }
    let mut heard: Vec<i64> = fleet.iter().filter_map(|p| p.notified_after).collect();
    heard.sort_unstable();
    let second = |at: &i64| starts.iter().filter(|s| (*at..*at + SECOND).contains(*s)).count();
    Course {
        last: heard.get(proxies - 1).map(|at| at / MS),
        half: heard.get((proxies - 1) / 2).map(|at| at / MS),
        heard_in_time: heard.iter().filter(|at| **at <= 7 * SECOND).count(),
        polls: starts.len(),
        refused: service.refused,
        wasted: service.wasted,
        peak: starts.iter().map(second).max().unwrap_or(0),
    }
}

/// Guards against calls that keep a shared discovery from answering any: in each trouble all proxies hear, in the time
/// that their answers take one after the other, or within the 6 s and the rule's second if that is longer, and half as
/// much again.
#[test]
fn all_proxies_hear_of_a_discovery_that_they_share() {
    use Trouble::*;
    let mut slow = Vec::new();
    for (proxies, turn) in [(3, 50), (12, 50), (30, 50), (300, 15), (300, 50)] {
        for trouble in [Start, Refuses, Silent, Watches, Reload] {
            let course = play(proxies, turn * MS, trouble);
            println!("{proxies:4} {turn:3} ms {trouble:?}: {course:?}");
            let least = (proxies as i64 * turn).max(7_000);
            let alone = proxies as i64 * turn <= 5_000;
            let most = if alone { least } else { least + least / 2 };
            if course.last.is_none_or(|last| last > most) {
                slow.push((proxies, turn, trouble, most, course));
            }
        }
    }
    assert!(slow.is_empty(), "{slow:#?}");
}
