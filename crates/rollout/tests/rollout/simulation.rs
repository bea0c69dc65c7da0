//! A simulation in virtual time of members and proxies, some of which are permit servers. Each proxy has
//! its own clock, and the network loses, duplicates, delays and partitions messages.

use crate::fleet::{Fleet, MS, SECOND};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use wharfplank_rollout::{
    ControllerAction, Destination, DisruptionBudget, Effect, Incarnation, Inventory, Micros, Node, NodeId,
    NodeKind, NodeObservation, PeerIdentity, PermitLedger, RestartOrder, RolloutConfig, RolloutPeer,
};

pub const STEP: Micros = 50 * MS;
const POLL_INTERVAL: Micros = 500 * MS;

#[derive(Clone)]
pub enum Message {
    /// A poll of a member, with the time on the proxy's clock.
    Poll(Micros),
    Observation(NodeId, NodeObservation),
    /// A message from one proxy to another.
    Peer(Vec<u8>),
    Order(RestartOrder),
    HandOver(NodeId, Incarnation),
    /// The members that service discovery is draining, with a number that increases.
    Drains(u64, Vec<NodeId>),
}

/// The recipient of a message.
#[derive(Clone, Copy, PartialEq)]
pub enum Recipient {
    Proxy(usize),
    Member(NodeId),
}

/// A message in flight between a proxy and another proxy or a member.
pub struct InFlight {
    pub proxy: usize,
    pub to: Recipient,
    pub message: Message,
}

/// An action of a proxy in a rollout.
pub struct LogEntry {
    pub at: Micros,
    pub proxy: usize,
    pub action: ControllerAction,
}

pub struct Proxy {
    pub peer: RolloutPeer,
    /// The permit server's ledger as last stored.
    pub disk: Option<PermitLedger>,
    pub clock_offset: Micros,
    pub alive: bool,
    pub paused_until: Micros,
    /// The side of a network partition that it is on.
    pub side: bool,
    /// The number of the newest [`Message::Drains`] that was delivered.
    pub last_drains: u64,
    generation: u64,
}

/// The parameters of a simulation.
#[derive(Clone, Copy)]
pub struct Setup {
    pub groups: u32,
    pub members_per_group: u32,
    pub budget: DisruptionBudget,
    /// The shortest and the longest time of a restart.
    pub restart_time: (Micros, Micros),
    pub proxies: usize,
    pub seed: u64,
}

pub struct Simulation {
    pub now: Micros,
    pub rng: SmallRng,
    pub fleet: Fleet,
    pub proxies: Vec<Proxy>,
    pub inventory: Inventory,
    pub config: RolloutConfig,
    /// The probability that a message is lost, and also that it is duplicated.
    pub loss: f64,
    /// The probability that a copy of a message arrives an hour late.
    pub hour_delay_probability: f64,
    pub log: Vec<LogEntry>,
    pub in_flight: BTreeMap<(Micros, u64), InFlight>,
    pub sent: u64,
}

fn nodes(setup: &Setup) -> Vec<Node> {
    let group_size = setup.members_per_group;
    let node = |id: u32| {
        let group = id / group_size;
        Node { id: id.into(), group, zone: (id % group_size + group / 3) % 3, kind: NodeKind::Member }
    };
    (0..setup.groups * group_size).map(node).collect()
}

impl Simulation {
    pub fn new(setup: Setup) -> Simulation {
        let nodes = nodes(&setup);
        let fleet = Fleet::new(&nodes, setup.budget, setup.restart_time);
        let inventory = Inventory::new(nodes, setup.budget);
        let config =
            RolloutConfig { soak_time: 2 * SECOND, ready_timeout: 40 * SECOND, ..RolloutConfig::default() };
        let mut rng = SmallRng::seed_from_u64(setup.seed);
        let unstarted = PeerIdentity { rank: 1, process: 0, permit_server: None };
        let proxies = (0..setup.proxies)
            .map(|index| Proxy {
                peer: RolloutPeer::new(unstarted, inventory.clone(), config.clone(), None, 0),
                disk: ((index as u32) < inventory.permit_servers()).then(PermitLedger::default),
                clock_offset: rng.random_range(0..500 * MS),
                alive: false,
                paused_until: 0,
                side: false,
                last_drains: 0,
                generation: 0,
            })
            .collect();
        let mut simulation = Simulation {
            now: 0,
            rng,
            fleet,
            proxies,
            inventory,
            config,
            loss: 0.0,
            hour_delay_probability: 0.0,
            log: vec![],
            in_flight: BTreeMap::new(),
            sent: 0,
        };
        simulation.start_all();
        simulation
    }

