//! A simulation of many proxies' [`Membership`]s in one process and in virtual time. The network loses,
//! delays, duplicates, reorders and blocks datagrams, and proxies are paused, killed and restarted. The
//! membership code is the real one; only the network is simulated. The same seed gives the same run.

use crate::{Datagram, Membership, Micros, Peer, SwimConfig};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddrV4;

/// The port of the first proxy. The others use the following ports.
const FIRST_PORT: u16 = 20_000;
/// The number of proxies from the first on that serve as seeds for the others.
const SEED_CANDIDATES: usize = 4;

/// The faults that the network applies to each datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// The fraction of datagrams that arrive twice.
    pub duplicate: f64,
    /// The minimum delay, in microseconds.
    pub delay: Micros,
    /// The upper bound of the additional random delay, in microseconds. It causes reordering.
    pub jitter: Micros,
}

/// One simulated proxy.
pub struct SimulatedProxy {
    /// The membership of the proxy; `None` while the proxy is not running.
    pub membership: Option<Membership>,
    /// The address of the proxy.
    pub addr: SocketAddrV4,
    /// The zone of the proxy.
    pub zone: String,
    /// The time until which the proxy is paused: it receives no datagrams and fires no timers.
    pub paused_until: Micros,
    generation: u64,
}

/// A datagram in flight. The ordering is by arrival time, then by sequence number.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    arrives_at: Micros,
    sequence: u64,
    to: usize,
    payload: Vec<u8>,
}

/// The simulated network.
pub struct SimulatedNetwork {
    /// The proxies, by index.
    pub proxies: Vec<SimulatedProxy>,
    /// The faults that the network applies to datagrams.
    pub faults: LinkFaults,
    /// Pairs (from, to) of proxy indexes between which datagrams are dropped: a partition in one or both
    /// directions.
    pub blocked: BTreeSet<(usize, usize)>,
    /// The current time.
    pub now: Micros,
    config: SwimConfig,
    rng: SmallRng,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    /// The sequence number of the last datagram that was sent or deferred.
    last_sequence: u64,
    /// The number of datagrams sent.
    pub sent: u64,
    /// The number of datagrams dropped by loss or a partition.
    pub lost: u64,
}

/// Returns the address of the proxy with this index.
pub fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), FIRST_PORT + index as u16)
}

impl SimulatedNetwork {
    /// Creates a network of `count` started proxies that are assigned to `zones` in turn.
    pub fn new(count: usize, zones: &[&str], config: SwimConfig, faults: LinkFaults, seed: u64) -> Self {
        let proxies = (0..count).map(|index| SimulatedProxy {
            membership: None,
            addr: address(index),
            zone: zones[index % zones.len().max(1)].to_string(),
            paused_until: 0,
            generation: 0,
        });
        let mut network = SimulatedNetwork {
            proxies: proxies.collect(),
            faults,
            blocked: BTreeSet::new(),
            now: 0,
            config,
            rng: SmallRng::seed_from_u64(seed),
            in_flight: BinaryHeap::new(),
            last_sequence: 0,
            sent: 0,
            lost: 0,
        };
        (0..count).for_each(|index| network.start(index));
        network
    }

    /// Starts a proxy, or restarts it as a new generation. Its seeds are the first `SEED_CANDIDATES`
    /// proxies except itself.
    pub fn start(&mut self, index: usize) {
        let proxy = &mut self.proxies[index];
        proxy.generation += 1;
        let local_peer = Peer::new(proxy.addr, &proxy.zone, proxy.generation);
        let mut membership = Membership::new(local_peer, self.config.clone(), self.rng.random(), self.now);
        let candidates = 0..self.proxies.len().min(SEED_CANDIDATES);
        let seeds: Vec<SocketAddrV4> = candidates.filter(|seed| *seed != index).map(address).collect();
        membership.join(&seeds, self.now);
        self.proxies[index].membership = Some(membership);
        self.proxies[index].paused_until = 0;
    }

    /// Kills a proxy, which loses its state.
    pub fn kill(&mut self, index: usize) {
        let proxy = &mut self.proxies[index];
        if let Some(membership) = proxy.membership.take() {
            proxy.generation = proxy.generation.max(membership.local_peer().generation);
        }
    }

