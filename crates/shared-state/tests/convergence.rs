//! Simulates the states of many proxies in virtual time, on a network that loses, duplicates, delays and
//! partitions datagrams. Measures the number of exchanges until all states are equal, and the bytes that a
//! proxy sends. The machine's clock is not read.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddrV4;
use wharfplank_shared_state::{
    Entry, Key, MemberStatus, Micros, SharedState, SharedStateConfig, Value, WriteOutcome,
};

const MS: Micros = 1_000;
const STEP: Micros = 25 * MS;
/// The interval between the membership datagrams that a proxy sends.
const DATAGRAM_INTERVAL: Micros = 125 * MS;
const MEMBERS: u64 = 120;
const MAX_DATAGRAM_BYTES: usize = 1300;

struct Fleet {
    states: Vec<SharedState>,
    /// The side of the partition that each proxy is on. Datagrams between the sides are lost.
    side: Vec<bool>,
    loss: f64,
    now: Micros,
    /// Datagrams in flight: arrival time, sender, receiver, bytes.
    in_flight: Vec<(Micros, usize, usize, Vec<u8>)>,
    rng: SmallRng,
    sent: u64,
}

fn addr(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 20_000 + i as u16)
}

impl Fleet {
    fn new(n: usize, loss: f64, seed: u64) -> Fleet {
        let now = 1_000_000_000;
        let states = (0..n)
            .map(|i| SharedState::new(i as u64 + 1, SharedStateConfig::default(), seed + i as u64, now))
            .collect();
        let rng = SmallRng::seed_from_u64(seed);
        Fleet { states, side: vec![false; n], loss, now, in_flight: Vec::new(), rng, sent: 0 }
    }

    fn transmit(&mut self, from: usize, to: usize, message: Vec<u8>) {
        self.sent += message.len() as u64;
        if self.side[from] != self.side[to] || self.rng.random::<f64>() < self.loss {
            return;
        }
        let copies = if self.rng.random::<f64>() < self.loss / 2.0 { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.rng.random_range(MS..30 * MS);
            self.in_flight.push((at, from, to, message.clone()));
        }
    }

    /// Runs one step. If `busy`, each proxy records new observations.
    fn step(&mut self, busy: bool) {
        self.now += STEP;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight).into_iter().partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        let due: Vec<(Micros, usize, usize, Vec<u8>)> = due;
        due.into_iter().for_each(|(_, from, to, bytes)| self.states[to].on_message(now, addr(from), &bytes));
        for i in 0..self.states.len() {
            let peers: Vec<usize> =
                (0..self.states.len()).filter(|p| *p != i && self.side[*p] == self.side[i]).collect();
            let member = self.rng.random_range(0..MEMBERS);
            let draw = self.rng.random::<f64>();
            let state = &mut self.states[i];
            state.set_live_peers(now, peers.iter().map(|p| addr(*p)));
            if busy {
                state.record_position(now, member, 1, now - 5 * MS);
                state.add_to_counter(now, 1, 1);
                if draw < 0.002 {
                    state.record_write_outcome(now, member << 32 | now as u64, WriteOutcome::InDoubt);
                }
                if draw > 0.999 {
                    state.record_member_status(now, member, MemberStatus::Suspected);
                }
            }
            state.tick(now);
            for (to, message) in self.states[i].take_datagrams() {
                self.transmit(i, usize::from(to.port()) - 20_000, message);
            }
            if (now / STEP + i as Micros) % (DATAGRAM_INTERVAL / STEP) == 0 && !peers.is_empty() {
                let to = peers[self.rng.random_range(0..peers.len())];
                if let Some(message) = self.states[i].piggyback(now, MAX_DATAGRAM_BYTES) {
                    self.transmit(i, to, message);
                }
            }
        }
    }

    fn run(&mut self, span: Micros, busy: bool) {
        (0..span / STEP).for_each(|_| self.step(busy));
    }

    fn equal(&self) -> bool {
        self.states.iter().all(|r| r.store().digest() == self.states[0].store().digest())
    }

    /// Runs until all states are equal. Returns the most exchanges that one proxy started meanwhile, and the
    /// virtual time it took.
    fn converge(&mut self) -> Option<(u64, Micros)> {
        let before: Vec<u64> = self.states.iter().map(|r| r.stats.exchanges_started).collect();
        let start = self.now;
        while !self.equal() {
            if self.now - start > 60_000 * MS {
                return None;
            }
            self.step(false);
        }
        let started = self.states.iter().zip(before).map(|(r, was)| r.stats.exchanges_started - was);
        Some((started.max().unwrap_or(0), self.now - start))
    }
}

