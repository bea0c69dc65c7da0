//! Tests of processes that exchange datagrams with lease servers over a lossy network. All processes receive
//! the entries of each one, and the traffic of a proxy does not grow with the size of the fleet.

use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use wharfplank_negative_cache::*;

const STEP: Micros = 10_000;
const SECOND: Micros = 1_000_000;

struct Fleet {
    now: Micros,
    rng: SmallRng,
    loss: f64,
    nodes: Vec<Node>,
    in_flight: VecDeque<(Micros, usize, usize, Vec<u8>)>,
    /// Bytes sent by the last process, which is not a lease server.
    sent: usize,
    /// Bytes received by the last process.
    received: usize,
}

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7_000 + n as u16)
}

impl Fleet {
    fn new(proxies: usize, loss: f64) -> Fleet {
        let (now, hasher) = (1_000 * SECOND, KeyHasher::from_passphrase("the same at all of them"));
        let servers: Vec<SocketAddrV4> = (0..3).map(address).collect();
        let config = NegativeCacheConfig { max_commit_delay: SECOND, ..NegativeCacheConfig::default() };
        let node = |n: usize| {
            Node::new(config.clone(), hasher.clone(), address(n), servers.clone(), n as u64 + 1, now)
        };
        let nodes = (0..proxies).map(node).collect();
        Fleet {
            now,
            rng: SmallRng::seed_from_u64(1),
            loss,
            nodes,
            in_flight: VecDeque::new(),
            sent: 0,
            received: 0,
        }
    }

    fn run(&mut self, duration: Micros, mut on_step: impl FnMut(&mut Node, &mut SmallRng, Micros)) {
        let (end, last) = (self.now + duration, self.nodes.len() - 1);
        while self.now < end {
            self.now += STEP;
            while self.in_flight.front().is_some_and(|(at, ..)| *at <= self.now) {
                let Some((_, from, to, bytes)) = self.in_flight.pop_front() else { break };
                self.received += if to == last { bytes.len() } else { 0 };
                self.nodes[to].on_datagram(self.now, address(from), &bytes);
            }
            for n in 0..self.nodes.len() {
                on_step(&mut self.nodes[n], &mut self.rng, self.now);
                self.nodes[n].tick(self.now);
                for (to, bytes) in self.nodes[n].take_datagrams() {
                    self.sent += if n == last { bytes.len() } else { 0 };
                    if !self.rng.random_bool(self.loss) {
                        self.in_flight.push_back((self.now + STEP, n, usize::from(to.port()) - 7_000, bytes));
                    }
                }
            }
        }
    }
}

fn lookup_of(key: u32) -> Lookup {
    Lookup::new(
        &KeyHasher::from_passphrase("the same at all of them"),
        1,
        &key.to_le_bytes(),
        &key.to_le_bytes(),
        1,
    )
}

#[test]
fn entry_is_shared_and_outlives_the_staleness_bound() {
    let mut fleet = Fleet::new(7, 0.1);
    fleet.run(10 * SECOND, |_, _, _| {});
    assert!(fleet.nodes.iter().all(|node| node.write_leases.can_write(fleet.now)), "no write lease");
    let now = fleet.now;
    (0..50).for_each(|key| fleet.nodes[6].record_missing(now, &lookup_of(key), now - STEP, b"none"));
    let write = fleet.nodes[5].writes.begin(now + SECOND, vec![lookup_of(7).key]).expect("room in the table");
    fleet.run(5 * SECOND, |_, _, _| {});
    fleet.nodes[5].writes.on_answered(fleet.now, write);
    let (now, freshness) = (fleet.now, Freshness::MaxStaleness(2 * SECOND));
    let known = |node: &mut Node, key| {
        node.lookup(now, &lookup_of(key), freshness).is_some_and(|bytes| *bytes == *b"none")
    };
    for n in 0..7 {
        let count = (0..50).filter(|key| known(&mut fleet.nodes[n], *key)).count();
        assert!(
            count >= 15 && !known(&mut fleet.nodes[n], 7),
            "process {n} knows {count} missing keys, or knows one that may have been written"
        );
    }
}

#[test]
fn traffic_of_a_proxy_does_not_grow_with_the_fleet() {
    let bytes = [4, 30, 100].map(|proxies| {
        let mut fleet = Fleet::new(proxies, 0.0);
        fleet.run(10 * SECOND, |_, _, _| {});
        (fleet.sent, fleet.received) = (0, 0);
        // The total number of reads and writes does not depend on the number of proxies.
        let probability = 1.0 / proxies as f64;
        fleet.run(10 * SECOND, |node, rng, now| {
            let key = rng.random_range(0..5_000);
            if rng.random_bool(probability)
                && node.lookup(now, &lookup_of(key), Freshness::MaxStaleness(2 * SECOND)).is_none()
            {
                node.record_missing(now, &lookup_of(key), now, b"what a member answers, of 40 bytes......");
            }
            if rng.random_bool(probability) && node.write_leases.can_write(now) {
                let write =
                    node.writes.begin(now, vec![lookup_of(rng.random()).key]).expect("room in the table");
                node.writes.on_answered(now, write);
            }
        });
        println!(
            "{proxies} proxies: one proxy sends {} and receives {} bytes per second",
            fleet.sent / 10,
            fleet.received / 10
        );
        fleet.sent + fleet.received
    });
    assert!(bytes[2] < 2 * bytes[0], "{bytes:?}");
}