    /// Pauses a proxy for a duration.
    pub fn pause(&mut self, index: usize, span: Micros) {
        self.proxies[index].paused_until = self.now + span;
    }

    /// Blocks the datagrams between two sets of proxies in both directions.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        for a in one {
            for b in other {
                self.blocked.insert((*a, *b));
                self.blocked.insert((*b, *a));
            }
        }
    }

    /// Advances the time to `until` in steps of `step`, delivering datagrams and firing timers.
    pub fn run(&mut self, until: Micros, step: Micros) {
        while self.now < until {
            self.now = (self.now + step).min(until);
            self.deliver_due();
            for index in 0..self.proxies.len() {
                let proxy = &mut self.proxies[index];
                if proxy.paused_until > self.now {
                    continue;
                }
                let Some(membership) = proxy.membership.as_mut() else { continue };
                membership.tick(self.now);
                for datagram in membership.take_datagrams() {
                    self.send(index, datagram);
                }
            }
        }
    }

    fn send(&mut self, from: usize, datagram: Datagram) {
        let Some(to) = self.index_of(datagram.to) else { return };
        self.sent += 1;
        if self.blocked.contains(&(from, to)) || self.rng.random::<f64>() < self.faults.loss {
            self.lost += 1;
            return;
        }
        let copies = if self.rng.random::<f64>() < self.faults.duplicate { 2 } else { 1 };
        for _ in 0..copies {
            let jitter =
                if self.faults.jitter > 0 { self.rng.random_range(0..self.faults.jitter) } else { 0 };
            self.enqueue(self.now + self.faults.delay + jitter, to, datagram.payload.clone());
        }
    }

    fn enqueue(&mut self, arrives_at: Micros, to: usize, payload: Vec<u8>) {
        self.last_sequence += 1;
        self.in_flight.push(Reverse(InFlight { arrives_at, sequence: self.last_sequence, to, payload }));
    }

    fn deliver_due(&mut self) {
        while self.in_flight.peek().is_some_and(|Reverse(next)| next.arrives_at <= self.now) {
            let Some(Reverse(InFlight { arrives_at, to, payload, .. })) = self.in_flight.pop() else { break };
            let proxy = &mut self.proxies[to];
            // A paused process reads its socket after it resumes; a dead one never does.
            if proxy.paused_until > arrives_at {
                let paused_until = proxy.paused_until;
                self.enqueue(paused_until, to, payload);
            } else if let Some(membership) = proxy.membership.as_mut() {
                membership.on_datagram(arrives_at, &payload);
            }
        }
    }

    fn index_of(&self, addr: SocketAddrV4) -> Option<usize> {
        self.proxies.iter().position(|proxy| proxy.addr == addr)
    }

    /// Returns the indexes of the proxies that a proxy considers alive.
    pub fn seen_by(&self, index: usize) -> BTreeSet<usize> {
        let Some(membership) = self.proxies[index].membership.as_ref() else { return BTreeSet::new() };
        membership.live_peers().filter_map(|peer| self.index_of(peer.addr)).collect()
    }

    /// Returns whether each live proxy of `group` considers all other live proxies of `group` alive and knows
    /// the newest generation of every peer that it considers alive.
    pub fn agrees(&self, group: &[usize]) -> bool {
        let is_alive = |index: &usize| self.proxies[*index].membership.is_some();
        let live: BTreeSet<usize> = group.iter().copied().filter(is_alive).collect();
        live.iter().all(|index| {
            let seen: BTreeSet<usize> = self.seen_by(*index).intersection(&live).copied().collect();
            let others: BTreeSet<usize> = live.iter().copied().filter(|other| other != index).collect();
            seen == others && self.sees_newest_generations(*index)
        })
    }

    /// Returns whether a proxy knows the newest generation of each peer that it considers alive.
    fn sees_newest_generations(&self, index: usize) -> bool {
        let Some(membership) = self.proxies[index].membership.as_ref() else { return false };
        membership.live_peers().all(|peer| {
            let other = self.index_of(peer.addr).and_then(|other| self.proxies[other].membership.as_ref());
            other.is_none_or(|other| other.local_peer().generation == peer.generation)
        })
    }
}