    /// Changes the configuration before the first step.
    pub fn set_config(&mut self, config: RolloutConfig) {
        self.config = config;
        self.start_all();
    }

    fn start_all(&mut self) {
        (0..self.proxies.len()).for_each(|index| self.start_proxy(index));
    }

    pub fn clock(&self, proxy: usize) -> Micros {
        self.now + self.proxies[proxy].clock_offset
    }

    /// Starts a proxy's process. It keeps its disk, and gets the rollouts from the other proxies.
    pub fn start_proxy(&mut self, index: usize) {
        let now = self.clock(index);
        let rank = index as u64 + 1;
        let inventory = self.inventory.clone();
        let permit_server = ((index as u32) < inventory.permit_servers()).then_some(index as u32);
        let proxy = &mut self.proxies[index];
        proxy.generation += 1;
        let process = (proxy.generation << 16) + index as u64;
        let identity = PeerIdentity { rank, process, permit_server };
        proxy.peer = RolloutPeer::new(identity, inventory, self.config.clone(), proxy.disk.clone(), now);
        proxy.alive = true;
        proxy.last_drains = 0;
        // The membership contains all proxies, including dead ones.
        let others = (1..=self.proxies.len() as u64).filter(|other| *other != rank).collect();
        self.proxies[index].peer.set_peers(others);
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver_due();
        for index in 0..self.proxies.len() {
            if self.proxies[index].alive && self.proxies[index].paused_until <= self.now {
                self.tick(index);
            }
        }
        let out = self.fleet.out_by_order(self.now);
        if out > self.fleet.budget.fleet {
            self.fleet.violations.push(format!("{out} members out of service by orders"));
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let InFlight { proxy, to, message } = entry.remove();
            self.deliver(proxy, to, message);
        }
    }

    fn tick(&mut self, index: usize) {
        let clock = self.clock(index);
        if (self.now / STEP + index as Micros * 3) % (POLL_INTERVAL / STEP) == 0 {
            self.poll(index, clock);
        }
        let peer = &mut self.proxies[index].peer;
        peer.on_tick(clock);
        let outbox = peer.take_outbox();
        let effects = peer.take_effects();
        for (to, bytes) in outbox {
            let to = match to {
                Destination::PermitServer(server) => server as usize,
                Destination::Proxy(rank) => rank as usize - 1,
            };
            self.send(index, Recipient::Proxy(to), Message::Peer(bytes));
        }
        for effect in effects {
            self.perform(index, effect);
        }
        self.store_ledger(index);
    }

    fn poll(&mut self, proxy: usize, clock: Micros) {
        for id in 0..self.fleet.members.len() as NodeId {
            self.send(proxy, Recipient::Member(id), Message::Poll(clock));
        }
        let is_drained = |member: &&crate::fleet::Member| member.drained_at.is_some();
        let drained = self.fleet.members.iter().filter(is_drained).map(|member| member.node.id).collect();
        self.send(proxy, Recipient::Proxy(proxy), Message::Drains(self.now as u64, drained));
    }

    fn perform(&mut self, proxy: usize, effect: Effect) {
        match effect {
            Effect::Restart(order) => self.send(proxy, Recipient::Member(order.id), Message::Order(order)),
            Effect::HandOver(id, incarnation) => {
                self.send(proxy, Recipient::Member(id), Message::HandOver(id, incarnation));
            }
            Effect::Log(_, action) => self.log.push(LogEntry { at: self.now, proxy, action }),
        }
    }

    /// Stores the ledger if it has changed. The disk is one step behind, so a process that is killed
    /// leaves the state that was written before.
    fn store_ledger(&mut self, index: usize) {
        let proxy = &mut self.proxies[index];
        let Some(ledger) = proxy.peer.ledger_to_store().cloned() else { return };
        proxy.peer.on_ledger_stored(ledger.revision);
        for permit in ledger.permits() {
            self.fleet.granted_at.entry((permit.id, permit.incarnation)).or_insert(self.now);
        }
        proxy.disk = Some(ledger);
    }
}
