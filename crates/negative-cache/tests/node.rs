//! Processes that speak as the program's do: messages to banks and from them, with loss. What one was told all answer,
//! and what a proxy sends and hears does not grow with the fleet.

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
    mail: VecDeque<(Micros, usize, usize, Vec<u8>)>,
    /// Bytes that the last process, which is no bank, sent and heard.
    sent: usize,
    heard: usize,
}

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7_000 + n as u16)
}

impl Fleet {
    fn new(proxies: usize, loss: f64) -> Fleet {
        let (now, hasher) = (1_000 * SECOND, Hasher::of("the same at all of them"));
        let banks: Vec<SocketAddrV4> = (0..3).map(address).collect();
        let terms = Terms { late: SECOND, ..Terms::default() };
        let node =
            |n: usize| Node::new(terms.clone(), hasher.clone(), address(n), banks.clone(), n as u64 + 1, now);
        let nodes = (0..proxies).map(node).collect();
        Fleet { now, rng: SmallRng::seed_from_u64(1), loss, nodes, mail: VecDeque::new(), sent: 0, heard: 0 }
    }

    fn run(&mut self, span: Micros, mut each: impl FnMut(&mut Node, &mut SmallRng, Micros)) {
        let (end, last) = (self.now + span, self.nodes.len() - 1);
        while self.now < end {
            self.now += STEP;
            while self.mail.front().is_some_and(|(at, ..)| *at <= self.now) {
                let Some((_, from, to, bytes)) = self.mail.pop_front() else { break };
                self.heard += if to == last { bytes.len() } else { 0 };
                self.nodes[to].received(self.now, address(from), &bytes);
            }
            for n in 0..self.nodes.len() {
                each(&mut self.nodes[n], &mut self.rng, self.now);
                self.nodes[n].tick(self.now);
                for (to, bytes) in self.nodes[n].take_sends() {
                    self.sent += if n == last { bytes.len() } else { 0 };
                    if !self.rng.random_bool(self.loss) {
                        self.mail.push_back((self.now + STEP, n, usize::from(to.port()) - 7_000, bytes));
                    }
                }
            }
        }
    }
}

fn asked(key: u32) -> Asked {
    Asked::new(&Hasher::of("the same at all of them"), 1, &key.to_le_bytes(), &key.to_le_bytes(), 1)
}

#[test]
fn what_one_was_told_all_answer_for_longer_than_its_bound() {
    let mut fleet = Fleet::new(7, 0.1);
    fleet.run(10 * SECOND, |_, _, _| {});
    assert!(fleet.nodes.iter().all(|node| node.leave.may_write(fleet.now)), "no leave");
    let now = fleet.now;
    (0..50).for_each(|key| fleet.nodes[6].heard(now, &asked(key), now - STEP, b"none"));
    let write = fleet.nodes[5].writes.begin(now + SECOND, vec![asked(7).mark]).expect("room");
    fleet.run(5 * SECOND, |_, _, _| {});
    fleet.nodes[5].writes.settled(fleet.now, write);
    let (now, need) = (fleet.now, Need::Bounded(2 * SECOND));
    let known =
        |node: &mut Node, key| node.question(now, &asked(key), need).is_some_and(|bytes| *bytes == *b"none");
    for n in 0..7 {
        let count = (0..50).filter(|key| known(&mut fleet.nodes[n], *key)).count();
        assert!(count >= 15 && !known(&mut fleet.nodes[n], 7), "{count} known at {n}");
    }
}

#[test]
fn bytes_of_a_proxy_do_not_grow_with_the_fleet() {
    let bytes = [4, 30, 100].map(|proxies| {
        let mut fleet = Fleet::new(proxies, 0.0);
        fleet.run(10 * SECOND, |_, _, _| {});
        (fleet.sent, fleet.heard) = (0, 0);
        // As many look-ups and writes in all, whatever the number of proxies.
        let each = 1.0 / proxies as f64;
        fleet.run(10 * SECOND, |node, rng, now| {
            let key = rng.random_range(0..5_000);
            if rng.random_bool(each) && node.question(now, &asked(key), Need::Bounded(2 * SECOND)).is_none() {
                node.heard(now, &asked(key), now, b"what a member answers, of 40 bytes......");
            }
            if rng.random_bool(each) && node.leave.may_write(now) {
                let ticket = node.writes.begin(now, vec![asked(rng.random()).mark]).expect("room");
                node.writes.settled(now, ticket);
            }
        });
        println!(
            "{proxies} proxies: {} bytes a second sent by one, {} heard",
            fleet.sent / 10,
            fleet.heard / 10
        );
        fleet.sent + fleet.heard
    });
    assert!(bytes[2] < 2 * bytes[0], "{bytes:?}");
}
