//! Proxies, some of them banks, and members in virtual time, each proxy with a clock of its own, on a wire that loses,
//! doubles, delays and cuts.

use crate::cast::{Cast, MS, S};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use wharfplank_rollout::{
    Action, Allowance, Deed, Id, Identity, Kind, Launch, Ledger, Micros, Order, Place, Roster, Sight,
    Station, Terms,
};

pub const STEP: Micros = 50 * MS;
const PROBE: Micros = 500 * MS;

#[derive(Clone)]
pub enum Message {
    Probe(Micros),
    Sight(Id, Sight),
    /// From one station to another.
    Station(Vec<u8>),
    Order(Order),
    HandOver(Id, Launch),
    Drains(u64, Vec<Id>),
}

/// Where a message goes.
#[derive(Clone, Copy, PartialEq)]
pub enum To {
    Proxy(usize),
    Member(Id),
}

pub struct Proxy {
    pub station: Station,
    /// The bank's ledger as it was written last.
    pub disk: Option<Ledger>,
    pub offset: Micros,
    pub alive: bool,
    pub paused_until: Micros,
    pub side: bool,
    pub heard: u64,
    generation: u64,
}

pub struct World {
    pub now: Micros,
    pub rng: SmallRng,
    pub cast: Cast,
    pub proxies: Vec<Proxy>,
    pub roster: Roster,
    pub terms: Terms,
    pub loss: f64,
    /// A copy of so many of the messages comes an hour late.
    pub hour_late: f64,
    pub log: Vec<(Micros, usize, Action)>,
    pub flying: BTreeMap<(Micros, u64), (usize, To, Message)>,
    pub sent: u64,
}

impl World {
    pub fn new(
        groups: u32,
        each: u32,
        allowance: Allowance,
        restart: (Micros, Micros),
        proxies: usize,
        seed: u64,
    ) -> World {
        let place = |id: u32| {
            let group = id / each;
            Place { id: id.into(), group, zone: (id % each + group / 3) % 3, kind: Kind::Member }
        };
        let places: Vec<Place> = (0..groups * each).map(place).collect();
        let (cast, roster) = (Cast::new(&places, allowance, restart), Roster::new(places, allowance));
        let terms = Terms { watch: 2 * S, ready_within: 40 * S, ..Terms::default() };
        let mut rng = SmallRng::seed_from_u64(seed);
        let identity = Identity { rank: 1, number: 0, bank: None };
        let proxies = (0..proxies)
            .map(|i| Proxy {
                station: Station::new(identity, roster.clone(), terms.clone(), None, 0),
                disk: ((i as u32) < roster.banks()).then(Ledger::default),
                offset: rng.random_range(0..500 * MS),
                alive: false,
                paused_until: 0,
                side: false,
                heard: 0,
                generation: 0,
            })
            .collect();
        let (flying, log) = (BTreeMap::new(), vec![]);
        let mut world = World {
            now: 0,
            rng,
            cast,
            proxies,
            roster,
            terms,
            loss: 0.0,
            hour_late: 0.0,
            log,
            flying,
            sent: 0,
        };
        (0..world.proxies.len()).for_each(|i| world.launch(i));
        world
    }

    /// Other terms, before anything happened.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
        (0..self.proxies.len()).for_each(|i| self.launch(i));
    }

    pub fn clock(&self, i: usize) -> Micros {
        self.now + self.proxies[i].offset
    }

    /// Starts a proxy's process: it knows its disk, and the releases from others.
    pub fn launch(&mut self, i: usize) {
        let now = self.clock(i);
        let (roster, terms) = (self.roster.clone(), self.terms.clone());
        let proxy = &mut self.proxies[i];
        proxy.generation += 1;
        let number = (proxy.generation << 16) + i as u64;
        let bank = ((i as u32) < roster.banks()).then_some(i as u32);
        let identity = Identity { rank: i as u64 + 1, number, bank };
        proxy.station = Station::new(identity, roster, terms, proxy.disk.clone(), now);
        (proxy.alive, proxy.heard) = (true, 0);
        // Who is there is the membership's to say: it knows all, dead ones too.
        let others = (1..=self.proxies.len() as u64).filter(|rank| *rank != i as u64 + 1).collect();
        self.proxies[i].station.alive(others);
    }

    pub fn step(&mut self) {
        self.now += STEP;
        while let Some(((at, number), _)) = self.flying.first_key_value() {
            if *at > self.now {
                break;
            }
            let key = (*at, *number);
            let Some((proxy, to, message)) = self.flying.remove(&key) else { break };
            self.deliver(proxy, to, message);
        }
        for i in 0..self.proxies.len() {
            if self.proxies[i].alive && self.proxies[i].paused_until <= self.now {
                self.tick(i);
            }
        }
        if self.cast.out_by_order(self.now) > self.cast.allowance.fleet {
            self.cast.breaches.push(format!("{} out by orders", self.cast.out_by_order(self.now)));
        }
    }

    fn tick(&mut self, i: usize) {
        let clock = self.clock(i);
        let due = |every: Micros, now: Micros| (now / STEP + i as Micros * 3) % (every / STEP) == 0;
        if due(PROBE, self.now) {
            (0..self.cast.members.len() as Id)
                .for_each(|id| self.put(i, To::Member(id), Message::Probe(clock)));
            let drained =
                self.cast.members.iter().filter(|m| m.drained_at.is_some()).map(|m| m.place.id).collect();
            self.put(i, To::Proxy(i), Message::Drains(self.now as u64, drained));
        }
        let station = &mut self.proxies[i].station;
        station.tick(clock);
        let (sends, deeds) = (station.take_sends(), station.take_deeds());
        for (to, bytes) in sends {
            let to = match to {
                wharfplank_rollout::To::Bank(bank) => bank as usize,
                wharfplank_rollout::To::Proxy(rank) => rank as usize - 1,
            };
            self.put(i, To::Proxy(to), Message::Station(bytes));
        }
        for deed in deeds {
            match deed {
                Deed::Order(order) => self.put(i, To::Member(order.id), Message::Order(order)),
                Deed::HandOver(id, launch) => self.put(i, To::Member(id), Message::HandOver(id, launch)),
                Deed::Did(_, action) => self.log.push((self.now, i, action)),
            }
        }
        // The disk is a step behind: a process that is killed leaves what was written before.
        let station = &mut self.proxies[i].station;
        if let Some(ledger) = station.ledger().cloned() {
            station.kept(ledger.changes);
            for permit in ledger.held() {
                self.cast.given.entry((permit.id, permit.launch)).or_insert(self.now);
            }
            self.proxies[i].disk = Some(ledger);
        }
    }
}
