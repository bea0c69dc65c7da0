//! Model check of concurrency budgets under the leases of one allocator, over every order of messages and
//! time, with message loss and restarts. The units that all proxies hold open together must never exceed
//! the limit, however quotas move.

use stateright::{Checker, Model, Property};
use wharfplank_budget::{
    BudgetAmount, BudgetId, BudgetKind, ConcurrencyBudget, LeaseAllocator, LeaseGrant, LeaseRequest,
    LeaseTable, LeaseTerms, Micros,
};

const PROXIES: usize = 2;
const LIMIT: u64 = 2;
const TICK: Micros = 1_000_000;

fn terms() -> LeaseTerms {
    LeaseTerms { duration: 2 * TICK, max_drift_ppm: 0, request_interval: TICK, release_grace: TICK }
}

fn budget() -> BudgetId {
    BudgetKind::OpenConnections.budget(1)
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    Request { proxy: usize, request: LeaseRequest },
    Grant { proxy: usize, grant: LeaseGrant },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    leases: LeaseTable,
    connections: ConcurrencyBudget,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    allocator: LeaseAllocator,
    proxies: Vec<Proxy>,
    now: Micros,
    /// The steps taken so far.
    steps: Steps,
    in_flight: Vec<Message>,
}

/// The number of steps of each type, or their bounds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Steps {
    ticks: u32,
    requests: u32,
    acquisitions: u32,
    faults: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Request(usize),
    Deliver(usize),
    Lose(usize),
    Acquire(usize),
    Release(usize),
    RestartAllocator,
    RestartProxy(usize),
}

struct ConcurrencyModel {
    bounds: Steps,
    restarts: bool,
    /// Whether holders omit the units in use from their requests, which disables the rule under test.
    omits_in_use: bool,
}

fn proxy(holder: usize) -> Proxy {
    Proxy { leases: LeaseTable::new(holder as u64, terms(), 1), connections: ConcurrencyBudget::new(0, 1) }
}

impl Proxy {
    fn refresh_quotas(&mut self, now: Micros) {
        self.connections.set_quotas(&self.leases.allocator_quotas(now, budget()));
    }
}

impl State {
    fn in_use(&self) -> u64 {
        self.proxies.iter().map(|proxy| proxy.connections.in_use()).sum()
    }
}

impl Model for ConcurrencyModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let allocator = LeaseAllocator::new(terms(), [(budget(), LIMIT)].into(), 0);
        let now = allocator.opens_at() + terms().allocator_release_grace();
        let proxies = (1..=PROXIES).map(proxy).collect();
        vec![State { allocator, proxies, now, steps: Steps::default(), in_flight: vec![] }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.steps.ticks < self.bounds.ticks {
            actions.push(Action::Tick);
        }
        if state.steps.requests < self.bounds.requests && state.in_flight.len() < 2 {
            actions.extend((0..PROXIES).map(Action::Request));
        }
        actions.extend((0..state.in_flight.len()).map(Action::Deliver));
        if state.steps.acquisitions < self.bounds.acquisitions {
            actions.extend((0..PROXIES).map(Action::Acquire));
        }
        actions
            .extend((0..PROXIES).filter(|p| state.proxies[*p].connections.in_use() > 0).map(Action::Release));
        if state.steps.faults < self.bounds.faults {
            actions.extend((0..state.in_flight.len()).map(Action::Lose));
            if self.restarts {
                actions.push(Action::RestartAllocator);
                actions.extend((0..PROXIES).map(Action::RestartProxy));
            }
        }
    }

    fn next_state(&self, last: &State, act: Action) -> Option<State> {
        let mut state = last.clone();
        let now = state.now;
        match act {
            Action::Tick => {
                state.steps.ticks += 1;
                state.now += TICK;
                // Overdue units are released as time passes.
                for proxy in &mut state.proxies {
                    proxy.refresh_quotas(state.now);
                    let overdue = proxy.connections.overdue(state.now, terms().release_grace);
                    (0..overdue).for_each(|_| proxy.connections.release());
                }
            }
            Action::Request(number) => {
                state.steps.requests += 1;
                let proxy = &mut state.proxies[number];
                proxy.refresh_quotas(now);
                let claim = BudgetAmount::new(budget(), proxy.connections.claim(0));
                let in_use = if self.omits_in_use { vec![] } else { vec![claim] };
                let demand = vec![BudgetAmount::new(budget(), LIMIT)];
                let request = proxy.leases.request(now, 0, demand, in_use)?;
                state.in_flight.push(Message::Request { proxy: number, request });
            }
            Action::Deliver(n) => match state.in_flight.remove(n) {
                Message::Request { proxy, request } => {
                    let grant = state.allocator.on_request(now, &request);
                    state.in_flight.extend(grant.map(|grant| Message::Grant { proxy, grant }));
                }
                Message::Grant { proxy, grant } => {
                    state.proxies[proxy].leases.on_grant(now, 0, &grant);
                    state.proxies[proxy].refresh_quotas(now);
                }
            },
            Action::Lose(n) => {
                state.steps.faults += 1;
                state.in_flight.remove(n);
            }
            Action::Acquire(number) => {
                state.steps.acquisitions += 1;
                state.proxies[number].refresh_quotas(now);
                if !state.proxies[number].connections.try_acquire(now) {
                    return None;
                }
            }
            Action::Release(number) => state.proxies[number].connections.release(),
            Action::RestartAllocator => {
                state.steps.faults += 1;
                state.allocator = LeaseAllocator::new(terms(), [(budget(), LIMIT)].into(), now);
            }
            Action::RestartProxy(number) => {
                state.steps.faults += 1;
                state.proxies[number] = proxy(number + 1 + PROXIES * state.steps.faults as usize);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("units in use never exceed the limit", |_, s: &State| s.in_use() <= LIMIT),
            Property::sometimes("some units are in use above a quota", |_, s: &State| {
                s.proxies.iter().any(|proxy| proxy.connections.over_quota() > 0)
            }),
        ]
    }
}

#[test]
fn units_in_use_never_exceed_the_limit() {
    let bounds = Steps { ticks: 1, requests: 3, acquisitions: 3, faults: 0 };
    let model = ConcurrencyModel { bounds, restarts: false, omits_in_use: false };
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} distinct states", checker.unique_state_count());
    checker.assert_properties();
}

/// The same check with more steps, and with message loss and restarts. Run by `make model`.
#[test]
#[ignore = "takes minutes"]
fn units_in_use_never_exceed_the_limit_with_restarts() {
    let without_faults = Steps { ticks: 2, requests: 4, acquisitions: 3, faults: 0 };
    let with_fault = Steps { ticks: 3, requests: 3, acquisitions: 2, faults: 1 };
    for (bounds, restarts) in [(without_faults, false), (with_fault, true)] {
        let model = ConcurrencyModel { bounds, restarts, omits_in_use: false };
        let checker = model.checker().threads(4).spawn_bfs().join();
        println!("{} distinct states", checker.unique_state_count());
        checker.assert_properties();
    }
}

/// Shows that the check can fail: if holders do not report the units that they still hold open, their quota
/// is leased out twice.
#[test]
fn model_detects_quota_given_up_before_release() {
    let bounds = Steps { ticks: 0, requests: 5, acquisitions: 3, faults: 0 };
    let model = ConcurrencyModel { bounds, restarts: false, omits_in_use: true };
    let checker = model.checker().threads(4).spawn_bfs().join();
    assert!(checker.discovery("units in use never exceed the limit").is_some());
}
