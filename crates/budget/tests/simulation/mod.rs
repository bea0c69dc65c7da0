//! A simulation of proxies, allocators and the network between them, in virtual time.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use wharfplank_budget::{LeaseAllocator, LeaseGrant, LeaseHolder, LeaseRequest, LeaseTerms, Micros};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000 * MS;
pub const STEP: Micros = 20 * MS;
/// The limit, in units per second for each proxy of the fleet: a few tens of requests.
pub const LIMIT_PER_PROXY: u64 = 39;
pub const ALLOCATORS: usize = 3;
pub const LENGTH: Micros = 30 * S;
/// The only budget.
pub const BUDGET: u32 = 1;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Case {
    NoFault,
    Kill70Percent,
    Join,
    Partition,
    ProcessPause,
    ClockSkew,
    DemandShift,
    PacketLoss,
}

pub enum Message {
    Request(LeaseRequest),
    Grant(LeaseGrant),
}

/// A message in flight.
pub struct InFlight {
    pub arrives_at: Micros,
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// A process. Its clock is `clock_offset` ahead and runs at `clock_rate` times the simulation's rate.
pub struct Node {
    pub holder: Option<LeaseHolder>,
    pub allocator: Option<LeaseAllocator>,
    pub clock_offset: Micros,
    pub clock_rate: f64,
    pub paused_until: Micros,
    /// The attempts per second.
    pub demand: f64,
    /// Whether the node is on the smaller side of a network partition.
    pub is_cut_off: bool,
    pub generation: u64,
}

pub struct Simulation {
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub now: Micros,
    pub in_flight: Vec<InFlight>,
    pub rng: SmallRng,
    /// The times at which units were spent within the last second.
    pub recent_spends: VecDeque<Micros>,
    pub spent: u64,
    pub attempted: u64,
    /// The number of steps in which the quotas in force added up to more than the limit, plus those in
    /// which more than the limit was spent within a second.
    pub breaches: u64,
    /// The units that an equal, fixed split would have spent.
    pub spent_by_equal_split: f64,
    pub limit: u64,
}

impl Simulation {
    pub fn new(count: usize, case: Case, seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = (0..count).map(|index| Simulation::node(index, count, case, &mut rng)).collect();
        let mut simulation = Simulation {
            nodes,
            loss: if case == Case::PacketLoss { 0.2 } else { 0.0 },
            now: 0,
            in_flight: Vec::new(),
            rng,
            recent_spends: VecDeque::new(),
            spent: 0,
            attempted: 0,
            breaches: 0,
            spent_by_equal_split: 0.0,
            limit: LIMIT_PER_PROXY * count as u64,
        };
        let first = if case == Case::Join { count / 2 } else { count };
        (0..first).for_each(|index| simulation.start(index));
        simulation
    }

    fn node(index: usize, count: usize, case: Case, rng: &mut SmallRng) -> Node {
        let is_skewed = case == Case::ClockSkew;
        let clock_offset =
            if is_skewed { rng.random_range(-500 * MS..500 * MS) } else { index as Micros * S };
        let clock_rate = if is_skewed { 1.0 + rng.random_range(-0.004..0.004) } else { 1.0 };
        // Traffic is uneven: some proxies receive several times the mean, and together they receive more
        // than the limit.
        let demand = 2.0 * LIMIT_PER_PROXY as f64 * if index.is_multiple_of(5) { 4.0 } else { 0.25 };
        let joins_later = case == Case::Join && index >= count / 2;
        Node {
            holder: None,
            allocator: None,
            clock_offset,
            clock_rate,
            paused_until: 0,
            demand: if joins_later { 0.0 } else { demand },
            is_cut_off: false,
            generation: 0,
        }
    }

    /// Returns the time on a node's clock.
    pub fn clock(&self, index: usize) -> Micros {
        let node = &self.nodes[index];
        node.clock_offset + (self.now as f64 * node.clock_rate) as Micros
    }

    pub fn start(&mut self, index: usize) {
        let now = self.clock(index);
        let limit = self.limit;
        let node = &mut self.nodes[index];
        node.generation += 1;
        let holder = (index as u64) << 16 | node.generation;
        node.holder = Some(LeaseHolder::new(holder, LeaseTerms::default(), ALLOCATORS, vec![BUDGET], now));
        if index < ALLOCATORS {
            let part = [(BUDGET, limit / ALLOCATORS as u64)].into();
            node.allocator = Some(LeaseAllocator::new(LeaseTerms::default(), part, now));
        }
    }

    /// Stops a node's process abruptly.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].holder = None;
        self.nodes[index].allocator = None;
    }

    fn send(&mut self, from: usize, to: usize, message: impl Fn() -> Message) {
        let is_cut = self.nodes[from].is_cut_off != self.nodes[to].is_cut_off;
        if is_cut || self.rng.random::<f64>() < self.loss {
            return;
        }
        let copies = if self.rng.random::<f64>() < self.loss { 2 } else { 1 };
        for _ in 0..copies {
            let longest_delay = if self.loss > 0.0 { 300 * MS } else { 20 * MS };
            let arrives_at = self.now + self.rng.random_range(MS..longest_delay);
            self.in_flight.push(InFlight { arrives_at, from, to, message: message() });
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver_due();
        (0..self.nodes.len()).for_each(|index| self.run_node(index));
        self.count_breaches();
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, later): (Vec<_>, Vec<_>) =
            in_flight.into_iter().partition(|message| message.arrives_at <= now);
        self.in_flight = later;
        for mut message in due {
            let paused_until = self.nodes[message.to].paused_until;
            if paused_until > now {
                message.arrives_at = paused_until;
                self.in_flight.push(message);
                continue;
            }
            self.deliver(message);
        }
    }

