//! A fleet in virtual time: proxies and lease servers that run the real crate, each by its own clock, a primary whose
//! complete history is recorded, replicas that lag, and a network that loses, duplicates and delays. Every answer of
//! "missing" is checked against the history.

// Each test uses a part of it.
#![allow(dead_code)]

pub mod history;
mod run;

use history::{History, Zipf};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_negative_cache::*;

pub const STEP: Micros = 10_000;
pub const SECOND: Micros = 1_000_000;

#[derive(Clone)]
enum Event {
    LeaseRequest(usize, WriteLeaseRequest),
    LeaseGrant(usize, WriteLeaseGrant),
    Sealed(SealedSlot),
    Announced(Announcement),
    ClosedTimestamps(Box<ClosedTimestamps>),
    /// A read reaches a member that lags so much, and its answer comes.
    Read(Lookup, u64, Micros),
    Answer(Lookup, Option<Micros>),
    /// A write reaches the primary, and its answer, if any, comes.
    Write(WriteId, u64, bool),
    Done(WriteId, u64, Micros),
    InDoubt(WriteId),
}

pub struct Proxy {
    off: Micros,
    pub alive: bool,
    pub paused_until: Micros,
    pub cache: NegativeCache,
    writes: PendingWrites,
    leases: WriteLeases,
    /// Look-ups of random keys in each step, as by an attacker.
    pub flood: u32,
}

struct ServerNode {
    off: Micros,
    down_until: Micros,
    server: WriteLeaseServer,
}

/// The load and the faults of a run.
#[derive(Clone)]
pub struct Plan {
    pub config: NegativeCacheConfig,
    pub proxies: usize,
    pub servers: usize,
    /// Whether proxies share what they learn.
    pub shared: bool,
    pub keys: usize,
    /// Reads of missing keys at each proxy, and writes, a second.
    pub reads: f64,
    pub writes: f64,
    pub loss: f64,
    pub duplication: f64,
    pub max_delay: Micros,
    pub max_lag: Micros,
}

impl Default for Plan {
    fn default() -> Plan {
        let config = NegativeCacheConfig {
            max_clock_skew: 20_000,
            max_commit_delay: 3 * SECOND,
            max_frequent_entries: 4_096,
            max_recent_entries: 4_096,
            ..NegativeCacheConfig::default()
        };
        Plan {
            config,
            proxies: 7,
            servers: 3,
            shared: true,
            keys: 300,
            reads: 20.0,
            writes: 1.0,
            loss: 0.0,
            duplication: 0.0,
            max_delay: 20_000,
            max_lag: 400_000,
        }
    }
}

/// The results of a run.
#[derive(Default, Debug, Clone)]
pub struct Tally {
    pub wrong: Vec<String>,
    pub reads: u64,
    pub repeats: u64,
    pub repeats_members_asked: u64,
    pub members_asked: u64,
    pub answered: u64,
    /// Answers of "missing" from an entry that had advanced past what any member reported.
    pub advanced: u64,
    pub writes: u64,
    pub no_lease: u64,
    pub flooded: u64,
}

pub struct Simulation {
    pub now: Micros,
    pub plan: Plan,
    pub rng: SmallRng,
    hasher: KeyHasher,
    zipf: Zipf,
    pub history: History,
    servers: Vec<ServerNode>,
    pub proxies: Vec<Proxy>,
    /// Proxies that reach nothing but members.
    pub partitioned: BTreeSet<usize>,
    /// Proxies and servers that do not reach each other.
    pub unreachable: BTreeSet<(usize, usize)>,
    events: BTreeMap<(Micros, u64), (usize, Event)>,
    number: u64,
    seen: BTreeSet<u64>,
    commits: Vec<(u64, Micros)>,
    pub tally: Tally,
}

impl Simulation {
    pub fn new(plan: Plan, seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (now, half) = (1_000 * SECOND, plan.config.max_clock_skew / 2);
        let history = History::new(rng.random_range(-half..=half));
        let server = |id: usize, rng: &mut SmallRng| {
            let off = rng.random_range(-half..=half);
            ServerNode {
                off,
                down_until: 0,
                server: WriteLeaseServer::new(id as u32, plan.config.clone(), now + off),
            }
        };
        let servers = (0..plan.servers).map(|id| server(id, &mut rng)).collect();
        let zipf = Zipf::new(plan.keys);
        let (partitioned, unreachable, events, seen, commits) = Default::default();
        let (hasher, proxies, tally) = (KeyHasher::new([9; 16]), vec![], Tally::default());
        let n = plan.proxies;
        let mut simulation = Simulation {
            now,
            plan,
            rng,
            hasher,
            zipf,
            history,
            servers,
            proxies,
            partitioned,
            unreachable,
            events,
            number: 0,
            seen,
            commits,
            tally,
        };
        (0..n).for_each(|_| simulation.join());
        simulation
    }

    /// A new proxy, which nobody has heard of.
    pub fn join(&mut self) {
        let half = self.plan.config.max_clock_skew / 2;
        let off = self.rng.random_range(-half..=half);
        let (at, n, config) = (self.now + off, self.proxies.len(), self.plan.config.clone());
        let servers = if self.plan.shared { self.plan.servers } else { 0 };
        let cache = NegativeCache::new(config.clone(), servers, at);
        let (writes, leases) = (
            PendingWrites::new(config.clone(), at),
            WriteLeases::new(n as u64 + 1, config, self.plan.servers),
        );
        let (alive, paused_until, flood) = (true, 0, 0);
        self.proxies.push(Proxy { off, alive, paused_until, cache, writes, leases, flood });
    }

    /// A killed proxy restarts, with the cache of its snapshot if it had one.
    pub fn restart(&mut self, n: usize, snapshot: bool) {
        // A number that no other process has or had.
        self.number += 1;
        let (number, now) = (1_000_000 + self.number, self.now);
        let config = self.plan.config.clone();
        let p = &mut self.proxies[n];
        p.alive = true;
        p.writes = PendingWrites::new(config.clone(), now + p.off);
        p.leases = WriteLeases::new(number, config.clone(), self.plan.servers);
        if !snapshot {
            p.cache = NegativeCache::new(config, self.plan.servers, now + p.off);
        }
    }

    /// A lease server's process is lost with its state, and another takes its place.
    pub fn replace_server(&mut self, server: usize, down: Micros) {
        let node = &mut self.servers[server];
        node.down_until = self.now + down;
        node.server =
            WriteLeaseServer::new(server as u32, self.plan.config.clone(), node.down_until + node.off);
    }

    fn send(&mut self, to: usize, event: Event) {
        let copies = 1 + usize::from(self.rng.random_bool(self.plan.duplication));
        for _ in 0..copies {
            if !self.rng.random_bool(self.plan.loss) {
                let delay = self.rng.random_range(1_000..=self.plan.max_delay);
                self.post(delay, to, event.clone());
            }
        }
    }

    fn post(&mut self, delay: Micros, to: usize, event: Event) {
        self.number += 1;
        self.events.insert((self.now + delay, self.number), (to, event));
    }

    fn spread(&mut self, event: &Event) {
        let n = self.proxies.len();
        for to in rand::seq::index::sample(&mut self.rng, n, n.min(4)) {
            self.send(to, event.clone());
        }
    }
}
