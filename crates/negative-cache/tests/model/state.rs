//! What the model checker's states hold.

use wharfplank_negative_cache::{Ask, Bank, Closed, Grant, Leave, Mark, Micros, Seal, Terms, Ticket, Writes};

pub const KEY: Mark = Mark(1);
/// Time goes in steps of half a slot.
pub const STEP: Micros = 4;

pub fn terms() -> Terms {
    Terms { slot: 2 * STEP, apart: 2, life: 3 * STEP, ask_every: 0, late: STEP, ..Terms::default() }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Flying {
    Ask(usize, usize, Ask),
    Grant(usize, usize, Grant),
    /// A write under way: by whom, and when its first byte went out.
    Write(usize, Ticket, Micros),
    /// The answer to a write.
    Done(usize, Ticket),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proxy {
    /// How far its clock is off.
    pub off: Micros,
    pub alive: bool,
    pub writes: Writes,
    pub leave: Leave,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: Micros,
    /// The clock of the primary is as far off the other way as that of the first proxy.
    pub primary_off: Micros,
    pub banks: Vec<Bank>,
    pub proxies: Vec<Proxy>,
    pub flying: Vec<Flying>,
    pub commits: Vec<Micros>,
    pub seals: Vec<Seal>,
    pub steps: u32,
    pub asks: u32,
    pub writes: u32,
    pub faults: u32,
    pub kills: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Act {
    Step,
    Ask(usize, usize),
    Write(usize),
    Deliver(usize),
    Lose(usize),
    Twice(usize),
    Kill(usize),
    Restart(usize),
}

#[derive(Clone)]
pub struct Bounds {
    pub proxies: usize,
    pub banks: usize,
    pub steps: u32,
    pub asks: u32,
    pub writes: u32,
    pub faults: u32,
    pub kills: u32,
}

impl State {
    pub fn deliver(&mut self, flying: Flying) {
        match flying {
            Flying::Ask(proxy, bank, ask) => {
                let grant = self.banks[bank].asked(self.now, &ask);
                self.flying.extend(grant.map(|grant| Flying::Grant(proxy, bank, grant)));
            }
            Flying::Grant(proxy, bank, grant) => self.proxies[proxy].leave.granted(bank, &grant),
            Flying::Write(proxy, ticket, _) => {
                self.commits.push(self.now + self.primary_off);
                self.flying.push(Flying::Done(proxy, ticket));
            }
            Flying::Done(proxy, ticket) => {
                let p = &mut self.proxies[proxy];
                p.writes.settled(self.now + p.off, ticket);
            }
        }
    }

    /// Whether every commit, also one that came after, is marked wherever a fact may cross it.
    pub fn right(&self) -> bool {
        let terms = terms();
        let mut closed = Closed::new(terms.clone(), self.banks.len(), self.now);
        self.seals.iter().for_each(|seal| {
            closed.take(self.now, seal);
        });
        let from = self.commits.iter().min().map_or(self.now, |c| c - 2 * terms.slot);
        (from..=self.now).all(|position| {
            let to = closed.forward(position, KEY, Mark(0));
            !self.commits.iter().any(|commit| position < *commit && *commit <= to)
        })
    }

    /// Whether a fact crosses a slot in which somebody had leave.
    pub fn moves(&self) -> bool {
        let last = self.seals.iter().map(|s| s.slot).max();
        last.is_some_and(|slot| {
            self.banks.iter().any(|bank| bank.holders() > 0)
                && (0..self.banks.len())
                    .all(|b| self.seals.iter().any(|s| s.bank == b as u32 && s.slot == slot))
        })
    }
}
