//! A bank: gives leave to write, collects the notes of those that have it, and seals slots.

use crate::{Mark, Micros, Note, Slot, Terms, Window, KEPT};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Holders kept at most; past that a new one gets no leave.
pub const HOLDERS_MOST: usize = 1_024;
/// Marks of one seal at most; past that it marks every key.
pub const SEAL_MARKS_MOST: usize = 8_192;

/// A holder asks a bank for leave to write, and brings its notes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// The holder: a number that no other process has, nor had.
    pub holder: u64,
    /// Grows with each ask of this holder to this bank.
    pub number: u64,
    /// Notes that the bank has not said to have.
    pub notes: Vec<Note>,
    /// The holder ends: it begins no write any more, and none commits after this slot.
    pub last: Option<Slot>,
}

/// A bank's leave to write.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// To whom.
    pub holder: u64,
    /// The ask that it answers: the leave counts from when that was sent.
    pub ask: u64,
    /// The bank has all notes up to this slot.
    pub had: Slot,
}

/// What a bank says of a slot: all that wrote in it by its leave touched no key but these.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Seal {
    /// The bank.
    pub bank: u32,
    /// When its process started, by its clock.
    pub launch: Micros,
    /// The slot.
    pub slot: Slot,
    /// Every key of every group may have been written.
    pub every: bool,
    /// The keys, in rising order.
    pub marks: Vec<Mark>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Account {
    asked: u64,
    /// The first slot in which a write of its by this leave may commit.
    from: Slot,
    /// When its leave ends.
    ends: Micros,
    /// The last slot in which a write of its may commit, if it said so.
    last: Option<Slot>,
    had: Window,
}

impl Account {
    fn last(&self, terms: &Terms) -> Slot {
        self.last.unwrap_or_else(|| terms.reaches(self.ends))
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Sum {
    every: bool,
    marks: BTreeSet<Mark>,
}

/// A bank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bank {
    id: u32,
    terms: Terms,
    launch: Micros,
    now: Micros,
    opens_at: Micros,
    /// The first slot that it seals: in older ones may have written who had leave of its forerunner.
    since: Slot,
    accounts: BTreeMap<u64, Account>,
    sums: BTreeMap<Slot, Sum>,
    sealed: Window,
    /// Asks that got no leave: before the bank opens, out of order, or past a bound.
    pub ignored: u64,
}

impl Bank {
    /// A bank whose process has just started. There is one process of each bank.
    pub fn new(id: u32, terms: Terms, now: Micros) -> Bank {
        let (accounts, sums) = (BTreeMap::new(), BTreeMap::new());
        let (launch, sealed) = (now, Window::new(terms.slot_of(now) - KEPT / 2));
        let mut bank =
            Bank { id, terms, launch, now, opens_at: 0, since: 0, accounts, sums, sealed, ignored: 0 };
        bank.abstain(now);
        bank
    }

    /// Gives no leave before every leave of its forerunner has ended, and seals nothing before the last write by one.
    fn abstain(&mut self, now: Micros) {
        self.opens_at = now + self.terms.life + 2 * self.terms.apart;
        self.since = self.terms.reaches(self.opens_at) + 1;
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// From when on it gives leave.
    pub fn opens_at(&self) -> Micros {
        self.opens_at
    }

    fn moves(&mut self, now: Micros) {
        // What stood still for a leave's life may have a successor by now, whose holders it does not know.
        if now - self.now > self.terms.life {
            (self.launch, self.accounts) = (now, BTreeMap::new());
            self.abstain(now);
        }
        self.now = self.now.max(now);
        let base = self.terms.slot_of(self.now) - KEPT / 2;
        self.sealed.shift(base);
        self.sums.retain(|slot, _| *slot >= base);
        let terms = &self.terms;
        self.accounts.retain(|_, account| account.last(terms) >= base);
        self.accounts.values_mut().for_each(|account| account.had.shift(base));
    }

    /// Answers an ask, with at most one leave.
    pub fn asked(&mut self, now: Micros, ask: &Ask) -> Option<Grant> {
        self.moves(now);
        let now = self.now;
        let full = !self.accounts.contains_key(&ask.holder) && self.accounts.len() >= HOLDERS_MOST;
        if now < self.opens_at || full {
            self.ignored += 1;
            return None;
        }
        let fresh = Account {
            asked: 0,
            from: self.terms.slot_of(now - self.terms.apart),
            ends: now,
            last: None,
            had: Window::new(self.sealed.base()),
        };
        if ask.last.is_none() {
            self.accounts.entry(ask.holder).or_insert(fresh);
        }
        let account = self.accounts.get_mut(&ask.holder)?;
        // A note is as true late or twice as at once.
        for note in &ask.notes {
            if account.had.has(note.slot) || !account.had.set(note.slot) {
                continue;
            }
            let sum = self.sums.entry(note.slot).or_default();
            sum.marks.extend(note.marks.iter().copied());
            sum.every |= note.every || sum.marks.len() > SEAL_MARKS_MOST;
            if sum.every {
                sum.marks.clear();
            }
        }
        // An ask that comes late or twice gives no leave: it was sent before who knows what.
        if ask.number <= account.asked || account.last.is_some() {
            self.ignored += 1;
            return None;
        }
        account.asked = ask.number;
        account.last = ask.last;
        account.ends = now + if ask.last.is_none() { self.terms.life } else { 0 };
        let first = account.from.max(account.had.base());
        Some(Grant { holder: ask.holder, ask: ask.number, had: first + account.had.run(first) - 1 })
    }

    /// Seals the slots that all who may have written in them have closed, and in which nobody can write any more to
    /// whom leave is given from now on.
    pub fn seal(&mut self, now: Micros) -> Vec<Seal> {
        self.moves(now);
        let mut seals = Vec::new();
        let mut slot = self.since.max(self.sealed.base());
        while self.terms.past(self.now, slot) {
            let waits = |a: &Account| a.from <= slot && slot <= a.last(&self.terms) && !a.had.has(slot);
            if !self.sealed.has(slot) && !self.accounts.values().any(waits) {
                self.sealed.set(slot);
                let sum = self.sums.remove(&slot).unwrap_or_default();
                let (marks, every) = (sum.marks.into_iter().collect(), sum.every);
                seals.push(Seal { bank: self.id, launch: self.launch, slot, every, marks });
            }
            slot += 1;
        }
        seals
    }

    /// Those whose notes it waits for or has: with leave, or without since not long.
    pub fn holders(&self) -> usize {
        self.accounts.len()
    }
}
