//! Model check of the leases of one allocator, over every order of messages and time, with lost, delayed
//! and duplicated messages, and restarts. Three proxies run the real allocator and lease table. One
//! allocator is enough because allocators do not depend on each other.

use stateright::{Checker, Model, Property};
use wharfplank_budget::{
    BudgetAmount, LeaseAllocator, LeaseGrant, LeaseRequest, LeaseTable, LeaseTerms, Micros,
};

const PROXIES: usize = 3;
const LIMIT: u64 = 2;
const TICK: Micros = 1_000_000;
const BUDGET: u32 = 1;

fn terms() -> LeaseTerms {
    LeaseTerms { duration: 2 * TICK, max_drift_ppm: 0, request_interval: TICK, release_grace: 0 }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    Request { proxy: usize, request: LeaseRequest },
    Grant { proxy: usize, grant: LeaseGrant },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    allocator: LeaseAllocator,
    tables: Vec<LeaseTable>,
    now: Micros,
    ticks: u32,
    requests: u32,
    faults: u32,
    restarts: u32,
    in_flight: Vec<Message>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Request(usize),
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    RestartAllocator,
    RestartProxy(usize),
}

struct LeaseModel {
    ticks: u32,
    requests: u32,
    faults: u32,
    restarts: u32,
}

impl State {
    fn deliver(&mut self, message: &Message) {
        match message {
            Message::Request { proxy, request } => {
                let grant = self.allocator.on_request(self.now, request);
                self.in_flight.extend(grant.map(|grant| Message::Grant { proxy: *proxy, grant }));
            }
            Message::Grant { proxy, grant } => {
                self.tables[*proxy].on_grant(self.now, 0, grant);
            }
        }
    }

    fn quotas(&self) -> u64 {
        self.tables.iter().map(|table| table.quota(self.now, BUDGET)).sum()
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let allocator = LeaseAllocator::new(terms(), [(BUDGET, LIMIT)].into(), 0);
        let now = allocator.opens_at();
        let tables = (0..PROXIES as u64).map(|proxy| LeaseTable::new(proxy + 1, terms(), 1)).collect();
        vec![State {
            allocator,
            tables,
            now,
            ticks: 0,
            requests: 0,
            faults: 0,
            restarts: 0,
            in_flight: Vec::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.ticks < self.ticks {
            actions.push(Action::Tick);
        }
        if state.requests < self.requests && state.in_flight.len() < 2 {
            actions.extend((0..PROXIES).map(Action::Request));
        }
        actions.extend((0..state.in_flight.len()).map(Action::Deliver));
        if state.faults < self.faults {
            actions.extend((0..state.in_flight.len()).flat_map(|n| [Action::Lose(n), Action::Duplicate(n)]));
        }
        if state.restarts < self.restarts {
            actions.push(Action::RestartAllocator);
            actions.extend((0..PROXIES).map(Action::RestartProxy));
        }
    }

    fn next_state(&self, last: &State, act: Action) -> Option<State> {
        let mut state = last.clone();
        match act {
            Action::Tick => {
                state.ticks += 1;
                state.now += TICK;
            }
            Action::Request(proxy) => {
                state.requests += 1;
                let demand = vec![BudgetAmount::new(BUDGET, LIMIT)];
                let request = state.tables[proxy].request(state.now, 0, demand, vec![])?;
                state.in_flight.push(Message::Request { proxy, request });
            }
            Action::Deliver(n) => {
                let message = state.in_flight.remove(n);
                state.deliver(&message);
            }
            Action::Lose(n) => {
                state.faults += 1;
                state.in_flight.remove(n);
            }
            Action::Duplicate(n) => {
                state.faults += 1;
                let message = state.in_flight[n].clone();
                state.deliver(&message);
            }
            Action::RestartAllocator => {
                state.restarts += 1;
                state.allocator = LeaseAllocator::new(terms(), [(BUDGET, LIMIT)].into(), state.now);
            }
            Action::RestartProxy(proxy) => {
                state.restarts += 1;
                let holder = (proxy + 1 + PROXIES * state.restarts as usize) as u64;
                state.tables[proxy] = LeaseTable::new(holder, terms(), 1);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut all = vec![Property::always("quotas in force never exceed the limit", |_, s: &State| {
            s.quotas() <= LIMIT
        })];
        if self.requests >= 4 {
            all.push(Property::sometimes("two proxies share the limit", |_, s: &State| {
                s.tables.iter().filter(|table| table.quota(s.now, BUDGET) == 1).count() == 2
            }));
        }
        if self.restarts > 0 {
            all.push(Property::sometimes(
                "an allocator that restarted grants leases again",
                |_, s: &State| {
                    s.restarts > 0
                        && s.allocator.opens_at() > terms().startup_delay()
                        && s.allocator.outstanding(s.now, BUDGET) > 0
                },
            ));
        }
        all
    }
}

fn check_all_states(model: LeaseModel) -> usize {
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} states, {} of them distinct", checker.state_count(), checker.unique_state_count());
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn every_message_order_keeps_the_limit() {
    assert!(check_all_states(LeaseModel { ticks: 2, requests: 4, faults: 0, restarts: 0 }) > 10_000);
    assert!(check_all_states(LeaseModel { ticks: 2, requests: 3, faults: 0, restarts: 1 }) > 10_000);
}

/// The same check with a lost, delayed or duplicated message, and over more time with a restart: millions
/// of states. Run by `make model`.
#[test]
#[ignore = "takes minutes"]
fn every_message_order_with_faults_keeps_the_limit() {
    assert!(check_all_states(LeaseModel { ticks: 2, requests: 4, faults: 1, restarts: 0 }) > 1_000_000);
    assert!(check_all_states(LeaseModel { ticks: 3, requests: 3, faults: 0, restarts: 1 }) > 1_000_000);
}
