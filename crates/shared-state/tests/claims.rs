//! Tests of claims of writes: at most one claim of a write is granted, whatever the network does to their
//! messages, and every claim is decided in bounded time.

use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use wharfplank_shared_state::{
    ClaimDecision, ClaimId, ClaimRegistry, Key, Micros, SharedState, SharedStateConfig, WriteOutcome,
    CLAIM_TIMEOUT,
};

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;
const WRITE: u64 = 77;

fn address(proxy: usize) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 20_000 + proxy as u16)
}

/// Proxies in virtual time, on a network that delays, loses and duplicates datagrams.
struct Fleet {
    states: Vec<SharedState>,
    /// Proxies that send and receive nothing.
    silent: BTreeSet<usize>,
    loss: f64,
    now: Micros,
    /// Datagrams in flight: arrival time, sender, receiver, bytes.
    in_flight: Vec<(Micros, usize, usize, Vec<u8>)>,
    /// Decisions: proxy, request, decision and its time.
    decisions: Vec<(usize, u64, ClaimDecision, Micros)>,
    rng: SmallRng,
}

impl Fleet {
    fn new(proxies: usize, loss: f64, seed: u64) -> Fleet {
        let states = (0..proxies)
            .map(|proxy| {
                let config =
                    SharedStateConfig { local_address: address(proxy), ..SharedStateConfig::default() };
                let mut state = SharedState::new(proxy as u64 + 1, config, seed, START);
                let peers = (0..proxies).filter(|peer| *peer != proxy).map(address);
                state.set_live_peers(START, peers);
                state
            })
            .collect();
        Fleet {
            states,
            silent: BTreeSet::new(),
            loss,
            now: START,
            in_flight: Vec::new(),
            decisions: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// A fleet whose proxies have answered each other's claims.
    fn acquainted(proxies: usize, loss: f64, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(proxies, 0.0, seed);
        for write in 0..20 * proxies as u64 {
            for proxy in 0..proxies {
                fleet.states[proxy].claim_write(fleet.now, write << 32 | proxy as u64, 1_000 + write);
            }
            fleet.step();
        }
        fleet.run(2 * CLAIM_TIMEOUT);
        assert!(fleet.decisions.iter().all(|(.., decision, _)| *decision == ClaimDecision::Granted));
        fleet.decisions.clear();
        fleet.loss = loss;
        fleet
    }

    fn step(&mut self) {
        self.now += MS;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight).into_iter().partition(|(at, ..)| *at <= now);
        self.in_flight = later;
        let due: Vec<(Micros, usize, usize, Vec<u8>)> = due;
        for (_, from, to, bytes) in due {
            if !self.silent.contains(&to) {
                self.states[to].on_message(now, address(from), &bytes);
            }
        }
        for proxy in 0..self.states.len() {
            self.states[proxy].tick(now);
            let decisions = self.states[proxy].take_claim_decisions();
            self.decisions
                .extend(decisions.into_iter().map(|(request, decision)| (proxy, request, decision, now)));
            for (to, bytes) in self.states[proxy].take_datagrams() {
                self.transmit(proxy, usize::from(to.port()) - 20_000, bytes);
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if self.silent.contains(&from) || self.rng.random::<f64>() < self.loss {
            return;
        }
        let copies = if self.rng.random::<f64>() < self.loss / 2.0 { 2 } else { 1 };
        for _ in 0..copies {
            let arrives_at = self.now + self.rng.random_range(0..15 * MS);
            self.in_flight.push((arrives_at, from, to, bytes.clone()));
        }
    }

    fn run(&mut self, span: Micros) {
        (0..span / MS).for_each(|_| self.step());
    }

    /// Claims a write and returns the decision with the time that it took.
    fn claim(&mut self, proxy: usize, write: u64, request: u64) -> (ClaimDecision, Micros) {
        let since = self.now;
        self.states[proxy].claim_write(since, write, request);
        self.wait_for(proxy, request, since)
    }

    fn release(&mut self, proxy: usize, write: u64, request: u64) -> (ClaimDecision, Micros) {
        let since = self.now;
        self.states[proxy].release_write(since, write, request);
        self.wait_for(proxy, request, since)
    }

    fn wait_for(&mut self, proxy: usize, request: u64, since: Micros) -> (ClaimDecision, Micros) {
        let seen = self.decisions.len();
        loop {
            self.step();
            let mut decided = self.decisions[seen..].iter();
            if let Some((.., decision, at)) = decided.find(|(p, r, ..)| (*p, *r) == (proxy, request)) {
                return (*decision, at - since);
            }
            assert!(self.now - since <= 2 * CLAIM_TIMEOUT, "a claim was not decided in time");
        }
    }
}

proptest! {
    /// Guards against a write that two proxies send: whenever its clients send it again, and whichever
    /// datagrams are lost, late or duplicated, at most one claim is granted.
    #[test]
    fn at_most_one_claim_of_a_write_is_granted(
        proxies in 2..8_usize,
        loss in 0.0..0.6_f64,
        seed in any::<u64>(),
        tries in prop::collection::vec((0..8_usize, 0..250_i64), 2..6),
    ) {
        let mut fleet = Fleet::acquainted(proxies, loss, seed);
        for (request, (proxy, pause)) in tries.iter().enumerate() {
            let (proxy, now) = (proxy % proxies, fleet.now);
            fleet.states[proxy].claim_write(now, WRITE, request as u64 + 2_000);
            fleet.run(pause * MS);
        }
        fleet.run(2 * CLAIM_TIMEOUT);
        prop_assert_eq!(fleet.decisions.len(), tries.len(), "every claim is decided once");
        let granted = fleet.decisions.iter().filter(|(.., decision, _)| *decision == ClaimDecision::Granted);
        prop_assert!(granted.count() <= 1, "{:?}", fleet.decisions);
    }
}

#[test]
fn a_claim_is_granted_within_a_round_trip_and_then_denied_elsewhere() {
    for proxies in [1, 2, 3, 30] {
        let mut fleet = Fleet::acquainted(proxies, 0.0, 7);
        let (decision, span) = fleet.claim(0, WRITE, 1);
        assert_eq!(decision, ClaimDecision::Granted, "{proxies} proxies");
        assert!(span <= 35 * MS, "{proxies} proxies: granted after {span} us");
        for proxy in 0..proxies {
            assert_eq!(fleet.claim(proxy, WRITE, 5_000).0, ClaimDecision::Denied, "proxy {proxy}");
        }
    }
}

#[test]
fn a_released_write_can_be_claimed_elsewhere_at_once() {
    for proxies in [2, 3, 30] {
        let mut fleet = Fleet::acquainted(proxies, 0.0, 3);
        assert_eq!(fleet.claim(0, WRITE, 1).0, ClaimDecision::Granted);
        assert_eq!(fleet.release(0, WRITE, 1).0, ClaimDecision::Granted);
        assert_eq!(fleet.claim(1, WRITE, 1).0, ClaimDecision::Granted);
        // The first release arrives again, late: it must not release the second claim.
        fleet.release(0, WRITE, 1);
        assert_eq!(fleet.claim(0, WRITE, 2).0, ClaimDecision::Denied);
    }
}

/// Guards against a write sent while it is not known whether a peer has sent it, and against a request that
/// waits for peers without a bound.
#[test]
fn without_a_majority_a_claim_is_unavailable_in_bounded_time() {
    let mut fleet = Fleet::acquainted(3, 0.0, 5);
    fleet.silent.insert(2);
    assert_eq!(fleet.claim(0, WRITE, 1).0, ClaimDecision::Granted, "two of three are a majority");
    fleet.silent.insert(1);
    for request in 2..6 {
        let (decision, span) = fleet.claim(0, WRITE + request, request);
        assert_eq!(decision, ClaimDecision::Unavailable);
        assert!(span <= CLAIM_TIMEOUT + MS, "decided after {span} us");
    }
    // The membership finds that the peers have ended.
    let now = fleet.now;
    fleet.states[0].set_live_peers(now, std::iter::empty());
    assert_eq!(fleet.claim(0, WRITE + 2, 10).0, ClaimDecision::Granted);
}

#[test]
fn peers_of_an_earlier_version_do_not_stop_writes() {
    let mut fleet = Fleet::new(3, 0.0, 5);
    fleet.silent.extend([1, 2]);
    let (decision, span) = fleet.claim(0, WRITE, 1);
    assert_eq!(decision, ClaimDecision::Granted);
    assert!(span <= CLAIM_TIMEOUT + MS);
    fleet.run(5_000 * MS);
    assert!(fleet.claim(0, WRITE + 1, 2).1 <= MS, "peers that never answer are not waited for any more");
    // A peer that stops answering, as after a return to an earlier version, while it stays in the membership.
    let mut fleet = Fleet::acquainted(2, 0.0, 5);
    fleet.silent.insert(1);
    assert_eq!(fleet.claim(0, WRITE, 1).0, ClaimDecision::Unavailable);
    fleet.run(5_000 * MS);
    assert_eq!(fleet.claim(0, WRITE, 2).0, ClaimDecision::Granted);
}

#[test]
fn a_write_in_doubt_is_denied() {
    let mut fleet = Fleet::acquainted(3, 0.0, 5);
    let now = fleet.now;
    fleet.states[1].record_write_outcome(now, WRITE, WriteOutcome::InDoubt);
    assert_eq!(fleet.claim(1, WRITE, 1).0, ClaimDecision::Denied);
    fleet.run(50 * MS);
    assert_eq!(fleet.claim(0, WRITE, 1).0, ClaimDecision::Denied);
}

#[test]
fn the_registry_is_bounded_and_expires_claims() {
    let mut registry = ClaimRegistry::new(3);
    let claim = |process, request| ClaimId { process, request };
    for write in 0..5 {
        assert!(registry.register(write as Micros, write, claim(1, write)));
    }
    assert_eq!((registry.len(), registry.evicted), (3, 2));
    assert!(!registry.register(9, 4, claim(2, 0)), "held by process 1");
    assert!(!registry.register(9, 4, claim(1, 3)), "an earlier claim of the same process");
    assert!(registry.register(9, 4, claim(1, 5)), "a later claim of the same process");
    registry.release(4, claim(1, 4));
    assert!(registry.is_held_by_other(4, claim(2, 0)), "only the holder can release a write");
    registry.expire(9 + Key::WriteOutcome(0).time_to_live());
    assert_eq!(registry.len(), 1);
    registry.expire(10 + Key::WriteOutcome(0).time_to_live());
    assert!(registry.is_empty());
}
