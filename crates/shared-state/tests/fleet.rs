//! Many proxies' copies in virtual time on a wire that loses, duplicates, delays and cuts: how many exchanges it takes
//! until all hold the same, and what a proxy sends. Counts only; no clock of the machine is read.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddrV4;
use wharfplank_shared_state::{Doubt, Entry, Key, Micros, Replica, Terms, Value};

const MS: Micros = 1_000;
const STEP: Micros = 25 * MS;
/// The membership's datagrams of a proxy: one each so often.
const DATAGRAM: Micros = 125 * MS;
const MEMBERS: u64 = 120;
const PACKET: usize = 1300;

struct Fleet {
    replicas: Vec<Replica>,
    /// Proxies on different sides hear nothing of each other.
    side: Vec<bool>,
    loss: f64,
    now: Micros,
    /// When it arrives, from whom, to whom, what.
    flying: Vec<(Micros, usize, usize, Vec<u8>)>,
    rng: SmallRng,
    sent: u64,
}

fn addr(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 20_000 + i as u16)
}

impl Fleet {
    fn new(n: usize, loss: f64, seed: u64) -> Fleet {
        let now = 1_000_000_000;
        let replicas =
            (0..n).map(|i| Replica::new(i as u64 + 1, Terms::default(), seed + i as u64, now)).collect();
        let rng = SmallRng::seed_from_u64(seed);
        Fleet { replicas, side: vec![false; n], loss, now, flying: Vec::new(), rng, sent: 0 }
    }

    fn put(&mut self, from: usize, to: usize, message: Vec<u8>) {
        self.sent += message.len() as u64;
        if self.side[from] != self.side[to] || self.rng.random::<f64>() < self.loss {
            return;
        }
        let copies = if self.rng.random::<f64>() < self.loss / 2.0 { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.rng.random_range(MS..30 * MS);
            self.flying.push((at, from, to, message.clone()));
        }
    }

    /// One step; `busy`: each proxy learns something.
    fn step(&mut self, busy: bool) {
        self.now += STEP;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.flying).into_iter().partition(|(at, ..)| *at <= now);
        self.flying = later;
        let due: Vec<(Micros, usize, usize, Vec<u8>)> = due;
        due.into_iter().for_each(|(_, from, to, bytes)| self.replicas[to].received(now, addr(from), &bytes));
        for i in 0..self.replicas.len() {
            let peers: Vec<usize> =
                (0..self.replicas.len()).filter(|p| *p != i && self.side[*p] == self.side[i]).collect();
            let member = self.rng.random_range(0..MEMBERS);
            let draw = self.rng.random::<f64>();
            let replica = &mut self.replicas[i];
            replica.alive(now, peers.iter().map(|p| addr(*p)));
            if busy {
                replica.position(now, member, 1, now - 5 * MS);
                replica.count(now, 1, 1);
                if draw < 0.002 {
                    replica.doubt(now, member << 32 | now as u64, Doubt::Open);
                }
                if draw > 0.999 {
                    replica.suspects(now, member, true);
                }
            }
            replica.tick(now);
            for (to, message) in self.replicas[i].take_sends() {
                self.put(i, usize::from(to.port()) - 20_000, message);
            }
            if (now / STEP + i as Micros) % (DATAGRAM / STEP) == 0 && !peers.is_empty() {
                let to = peers[self.rng.random_range(0..peers.len())];
                if let Some(message) = self.replicas[i].ride(now, PACKET) {
                    self.put(i, to, message);
                }
            }
        }
    }

    fn run(&mut self, span: Micros, busy: bool) {
        (0..span / STEP).for_each(|_| self.step(busy));
    }

    fn equal(&self) -> bool {
        self.replicas.iter().all(|r| r.store().digest() == self.replicas[0].store().digest())
    }

    /// Exchanges that the proxy which began most has begun until all hold the same, and the virtual time.
    fn converge(&mut self) -> Option<(u64, Micros)> {
        let before: Vec<u64> = self.replicas.iter().map(|r| r.counts.asked).collect();
        let start = self.now;
        while !self.equal() {
            if self.now - start > 60_000 * MS {
                return None;
            }
            self.step(false);
        }
        let asked = self.replicas.iter().zip(before).map(|(r, was)| r.counts.asked - was);
        Some((asked.max().unwrap_or(0), self.now - start))
    }
}