#[test]
fn states_converge_after_partition_and_restart() {
    for (n, loss) in [(3, 0.0), (30, 0.0), (30, 0.2), (100, 0.0)] {
        let mut fleet = Fleet::new(n, loss, 7);
        fleet.run(3_000 * MS, true);
        (0..n / 3).for_each(|i| fleet.side[i] = true);
        fleet.run(10_000 * MS, true);
        assert!(!fleet.equal(), "states are equal across a partition");
        fleet.side.fill(false);
        let (rounds, span) =
            fleet.converge().expect("states not equal within a minute after the partition healed");
        assert!(rounds <= 60, "{n} proxies: {rounds} exchanges after a healed partition");
        fleet.run(3_000 * MS, true);
        let now = fleet.now;
        fleet.states[n - 1] = SharedState::new(999, SharedStateConfig::default(), 5, now);
        let (again, restart) = fleet.converge().expect("states not equal within a minute after a restart");
        assert!(again <= 60, "{n} proxies: {again} exchanges after a restart");
        println!(
            "{n} proxies at {loss} loss: equal {rounds} exchanges and {} ms after a healed partition, \
             {again} exchanges and {} ms after a restart, {} entries",
            span / MS,
            restart / MS,
            fleet.states[0].store().len()
        );
    }
}

#[test]
fn bytes_sent_stay_within_budget_at_any_fleet_size() {
    for n in [3, 30, 100] {
        let mut fleet = Fleet::new(n, 0.0, 11);
        fleet.run(3_000 * MS, true);
        let (before, start) = (fleet.sent, fleet.now);
        fleet.run(15_000 * MS, true);
        let rate = (fleet.sent - before) as f64 / n as f64 / ((fleet.now - start) as f64 / 1e6);
        let max_entries = fleet.states.iter().map(|r| r.store().len()).max().unwrap_or(0);
        println!("{n} proxies: {rate:.0} bytes per proxy and second, {max_entries} entries");
        let budget = SharedStateConfig::default().bytes_per_second as f64;
        assert!(rate <= budget * 1.05, "{n} proxies: sent {rate:.0} bytes per second, budget {budget:.0}");
    }
}

#[test]
fn burst_beyond_budget_is_throttled_and_delivered() {
    let mut fleet = Fleet::new(5, 0.2, 3);
    fleet.run(2_000 * MS, false);
    let now = fleet.now;
    (0..2_000).for_each(|write| fleet.states[0].record_write_outcome(now, write, WriteOutcome::InDoubt));
    fleet.run(500 * MS, false);
    assert!(!fleet.equal(), "2,000 changes were delivered to all proxies within half a second");
    assert!(fleet.states[0].rumours().deferred > 0 || fleet.states[0].stats.throttled_messages > 0);
    fleet.converge().expect("states not equal within a minute after the burst");
    assert!((0..2_000).all(|write| fleet.states[4].is_in_doubt(write)));
}

/// An old message that a malicious proxy replays neither marks a member as suspected nor changes what is known
/// of a write, which stays in doubt although one of its sends was not executed.
#[test]
fn replayed_old_message_has_no_effect() {
    let mut fleet = Fleet::new(5, 0.0, 9);
    fleet.run(2_000 * MS, false);
    let (now, old) = (fleet.now, fleet.now);
    fleet.states[0].record_member_status(now, 1, MemberStatus::Suspected);
    fleet.states[0].record_write_outcome(now, 8, WriteOutcome::InDoubt);
    let message = fleet.states[0].piggyback(now, MAX_DATAGRAM_BYTES).expect("no rumour to send");
    fleet.run(2_000 * MS, false);
    let now = fleet.now;
    fleet.states[0].record_member_status(now, 1, MemberStatus::Alive);
    fleet.states[1].record_write_outcome(now, 8, WriteOutcome::NotExecuted);
    fleet.run(3_000 * MS, false);
    let entry = |state: &SharedState, key| state.store().get(&key).copied();
    let before: Vec<[Option<Entry>; 2]> = fleet
        .states
        .iter()
        .map(|r| [Key::MemberStatus(1), Key::WriteOutcome(8)].map(|key| entry(r, key)))
        .collect();
    let now = fleet.now;
    for (state, before) in fleet.states.iter_mut().zip(&before).skip(1) {
        state.take_updates();
        state.on_message(now, addr(0), &message);
        assert!(state.take_updates().is_empty(), "a replayed suspicion produced an update");
        assert!(state.is_in_doubt(8), "the doubt of one send is hidden by another send");
        assert_eq!([Key::MemberStatus(1), Key::WriteOutcome(8)].map(|key| entry(state, key)), *before);
    }
    assert!(
        matches!(before[4][0].map(|e| e.value()), Some(Value::MemberStatus { timestamp, .. }) if timestamp.wall > old)
    );
    fleet.run(11_000 * MS, false);
    let now = fleet.now;
    fleet.states[3].on_message(now, addr(0), &message);
    assert!(
        fleet.states[3].store().get(&Key::MemberStatus(1)).is_none(),
        "a suspicion past its time to live was accepted"
    );
}
