//! A fleet simulated in virtual time: many routers, two groups of members with cores and queues, and members
//! that have just started. The simulation counts events only and reads no system clock.

mod overload;
mod scenario;

pub use overload::Span;
pub use scenario::{Scenario, OVERLOAD_MULTIPLE};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use wharfplank_routing::{
    Action, AttemptNo, AttemptOutcome, AttemptResult, Class, ClassId, Consistency, Endpoint, EndpointStatus,
    Event, GroupId, HostId, Idempotency, Micros, Request, RequestId, Role, Router, Settings, StaleReadPolicy,
};

pub const SECOND: Micros = 1_000_000;
/// The times of the cold members' start and of the end of the simulation.
pub const MEMBERS_JOIN_AT: Micros = 8 * SECOND;
const RUN_ENDS_AT: Micros = 26 * SECOND;
const CORES: usize = 4;
/// The capacity of a member's queue, in addition to the requests being served.
const QUEUE_CAPACITY: usize = 60;
/// The factor by which a member whose latency does not show its load is faster than a warm one.
const FAST_FACTOR: f64 = 8.0;
/// The time from when the hung members stop answering to the cold members' start.
const HANG_LEAD_TIME: Micros = 2 * SECOND;
/// The network round-trip time.
const ROUND_TRIP: Micros = 2_000;

fn endpoint(host: u32, group: u64, primary: bool, started_at: Option<Micros>) -> Endpoint {
    let (host, group) = (HostId(host), GroupId(group));
    Endpoint { host, group, status: EndpointStatus::Up, primary, started_at, local: true, zone: 0 }
}

struct Member {
    primary: bool,
    started_at: Option<Micros>,
    /// The times at which each core becomes free, and at which each accepted request finishes.
    cores: [Micros; CORES],
    ends: Vec<Micros>,
}

/// The result of an attempt, delivered when it ends.
struct Answer {
    id: RequestId,
    attempt: AttemptNo,
    host: HostId,
    sent: Micros,
    outcome: AttemptOutcome,
}

enum Pending {
    Request(u64, ClassId, u64),
    Answer(Answer),
    Timer,
    EndpointsChange(usize),
}

/// The result of a simulation.
pub struct Outcomes {
    /// The sends to cold members: the member, the time since the cold members' start, and the work in
    /// requests of mean work.
    pub sends: Vec<(u32, Micros, f64)>,
    /// The number of requests to group 1 since the cold members' start, and of those that were served.
    pub requested: f64,
    pub served: f64,
}

fn id_of(n: u64) -> RequestId {
    let mut id = [b'.'; 36];
    id[..16].copy_from_slice(format!("{n:016x}").as_bytes());
    RequestId(id)
}

/// Returns the time, router and class of all arrivals for a group, which are a Poisson process over all
/// routers.
fn arrivals(scenario: &Scenario, rng: &mut SmallRng, group: u64) -> Vec<(Micros, usize, ClassId)> {
    let weights: Vec<f64> =
        (0..scenario.routers).map(|_| scenario.traffic_skew.powf(rng.random::<f64>())).collect();
    let total: f64 = weights.iter().sum();
    let size = if group == 1 { 3.0 } else { f64::from(scenario.others) };
    let load = if group == 1 { scenario.load } else { scenario.other_load };
    let rate = load * size * scenario.requests_per_second();
    let (mut at, mut all) = (0.0, Vec::new());
    while at < RUN_ENDS_AT as f64 {
        let since = at as Micros - MEMBERS_JOIN_AT - scenario.burst.1;
        let now = if group == 1 && (0..4 * SECOND).contains(&since) { rate * scenario.burst.0 } else { rate };
        at += -(1.0 - rng.random::<f64>()).ln() / now * 1e6;
        let (mut x, mut router) = (rng.random::<f64>() * total, 0);
        while router + 1 < scenario.routers && x > weights[router] {
            x -= weights[router];
            router += 1;
        }
        let (mut x, mut class) = (rng.random::<f64>(), 0);
        while class < 2 && x > scenario.class_mix[class].0 {
            x -= scenario.class_mix[class].0;
            class += 1;
        }
        if class == 0 && scenario.needs_primary && group == 1 && at as Micros >= MEMBERS_JOIN_AT {
            class = 3;
        }
        all.push((at as Micros, router, ClassId(class)));
    }
    all
}