#[test]
fn a_healed_cut_and_a_restart_end_in_equal_copies_after_a_few_exchanges() {
    for (n, loss) in [(3, 0.0), (30, 0.0), (30, 0.2), (100, 0.0)] {
        let mut fleet = Fleet::new(n, loss, 7);
        fleet.run(3_000 * MS, true);
        (0..n / 3).for_each(|i| fleet.side[i] = true);
        fleet.run(10_000 * MS, true);
        assert!(!fleet.equal(), "both sides of a cut hold the same");
        fleet.side.fill(false);
        let (rounds, span) = fleet.converge().expect("no equal copies within a minute of the heal");
        assert!(rounds <= 60, "{n} proxies: {rounds} exchanges after a heal");
        fleet.run(3_000 * MS, true);
        let now = fleet.now;
        fleet.replicas[n - 1] = Replica::new(999, Terms::default(), 5, now);
        let (again, restart) = fleet.converge().expect("no equal copies within a minute of a restart");
        assert!(again <= 60, "{n} proxies: {again} exchanges after a restart");
        println!(
            "{n} proxies at {loss} loss: equal {rounds} exchanges and {} ms after a heal, {again} and {} ms after a \
             restart, {} entries",
            span / MS,
            restart / MS,
            fleet.replicas[0].store().len()
        );
    }
}

#[test]
fn what_a_proxy_sends_is_bounded_and_does_not_grow_with_the_fleet() {
    for n in [3, 30, 100] {
        let mut fleet = Fleet::new(n, 0.0, 11);
        fleet.run(3_000 * MS, true);
        let (before, start) = (fleet.sent, fleet.now);
        fleet.run(15_000 * MS, true);
        let rate = (fleet.sent - before) as f64 / n as f64 / ((fleet.now - start) as f64 / 1e6);
        let held = fleet.replicas.iter().map(|r| r.store().len()).max().unwrap_or(0);
        println!("{n} proxies: {rate:.0} bytes a proxy a second, {held} entries");
        let budget = Terms::default().bytes_per_second as f64;
        assert!(rate <= budget * 1.05, "{n} proxies: {rate:.0} bytes a second of {budget:.0}");
    }
}

#[test]
fn a_burst_past_the_budget_is_held_back_and_comes_through_in_the_end() {
    let mut fleet = Fleet::new(5, 0.2, 3);
    fleet.run(2_000 * MS, false);
    let now = fleet.now;
    (0..2_000).for_each(|write| fleet.replicas[0].doubt(now, write, Doubt::Open));
    fleet.run(500 * MS, false);
    assert!(!fleet.equal(), "2,000 changes went round within half a second");
    assert!(fleet.replicas[0].spread().waited > 0 || fleet.replicas[0].counts.held_back > 0);
    fleet.converge().expect("the burst did not come through");
    assert!((0..2_000).all(|write| fleet.replicas[4].in_doubt(write)));
}

/// A word of long ago, sent again by a proxy that lies, neither withdraws a member nor takes a settled write back.
#[test]
fn old_words_sent_again_change_nothing() {
    let mut fleet = Fleet::new(5, 0.0, 9);
    fleet.run(2_000 * MS, false);
    let (now, old) = (fleet.now, fleet.now);
    fleet.replicas[0].suspects(now, 1, true);
    fleet.replicas[0].doubt(now, 8, Doubt::Open);
    let said = fleet.replicas[0].ride(now, PACKET).expect("something to say");
    fleet.run(2_000 * MS, false);
    let now = fleet.now;
    fleet.replicas[0].suspects(now, 1, false);
    fleet.replicas[1].doubt(now, 8, Doubt::NotRun);
    fleet.run(3_000 * MS, false);
    let before: Vec<Option<Entry>> =
        fleet.replicas.iter().map(|r| r.store().get(&Key::Mark(1)).copied()).collect();
    let now = fleet.now;
    for (replica, before) in fleet.replicas.iter_mut().zip(&before).skip(1) {
        replica.take_news();
        replica.received(now, addr(0), &said);
        assert!(replica.take_news().is_empty(), "an old suspicion was news");
        assert!(!replica.in_doubt(8), "a settled write is in doubt again");
        assert_eq!(replica.store().get(&Key::Mark(1)).copied(), *before);
    }
    assert!(matches!(before[4].map(|e| e.value()), Some(Value::Mark { stamp, .. }) if stamp.wall > old));
    fleet.run(11_000 * MS, false);
    let now = fleet.now;
    fleet.replicas[3].received(now, addr(0), &said);
    assert!(fleet.replicas[3].store().get(&Key::Mark(1)).is_none(), "a suspicion past its life came back");
}
