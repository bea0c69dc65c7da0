//! A simulation of a fleet in virtual time. Proxies and lease servers run the real crate, each with its own
//! clock. The complete history of the primary is recorded, replicas lag, and the network loses, duplicates
//! and delays messages. Every "missing" answer from the cache is checked against the history.

// Each test file uses only a part of this module.
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
    /// A read reaches a member with the given replication lag.
    MemberRead(Lookup, u64, Micros),
    /// The response to a read arrives, with the position of the member if there was no row.
    ReadResponse(Lookup, Option<Micros>),
    /// A write reaches the primary; the flag tells whether a response will arrive.
    MemberWrite(WriteId, u64, bool),
    WriteResponse(WriteId, u64, Micros),
    InDoubt(WriteId),
}

pub struct Proxy {
    clock_offset: Micros,
    pub alive: bool,
    pub paused_until: Micros,
    pub cache: NegativeCache,
    writes: PendingWrites,
    leases: WriteLeases,
    /// Number of random keys that are read in each step, as by an attacker.
    pub flood: u32,
}

struct ServerNode {
    clock_offset: Micros,
    down_until: Micros,
    server: WriteLeaseServer,
}

/// The parameters of a simulation: its size, load and faults.
#[derive(Clone)]
pub struct Params {
    pub config: NegativeCacheConfig,
    pub proxies: usize,
    pub servers: usize,
    /// Whether proxies exchange messages with each other and with lease servers.
    pub shared: bool,
    pub keys: usize,
    /// Reads at each proxy per second.
    pub reads: f64,
    /// Writes at each proxy per second.
    pub writes: f64,
    pub loss: f64,
    pub duplication: f64,
    pub max_delay: Micros,
    pub max_lag: Micros,
}

impl Default for Params {
    fn default() -> Params {
        let config = NegativeCacheConfig {
            max_clock_skew: 20_000,
            max_commit_delay: 3 * SECOND,
            max_frequent_entries: 4_096,
            max_recent_entries: 4_096,
            ..NegativeCacheConfig::default()
        };
        Params {
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

/// The results of a simulation.
#[derive(Default, Debug, Clone)]
pub struct Results {
    pub wrong_answers: Vec<String>,
    /// Reads of missing keys that are not part of the flood. The next four counters count only such reads.
    pub reads: u64,
    pub repeat_reads: u64,
    pub repeat_member_reads: u64,
    pub member_reads: u64,
    /// Reads answered from the cache.
    pub answered: u64,
    /// "Missing" answers from entries that had advanced past the position reported by the member.
    pub advanced: u64,
    pub writes: u64,
    pub writes_without_lease: u64,
    pub flood_reads: u64,
}

pub struct Simulation {
    pub now: Micros,
    pub params: Params,
    pub rng: SmallRng,
    hasher: KeyHasher,
    zipf: Zipf,
    pub history: History,
    servers: Vec<ServerNode>,
    pub proxies: Vec<Proxy>,
    /// Proxies that can reach only members.
    pub partitioned: BTreeSet<usize>,
    /// Pairs of a proxy and a server that cannot reach each other.
    pub unreachable: BTreeSet<(usize, usize)>,
    events: BTreeMap<(Micros, u64), (usize, Event)>,
    last_id: u64,
    read_keys: BTreeSet<u64>,
    commits: Vec<(u64, Micros)>,
    pub results: Results,
}

impl Simulation {
    pub fn new(params: Params, seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (now, max_offset) = (1_000 * SECOND, params.config.max_clock_skew / 2);
        let history = History::new(rng.random_range(-max_offset..=max_offset));
        let server = |id: usize, rng: &mut SmallRng| {
            let clock_offset = rng.random_range(-max_offset..=max_offset);
            ServerNode {
                clock_offset,
                down_until: 0,
                server: WriteLeaseServer::new(id as u32, params.config.clone(), now + clock_offset),
            }
        };
        let servers = (0..params.servers).map(|id| server(id, &mut rng)).collect();
        let zipf = Zipf::new(params.keys);
        let (partitioned, unreachable, events, read_keys, commits) = Default::default();
        let (hasher, proxies, results) = (KeyHasher::new([9; 16]), vec![], Results::default());
        let n = params.proxies;
        let mut simulation = Simulation {
            now,
            params,
            rng,
            hasher,
            zipf,
            history,
            servers,
            proxies,
            partitioned,
            unreachable,
            events,
            last_id: 0,
            read_keys,
            commits,
            results,
        };
        (0..n).for_each(|_| simulation.join());
        simulation
    }

    /// Adds a new proxy.
    pub fn join(&mut self) {
        let max_offset = self.params.config.max_clock_skew / 2;
        let clock_offset = self.rng.random_range(-max_offset..=max_offset);
        let (at, n, config) = (self.now + clock_offset, self.proxies.len(), self.params.config.clone());
        let servers = if self.params.shared { self.params.servers } else { 0 };
        let cache = NegativeCache::new(config.clone(), servers, at);
        let (writes, leases) = (
            PendingWrites::new(config.clone(), at),
            WriteLeases::new(n as u64 + 1, config, self.params.servers),
        );
        let (alive, paused_until, flood) = (true, 0, 0);
        self.proxies.push(Proxy { clock_offset, alive, paused_until, cache, writes, leases, flood });
    }

    /// Restarts a killed proxy, which keeps its cache if it has a snapshot.
    pub fn restart(&mut self, n: usize, has_snapshot: bool) {
        // The number of a holder must be unique among all processes, past and present.
        self.last_id += 1;
        let (holder, now) = (1_000_000 + self.last_id, self.now);
        let config = self.params.config.clone();
        let p = &mut self.proxies[n];
        p.alive = true;
        p.writes = PendingWrites::new(config.clone(), now + p.clock_offset);
        p.leases = WriteLeases::new(holder, config.clone(), self.params.servers);
        if !has_snapshot {
            p.cache = NegativeCache::new(config, self.params.servers, now + p.clock_offset);
        }
    }

    /// Replaces a lease server with a new process, without the state of the old one, after a downtime.
    pub fn replace_server(&mut self, server: usize, downtime: Micros) {
        let node = &mut self.servers[server];
        node.down_until = self.now + downtime;
        node.server = WriteLeaseServer::new(
            server as u32,
            self.params.config.clone(),
            node.down_until + node.clock_offset,
        );
    }

    fn send(&mut self, to: usize, event: Event) {
        let copies = 1 + usize::from(self.rng.random_bool(self.params.duplication));
        for _ in 0..copies {
            if !self.rng.random_bool(self.params.loss) {
                let delay = self.rng.random_range(1_000..=self.params.max_delay);
                self.schedule(delay, to, event.clone());
            }
        }
    }

    fn schedule(&mut self, delay: Micros, to: usize, event: Event) {
        self.last_id += 1;
        self.events.insert((self.now + delay, self.last_id), (to, event));
    }

    fn gossip(&mut self, event: &Event) {
        let n = self.proxies.len();
        for to in rand::seq::index::sample(&mut self.rng, n, n.min(4)) {
            self.send(to, event.clone());
        }
    }
}