/// Simulates a scenario.
pub fn simulate(scenario: &Scenario) -> Outcomes {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut members: BTreeMap<u32, Member> = BTreeMap::new();
    let mut lists = [Vec::new(), Vec::new(), Vec::new()];
    let mut add = |host: u32, group: u64, primary: bool, started_at: Option<Micros>| {
        lists[usize::from(started_at.is_some())].push(endpoint(host, group, primary, started_at));
        members.insert(host, Member { primary, started_at, cores: [0; CORES], ends: Vec::new() });
    };
    scenario.warm.iter().enumerate().for_each(|(i, h)| add(*h, 1, i == 0, None));
    let needs_new_primary = scenario.warm.first().is_none_or(|h| scenario.leaving.contains(h));
    scenario
        .cold
        .iter()
        .enumerate()
        .for_each(|(i, h)| add(*h, 1, i == 0 && needs_new_primary, Some(MEMBERS_JOIN_AT)));
    (90..90 + scenario.others).filter(|_| scenario.has_second_group).for_each(|h| add(h, 2, h == 90, None));
    for host in &scenario.leaving {
        let status = EndpointStatus::Draining;
        lists[2].push(Endpoint { status, ..endpoint(*host, 1, false, None) });
    }
    let mut routers: Vec<Router> = (0..scenario.routers).map(|r| Router::new(scenario.settings(r))).collect();
    let mut due: BinaryHeap<Reverse<(Micros, u64, usize)>> = BinaryHeap::new();
    let mut items: Vec<Pending> = Vec::new();
    let push =
        |due: &mut BinaryHeap<_>, items: &mut Vec<Pending>, at: Micros, router: usize, item: Pending| {
            items.push(item);
            due.push(Reverse((at, items.len() as u64 - 1, router)));
        };
    let mut actions = Vec::new();
    for (number, router) in routers.iter_mut().enumerate() {
        router.handle(0, Event::EndpointList(lists[0].clone()), &mut actions);
        actions.clear();
        let (delay, spread) = scenario.notice;
        let at = MEMBERS_JOIN_AT + delay + rng.random_range(0..spread);
        push(&mut due, &mut items, at, number, Pending::EndpointsChange(1));
        push(&mut due, &mut items, at + scenario.leave_delay, number, Pending::EndpointsChange(2));
    }
    let mut classes = HashMap::new();
    let mut number = 0;
    for group in 1..=1 + u64::from(scenario.has_second_group) {
        for (at, router, class) in arrivals(scenario, &mut rng, group) {
            number += 1;
            classes.insert(id_of(number), (class, group == 1 && at >= MEMBERS_JOIN_AT));
            push(&mut due, &mut items, at, router, Pending::Request(number, class, group));
        }
    }
    let counted = classes.values().filter(|(_, counts)| *counts).count() as f64;
    let mut out = Outcomes { sends: Vec::new(), requested: counted, served: 0.0 };
    let mut attempts: HashMap<RequestId, u32> = HashMap::new();
    let mut in_flight_at: HashMap<(RequestId, AttemptNo), HostId> = HashMap::new();
    while let Some(Reverse((now, index, router))) = due.pop() {
        let event = match std::mem::replace(&mut items[index as usize], Pending::Timer) {
            Pending::Request(n, class, group) => Event::Request(Request {
                id: id_of(n),
                class,
                group: GroupId(group),
                session: None,
                deadline: now + [SECOND, 2 * SECOND, 15 * SECOND, SECOND][class.0],
                last_write_age: None,
                may_have_run: false,
            }),
            Pending::Answer(Answer { id, attempt, host, sent, outcome }) => {
                if in_flight_at.remove(&(id, attempt)).is_none() {
                    continue;
                }
                let ok = outcome == AttemptOutcome::Ok;
                out.served += f64::from(u8::from(ok && classes[&id].1));
                let role = if members[&host.0].primary { Role::Primary } else { Role::Replica };
                let (latency, position) = (now - sent, Some(now - 5_000));
                let role = Some(role).filter(|_| {
                    !matches!(
                        outcome,
                        AttemptOutcome::Overloaded | AttemptOutcome::Timeout | AttemptOutcome::Cancelled
                    )
                });
                Event::AttemptFinished(AttemptResult {
                    id,
                    attempt,
                    host,
                    outcome,
                    terminal: ok,
                    latency,
                    role,
                    position,
                })
            }
            Pending::Timer => Event::Timer,
            Pending::EndpointsChange(which) => Event::EndpointsChanged(lists[which].clone()),
        };
        routers[router].handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Cancel { id, attempt } => {
                    let Some(&host) = in_flight_at.get(&(id, attempt)) else { continue };
                    let answer = Answer { id, attempt, host, sent: now, outcome: AttemptOutcome::Cancelled };
                    push(&mut due, &mut items, now, router, Pending::Answer(answer));
                }
                Action::Send { id, host, timeout, .. } => {
                    let next = attempts.entry(id).or_insert(0);
                    let attempt = AttemptNo(*next);
                    *next += 1;
                    let class = classes[&id].0;
                    let rejects = scenario.leaving_reject
                        && now >= MEMBERS_JOIN_AT
                        && scenario.leaving.contains(&host.0);
                    let (outcome, at) = if rejects {
                        (AttemptOutcome::Overloaded, now + ROUND_TRIP)
                    } else {
                        serve(scenario, members.get_mut(&host.0).unwrap(), class, now)
                    };
                    if members[&host.0].started_at.is_some_and(|at| now - at < scenario.slow_start_span) {
                        out.sends.push((
                            host.0,
                            now - MEMBERS_JOIN_AT,
                            scenario.class_mix[class.0].1 / scenario.mean_work(),
                        ));
                    }
                    let hangs = scenario.hung.contains(&host.0) && now >= MEMBERS_JOIN_AT - HANG_LEAD_TIME;
                    let (outcome, at) = if hangs || at > now + timeout {
                        (AttemptOutcome::Timeout, now + timeout)
                    } else {
                        (outcome, at)
                    };
                    in_flight_at.insert((id, attempt), host);
                    let answer = Answer { id, attempt, host, sent: now, outcome };
                    push(&mut due, &mut items, at, router, Pending::Answer(answer));
                }
                Action::SetTimer(span) => push(&mut due, &mut items, now + span, router, Pending::Timer),
                _ => {}
            }
        }
    }
    out
}

/// Returns the outcome of an attempt at a member, and when its answer arrives.
fn serve(scenario: &Scenario, m: &mut Member, class: ClassId, now: Micros) -> (AttemptOutcome, Micros) {
    m.ends.retain(|at| *at > now);
    if class.0 == 1 && !m.primary {
        return (AttemptOutcome::Misrouted, now + ROUND_TRIP);
    }
    if m.ends.len() >= CORES + QUEUE_CAPACITY {
        return (AttemptOutcome::Overloaded, now + ROUND_TRIP);
    }
    let speed = match m.started_at {
        Some(_) if scenario.cold_answer_fast => FAST_FACTOR,
        Some(at) => scenario.capacity_fraction(now - at),
        None => 1.0,
    };
    let core = m.cores.iter_mut().min().unwrap();
    *core = (*core).max(now) + (scenario.class_mix[class.0].1 / speed * 1e6) as Micros;
    m.ends.push(*core);
    (AttemptOutcome::Ok, *core + ROUND_TRIP)
}
