//! A fleet in virtual time: proxies and banks that run the real crate, each by its own clock, a primary whose history
//! is kept whole, replicas that lag, and a network that loses, doubles and delays. Every answer of "missing" is held
//! against the history.

// Each test uses a part of it.
#![allow(dead_code)]

pub mod model;
mod play;

use model::{History, Zipf};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_negative_cache::*;

pub const STEP: Micros = 10_000;
pub const SECOND: Micros = 1_000_000;

#[derive(Clone)]
enum Msg {
    Ask(usize, Ask),
    Grant(usize, Grant),
    Seal(Seal),
    Told(Told),
    Copy(Box<Closed>),
    /// A read reaches a member that lags so much, and its answer comes.
    Read(Asked, u64, Micros),
    Answer(Asked, Option<Micros>),
    /// A write reaches the primary, and its answer, if any, comes.
    Write(Ticket, u64, bool),
    Done(Ticket, u64, Micros),
    Doubt(Ticket),
}

pub struct Proxy {
    off: Micros,
    pub alive: bool,
    pub paused_until: Micros,
    pub missing: Missing,
    writes: Writes,
    leave: Leave,
    /// Keys that random questions of an attacker ask for are new each time, and asked so often.
    pub flood: u32,
}

struct BankNode {
    off: Micros,
    down_until: Micros,
    bank: Bank,
}

/// What the run does, and what goes wrong.
#[derive(Clone)]
pub struct Plan {
    pub terms: Terms,
    pub proxies: usize,
    pub banks: usize,
    pub together: bool,
    pub keys: usize,
    /// Reads of missing keys at each proxy, and writes, a second.
    pub reads: f64,
    pub writes: f64,
    pub loss: f64,
    pub twice: f64,
    pub delay_most: Micros,
    pub lag_most: Micros,
}

impl Default for Plan {
    fn default() -> Plan {
        let terms = Terms {
            apart: 20_000,
            late: 3 * SECOND,
            facts_most: 4_096,
            once_most: 4_096,
            ..Terms::default()
        };
        Plan {
            terms,
            proxies: 7,
            banks: 3,
            together: true,
            keys: 300,
            reads: 20.0,
            writes: 1.0,
            loss: 0.0,
            twice: 0.0,
            delay_most: 20_000,
            lag_most: 400_000,
        }
    }
}

/// What came of it.
#[derive(Default, Debug, Clone)]
pub struct Sum {
    pub wrong: Vec<String>,
    pub reads: u64,
    pub repeats: u64,
    pub repeats_asked: u64,
    pub asked: u64,
    pub answered: u64,
    /// Answers of "missing" from a fact that had moved further than any member told.
    pub moved: u64,
    pub writes: u64,
    pub no_leave: u64,
    pub flooded: u64,
}

pub struct World {
    pub now: Micros,
    pub plan: Plan,
    pub rng: SmallRng,
    hasher: Hasher,
    zipf: Zipf,
    pub history: History,
    banks: Vec<BankNode>,
    pub proxies: Vec<Proxy>,
    /// Proxies that reach members alone.
    pub cut: BTreeSet<usize>,
    /// Proxies and banks that do not reach each other.
    pub deaf: BTreeSet<(usize, usize)>,
    mail: BTreeMap<(Micros, u64), (usize, Msg)>,
    number: u64,
    seen: BTreeSet<u64>,
    commits: Vec<(u64, Micros)>,
    pub sum: Sum,
}

impl World {
    pub fn new(plan: Plan, seed: u64) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (now, half) = (1_000 * SECOND, plan.terms.apart / 2);
        let history = History::new(rng.random_range(-half..=half));
        let bank = |id: usize, rng: &mut SmallRng| {
            let off = rng.random_range(-half..=half);
            BankNode { off, down_until: 0, bank: Bank::new(id as u32, plan.terms.clone(), now + off) }
        };
        let banks = (0..plan.banks).map(|id| bank(id, &mut rng)).collect();
        let zipf = Zipf::new(plan.keys);
        let (cut, deaf, mail, seen, commits) = Default::default();
        let (hasher, proxies, sum) = (Hasher::new([9; 16]), vec![], Sum::default());
        let n = plan.proxies;
        let mut world = World {
            now,
            plan,
            rng,
            hasher,
            zipf,
            history,
            banks,
            proxies,
            cut,
            deaf,
            mail,
            number: 0,
            seen,
            commits,
            sum,
        };
        (0..n).for_each(|_| world.join());
        world
    }

    /// A new proxy, which nobody has heard of.
    pub fn join(&mut self) {
        let half = self.plan.terms.apart / 2;
        let off = self.rng.random_range(-half..=half);
        let (at, n, terms) = (self.now + off, self.proxies.len(), self.plan.terms.clone());
        let banks = if self.plan.together { self.plan.banks } else { 0 };
        let missing = Missing::new(terms.clone(), banks, at);
        let (writes, leave) =
            (Writes::new(terms.clone(), at), Leave::new(n as u64 + 1, terms, self.plan.banks));
        let (alive, paused_until, flood) = (true, 0, 0);
        self.proxies.push(Proxy { off, alive, paused_until, missing, writes, leave, flood });
    }

    /// A killed proxy starts anew; what it knew comes back from its snapshot if it had one.
    pub fn restart(&mut self, n: usize, snapshot: bool) {
        // A number that no other process has, nor had.
        self.number += 1;
        let (number, now) = (1_000_000 + self.number, self.now);
        let terms = self.plan.terms.clone();
        let p = &mut self.proxies[n];
        p.alive = true;
        p.writes = Writes::new(terms.clone(), now + p.off);
        p.leave = Leave::new(number, terms.clone(), self.plan.banks);
        if !snapshot {
            p.missing = Missing::new(terms, self.plan.banks, now + p.off);
        }
    }

    /// A bank's process is lost with all it knew, and another takes its place.
    pub fn replace_bank(&mut self, bank: usize, down: Micros) {
        let node = &mut self.banks[bank];
        node.down_until = self.now + down;
        node.bank = Bank::new(bank as u32, self.plan.terms.clone(), node.down_until + node.off);
    }

    fn send(&mut self, to: usize, msg: Msg) {
        let copies = 1 + usize::from(self.rng.random_bool(self.plan.twice));
        for _ in 0..copies {
            if !self.rng.random_bool(self.plan.loss) {
                let delay = self.rng.random_range(1_000..=self.plan.delay_most);
                self.post(delay, to, msg.clone());
            }
        }
    }

    fn post(&mut self, delay: Micros, to: usize, msg: Msg) {
        self.number += 1;
        self.mail.insert((self.now + delay, self.number), (to, msg));
    }

    fn spread(&mut self, msg: &Msg) {
        let n = self.proxies.len();
        for to in rand::seq::index::sample(&mut self.rng, n, n.min(4)) {
            self.send(to, msg.clone());
        }
    }
}
