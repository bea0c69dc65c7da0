//! Model check of the takeover of a retired allocator's part by the others, and of its return. Three
//! allocators go through three epochs, each restarted by its operator for each epoch, in every order of
//! restarts, messages and time. The leases in force at all allocators together must never exceed the limit.

use stateright::{Checker, Model, Property};
use wharfplank_budget::{
    BudgetAmount, BudgetId, EpochAnnouncement, LeaseAllocator, LeaseRequest, LeaseTerms, Micros,
    TakeoverGuard,
};

const ALLOCATORS: usize = 3;
const LIMIT: u64 = 6;
const TICK: Micros = 1_000_000;
const BUDGET: BudgetId = 1;
/// The index of the allocator that is retired for one epoch.
const RETIRING: usize = 2;
/// The retired allocators by epoch: the third one is retired in the second epoch and back in the third.
const RETIRED: [[bool; ALLOCATORS]; 3] = [[false; 3], [false, false, true], [false; 3]];

fn terms() -> LeaseTerms {
    LeaseTerms { duration: TICK, max_drift_ppm: 0, request_interval: TICK, release_grace: 0 }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    expires_at: Micros,
    amount: u64,
}

/// A running allocator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    /// The index of its epoch in [`RETIRED`].
    epoch: usize,
    guard: TakeoverGuard,
    allocator: LeaseAllocator,
    /// The granted leases, to holders that demand the whole limit.
    leases: Vec<Lease>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Message {
    from: usize,
    to: usize,
    announcement: EpochAnnouncement,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// `None` for a stopped process.
    processes: Vec<Option<Process>>,
    /// The leases granted by processes that have since stopped.
    leases_of_stopped: Vec<Lease>,
    in_flight: Vec<Message>,
    requests: u64,
    now: Micros,
    ticks: u32,
    announcements: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Lease(usize),
    Stop(usize),
    /// Starts or restarts an allocator in an epoch.
    Start {
        index: usize,
        epoch: usize,
    },
    Announce(usize),
    Deliver(usize),
    Lose(usize),
}

struct TakeoverModel {
    ticks: u32,
    announcements: u32,
    /// Whether an allocator waits for the others of its epoch, which is the rule under test.
    waits: bool,
}

fn start(index: usize, epoch: usize, now: Micros) -> Option<Process> {
    let retired = RETIRED[epoch];
    let allocators = retired.iter().filter(|retired| !**retired).count() as u64;
    let part = if retired[index] { 0 } else { LIMIT / allocators };
    let guard = TakeoverGuard::new(epoch as u64 + 1, index, &retired);
    let allocator = LeaseAllocator::new(terms(), [(BUDGET, part)].into(), now);
    Some(Process { epoch, guard, allocator, leases: vec![] })
}

impl TakeoverModel {
    fn lease(&self, state: &mut State, index: usize) {
        let now = state.now;
        let Some(process) = &mut state.processes[index] else { return };
        let opens_at = if self.waits { process.guard.opens_at(&terms()) } else { Some(0) };
        let Some(opens_at) = opens_at.filter(|opens_at| *opens_at <= now) else { return };
        process.allocator.postpone_opening(opens_at);
        state.requests += 1;
        let request = LeaseRequest {
            holder: state.requests,
            sequence: 1,
            newest_lease: 0,
            demand: vec![BudgetAmount::new(BUDGET, LIMIT)],
            in_use: vec![],
        };
        let grant = process.allocator.on_request(now, &request);
        let amount = grant.map_or(0, |grant| grant.amounts[0].amount);
        if amount > 0 {
            process.leases.push(Lease { expires_at: now + terms().holder_duration(), amount });
        }
    }
}

impl State {
    fn in_force(&self) -> u64 {
        let running = self.processes.iter().flatten().flat_map(|process| &process.leases);
        let leases = running.chain(&self.leases_of_stopped);
        leases.filter(|lease| lease.expires_at > self.now).map(|lease| lease.amount).sum()
    }
}

