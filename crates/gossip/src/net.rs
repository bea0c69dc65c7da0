//! Many proxies' [`Peers`] in one process, on a network in virtual time that loses, delays, duplicates, reorders
//! and cuts datagrams, and proxies that are paused, killed and started again. What decides is the real code; only the
//! wire is modelled. Seeded: the same seed gives the same run.

use crate::{Micros, Peer, Peers, Terms};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddrV4;

/// What the wire does to each datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wire {
    /// The part that is lost.
    pub loss: f64,
    /// The part that arrives twice.
    pub duplicate: f64,
    /// The least delay, and a further one drawn up to this, in µs: datagrams overtake each other.
    pub delay: Micros,
    /// Further delay, drawn up to this.
    pub jitter: Micros,
}

/// One proxy of the network.
pub struct Node {
    /// Its view; `None` while it is dead.
    pub peers: Option<Peers>,
    /// Its address.
    pub addr: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Paused until then: it takes nothing and its timers stand still.
    pub paused_until: Micros,
    generation: u64,
}

/// The network.
pub struct Net {
    /// The proxies, by number.
    pub nodes: Vec<Node>,
    /// What the wire does.
    pub wire: Wire,
    /// Pairs (from, to) of numbers whose datagrams are dropped: a cut, one way or both.
    pub cut: BTreeSet<(usize, usize)>,
    /// Now.
    pub now: Micros,
    terms: Terms,
    rng: SmallRng,
    flying: BinaryHeap<Reverse<Flying>>,
    numbered: u64,
    /// Datagrams put on the wire, and lost there (by loss or a cut).
    pub carried: u64,
    /// Datagrams lost on the wire.
    pub lost: u64,
}

/// A datagram on its way: when it arrives, its number, to whom, and what.
type Flying = (Micros, u64, usize, Vec<u8>);

/// The address of proxy `i`.
pub fn address(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 20_000 + i as u16)
}

impl Net {
    /// `count` proxies in `zones` by turn, each told of the first as its seed.
    pub fn new(count: usize, zones: &[&str], terms: Terms, wire: Wire, seed: u64) -> Net {
        let nodes = (0..count)
            .map(|i| Node {
                peers: None,
                addr: address(i),
                zone: zones[i % zones.len().max(1)].to_string(),
                paused_until: 0,
                generation: 0,
            })
            .collect();
        let mut net = Net {
            nodes,
            wire,
            cut: BTreeSet::new(),
            now: 0,
            terms,
            rng: SmallRng::seed_from_u64(seed),
            flying: BinaryHeap::new(),
            numbered: 0,
            carried: 0,
            lost: 0,
        };
        (0..count).for_each(|i| net.start(i));
        net
    }

    /// Starts proxy `i` anew, as a new generation, with its seeds: the first three others.
    pub fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.generation += 1;
        let me = Peer::new(node.addr, &node.zone, node.generation);
        let mut peers = Peers::new(me, self.terms.clone(), self.rng.random(), self.now);
        let seeds: Vec<SocketAddrV4> =
            (0..self.nodes.len().min(4)).filter(|s| *s != i).map(address).collect();
        peers.join(&seeds, self.now);
        self.nodes[i].peers = Some(peers);
        self.nodes[i].paused_until = 0;
    }

    /// Kills proxy `i`: what it held is gone.
    pub fn kill(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if let Some(peers) = node.peers.take() {
            node.generation = node.generation.max(peers.me().generation);
        }
    }

    /// Pauses proxy `i` for so long.
    pub fn pause(&mut self, i: usize, span: Micros) {
        self.nodes[i].paused_until = self.now + span;
    }

    /// Cuts the datagrams between two sets of proxies, both ways.
    pub fn split(&mut self, one: &[usize], other: &[usize]) {
        for a in one {
            for b in other {
                self.cut.insert((*a, *b));
                self.cut.insert((*b, *a));
            }
        }
    }

    /// Lets time pass up to `until`, in steps of `step`, carrying datagrams and firing timers.
    pub fn run(&mut self, until: Micros, step: Micros) {
        while self.now < until {
            self.now = (self.now + step).min(until);
            self.deliver();
            for i in 0..self.nodes.len() {
                let node = &mut self.nodes[i];
                if node.paused_until > self.now {
                    continue;
                }
                let Some(peers) = node.peers.as_mut() else { continue };
                peers.tick(self.now);
                let sends = peers.take_sends();
                for (to, datagram) in sends {
                    self.put(i, to, datagram);
                }
            }
        }
    }

    fn put(&mut self, from: usize, to: SocketAddrV4, datagram: Vec<u8>) {
        let Some(target) = self.nodes.iter().position(|n| n.addr == to) else { return };
        self.carried += 1;
        if self.cut.contains(&(from, target)) || self.rng.random::<f64>() < self.wire.loss {
            self.lost += 1;
            return;
        }
        let copies = if self.rng.random::<f64>() < self.wire.duplicate { 2 } else { 1 };
        for _ in 0..copies {
            let jitter = if self.wire.jitter > 0 { self.rng.random_range(0..self.wire.jitter) } else { 0 };
            self.numbered += 1;
            let at = self.now + self.wire.delay + jitter;
            self.flying.push(Reverse((at, self.numbered, target, datagram.clone())));
        }
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, _, _, _))) = self.flying.peek() {
            if *at > self.now {
                break;
            }
            let Some(Reverse((at, _, target, datagram))) = self.flying.pop() else { break };
            let node = &mut self.nodes[target];
            // A paused process reads its socket later; one that is dead never does.
            if node.paused_until > at {
                self.numbered += 1;
                self.flying.push(Reverse((node.paused_until, self.numbered, target, datagram)));
                continue;
            }
            if let Some(peers) = node.peers.as_mut() {
                peers.received(at, &datagram);
            }
        }
    }

    /// The numbers of the proxies that `i` takes for alive.
    pub fn seen_by(&self, i: usize) -> BTreeSet<usize> {
        let Some(peers) = self.nodes[i].peers.as_ref() else { return BTreeSet::new() };
        peers.alive().filter_map(|p| self.nodes.iter().position(|n| n.addr == p.addr)).collect()
    }

    /// Whether each live proxy takes exactly the other live ones of `group` for alive, and the newest generation of
    /// each.
    pub fn agrees(&self, group: &[usize]) -> bool {
        let live: BTreeSet<usize> =
            group.iter().copied().filter(|i| self.nodes[*i].peers.is_some()).collect();
        live.iter().all(|i| {
            let Some(peers) = self.nodes[*i].peers.as_ref() else { return false };
            let seen: BTreeSet<usize> = self.seen_by(*i).intersection(&live).copied().collect();
            let newest = peers.alive().all(|p| {
                let j = self.nodes.iter().position(|n| n.addr == p.addr);
                let now = j.and_then(|j| self.nodes[j].peers.as_ref()).map(|q| q.me().generation);
                now.is_none_or(|generation| generation == p.generation)
            });
            let others: BTreeSet<usize> = live.iter().copied().filter(|j| j != i).collect();
            seen == others && newest
        })
    }
}