    fn deliver(&mut self, InFlight { from, to, message, .. }: InFlight) {
        let clock = self.clock(to);
        match message {
            Message::Request(request) => {
                let allocator = self.nodes[to].allocator.as_mut();
                let grant = allocator.and_then(|allocator| allocator.on_request(clock, &request));
                if let Some(grant) = grant {
                    self.send(to, from, || Message::Grant(grant.clone()));
                }
            }
            Message::Grant(grant) => {
                if let Some(holder) = self.nodes[to].holder.as_mut() {
                    holder.on_grant(clock, from, &grant);
                }
            }
        }
    }

    /// Sends a node's due requests and makes its attempts of one step.
    fn run_node(&mut self, index: usize) {
        let now = self.now;
        let clock = self.clock(index);
        if self.nodes[index].paused_until > now {
            return;
        }
        let Some(holder) = self.nodes[index].holder.as_mut() else { return };
        let requests = holder.due_requests(clock);
        for (allocator, request) in requests {
            self.send(index, allocator, || Message::Request(request.clone()));
        }
        let attempts = self.nodes[index].demand * STEP as f64 / 1e6;
        let attempts = attempts as u64 + u64::from(self.rng.random::<f64>() < attempts.fract());
        for _ in 0..attempts {
            self.attempted += 1;
            let holder = self.nodes[index].holder.as_mut();
            if holder.is_some_and(|holder| holder.try_spend(clock, BUDGET)) {
                self.spent += 1;
                self.recent_spends.push_back(now);
            }
        }
        let equal_share = LIMIT_PER_PROXY as f64;
        self.spent_by_equal_split += equal_share.min(self.nodes[index].demand) * STEP as f64 / 1e6;
    }

    fn count_breaches(&mut self) {
        let now = self.now;
        while self.recent_spends.front().is_some_and(|at| now - at >= S) {
            self.recent_spends.pop_front();
        }
        let quotas: u64 = (0..self.nodes.len()).map(|index| self.quota(index)).sum();
        self.breaches += u64::from(quotas > self.limit);
        self.breaches += u64::from(self.recent_spends.len() as u64 > self.limit);
    }

    /// Returns the quota that a node has by its own clock. A paused process keeps it while its
    /// clock runs on.
    pub fn quota(&self, index: usize) -> u64 {
        let holder = self.nodes[index].holder.as_ref();
        holder.map_or(0, |holder| holder.quota(self.clock(index), BUDGET))
    }

    /// Runs the simulation to its end with the fault of `case`.
    pub fn run_case(&mut self, case: Case) {
        let count = self.nodes.len();
        let fault_at = 10 * S + self.rng.random_range(0..S);
        let mut fault_has_begun = false;
        while self.now < LENGTH {
            self.step();
            if !fault_has_begun && self.now >= fault_at {
                fault_has_begun = true;
                self.begin_fault(case, count);
            }
            if case == Case::Kill70Percent && self.now >= fault_at + S && self.now < fault_at + S + STEP {
                self.restart_killed();
            }
            if case == Case::Partition && self.now >= fault_at + 8 * S {
                self.nodes.iter_mut().for_each(|node| node.is_cut_off = false);
            }
            if case == Case::Join && fault_has_begun && self.now < fault_at + 2 * S {
                self.start_next_joining(fault_at, count);
            }
        }
    }

    fn restart_killed(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].holder.is_none() {
                self.start(index);
            }
        }
    }

    /// Starts the next node of the second half; all of these join within two seconds.
    fn start_next_joining(&mut self, fault_at: Micros, count: usize) {
        let joined = count / 2 + ((self.now - fault_at) * (count as Micros / 2) / (2 * S)) as usize;
        let next = (count / 2..joined.min(count)).find(|index| self.nodes[*index].holder.is_none());
        if let Some(index) = next {
            self.nodes[index].demand = 2.0 * LIMIT_PER_PROXY as f64;
            self.start(index);
        }
    }

    fn begin_fault(&mut self, case: Case, count: usize) {
        match case {
            Case::Kill70Percent => {
                for index in 0..count {
                    if self.rng.random::<f64>() < 0.7 {
                        self.kill(index);
                    }
                }
            }
            Case::Partition => (0..count / 3).for_each(|third| self.nodes[third * 3].is_cut_off = true),
            Case::ProcessPause => {
                let index = self.rng.random_range(0..count);
                self.nodes[index].paused_until = self.now + 8 * S;
            }
            Case::DemandShift => {
                let demands: Vec<f64> = self.nodes.iter().map(|node| node.demand).collect();
                (0..count).for_each(|index| self.nodes[index].demand = demands[(index + 2) % count]);
            }
            Case::NoFault | Case::Join | Case::ClockSkew | Case::PacketLoss => {}
        }
    }
}