impl Model for TakeoverModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            processes: (0..ALLOCATORS).map(|index| start(index, 0, -10 * TICK)).collect(),
            leases_of_stopped: vec![],
            in_flight: vec![],
            requests: 0,
            now: 0,
            ticks: 0,
            announcements: 0,
        };
        (0..ALLOCATORS).for_each(|index| self.lease(&mut state, index));
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.ticks < self.ticks {
            actions.push(Action::Tick);
        }
        actions.extend((0..state.in_flight.len()).flat_map(|n| [Action::Deliver(n), Action::Lose(n)]));
        for (index, process) in state.processes.iter().enumerate() {
            match process {
                Some(process) => {
                    if process.allocator.outstanding(state.now, BUDGET) == 0 {
                        actions.push(Action::Lease(index));
                    }
                    if index == RETIRING && process.epoch == 0 {
                        actions.push(Action::Stop(index));
                    }
                    if state.announcements < self.announcements && state.in_flight.len() < 2 {
                        actions.push(Action::Announce(index));
                    }
                    // The operator declares the third allocator retired once it is stopped, and epochs only
                    // increase.
                    let is_stopped = state.processes[RETIRING].is_none();
                    let epochs = (process.epoch + 1..3).filter(|epoch| *epoch == 2 || is_stopped);
                    actions.extend(epochs.map(|epoch| Action::Start { index, epoch }));
                }
                // A stopped allocator only comes back in the third epoch.
                None => actions.push(Action::Start { index, epoch: 2 }),
            }
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => {
                state.ticks += 1;
                state.now += TICK;
                let now = state.now;
                let expire = |leases: &mut Vec<Lease>| leases.retain(|lease| lease.expires_at > now);
                expire(&mut state.leases_of_stopped);
                state.processes.iter_mut().flatten().for_each(|process| expire(&mut process.leases));
            }
            Action::Lease(index) => {
                self.lease(&mut state, index);
                if state.requests == last.requests {
                    return None;
                }
            }
            Action::Stop(index) => {
                let stopped = state.processes[index].take()?;
                state.leases_of_stopped.extend(stopped.leases);
            }
            Action::Start { index, epoch } => {
                let stopped = state.processes[index].take();
                state.leases_of_stopped.extend(stopped.into_iter().flat_map(|stopped| stopped.leases));
                state.processes[index] = start(index, epoch, state.now);
            }
            Action::Announce(from) => {
                state.announcements += 1;
                let announcements = state.processes[from].as_ref()?.guard.announcements();
                let messages = announcements.into_iter();
                let messages = messages.map(|(to, announcement)| Message { from, to, announcement });
                state.in_flight.extend(messages);
            }
            Action::Deliver(n) => {
                let Message { from, to, announcement } = state.in_flight.remove(n);
                let now = state.now;
                let guard = &mut state.processes[to].as_mut()?.guard;
                let acknowledgement = guard.on_announcement(now, from, announcement);
                let message = |announcement| Message { from: to, to: from, announcement };
                state.in_flight.extend(acknowledgement.map(message));
            }
            Action::Lose(n) => {
                state.in_flight.remove(n);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("leases in force never exceed the limit", |_, s: &State| s.in_force() <= LIMIT),
            Property::sometimes("two allocators lease out the retired one's part", |_, s: &State| {
                s.processes[RETIRING].is_none() && s.in_force() == LIMIT
            }),
        ]
    }
}

#[test]
fn taken_over_part_is_never_leased_twice() {
    let model = TakeoverModel { ticks: 1, announcements: 2, waits: true };
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} distinct states", checker.unique_state_count());
    checker.assert_properties();
}

/// The same check over more time. Run by `make model`.
#[test]
#[ignore = "takes minutes"]
fn taken_over_and_returned_part_is_never_leased_twice() {
    let model = TakeoverModel { ticks: 3, announcements: 2, waits: true };
    let checker = model.checker().threads(4).spawn_bfs().join();
    println!("{} distinct states", checker.unique_state_count());
    checker.assert_properties();
}

/// Shows that the check can fail: allocators that do not wait for each other lease out a part twice.
#[test]
fn model_detects_takeover_without_waiting() {
    let model = TakeoverModel { ticks: 1, announcements: 0, waits: false };
    let checker = model.checker().threads(4).spawn_bfs().join();
    assert!(checker.discovery("leases in force never exceed the limit").is_some());
}
