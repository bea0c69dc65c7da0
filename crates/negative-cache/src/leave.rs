//! One proxy's leave to write: held while any bank's is in force.

use crate::{Ask, Grant, Micros, Slot, Terms, Writes};
use std::collections::BTreeMap;

/// Asks to one bank that may be open; older ones are forgotten, and their answers come to nothing.
const OPEN_MOST: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Line {
    asked: u64,
    asked_at: Micros,
    /// Open asks, and when they were sent.
    open: BTreeMap<u64, Micros>,
    ends: Micros,
    had: Slot,
}

/// The leave of one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leave {
    holder: u64,
    terms: Terms,
    lines: Vec<Line>,
    ended: bool,
}

impl Leave {
    /// No leave yet, from so many banks. `holder` is a number that no other process has, nor had.
    pub fn new(holder: u64, terms: Terms, banks: usize) -> Leave {
        let line = Line {
            asked: 0,
            asked_at: Micros::MIN / 2,
            open: BTreeMap::new(),
            ends: Micros::MIN / 2,
            had: Slot::MIN / 2,
        };
        Leave { holder, terms, lines: vec![line; banks], ended: false }
    }

    /// Whether a write's first byte may go out now. To be asked just before it does, after [`Writes::begin`].
    pub fn may_write(&self, now: Micros) -> bool {
        !self.ended && self.lines.iter().any(|line| now < line.ends)
    }

    /// When the leave in force ends, by this proxy's clock: a write's last byte must be out by then.
    pub fn ends(&self) -> Option<Micros> {
        self.lines.iter().map(|line| line.ends).max().filter(|_| !self.ended)
    }

    /// The asks that are due, each to the bank of that index.
    pub fn asks(&mut self, now: Micros, writes: &Writes) -> Vec<(usize, Ask)> {
        let mut asks = Vec::new();
        for (bank, line) in self.lines.iter_mut().enumerate() {
            if now - line.asked_at < self.terms.ask_every {
                continue;
            }
            line.asked_at = now;
            line.asked += 1;
            if line.open.len() >= OPEN_MOST {
                line.open.pop_first();
            }
            line.open.insert(line.asked, now);
            let last = if self.ended { writes.last() } else { None };
            let notes = writes.notes_after(line.had);
            asks.push((bank, Ask { holder: self.holder, number: line.asked, notes, last }));
        }
        asks
    }

    /// A bank's answer to an ask.
    pub fn granted(&mut self, bank: usize, grant: &Grant) {
        let Some(line) = self.lines.get_mut(bank).filter(|_| grant.holder == self.holder) else { return };
        line.had = line.had.max(grant.had);
        // What it answers is forgotten with all that was asked before.
        let Some(sent) = line.open.remove(&grant.ask) else { return };
        line.ends = line.ends.max(sent + self.terms.held_for());
    }

    /// The process ends in order: no write begins any more, and the banks need not wait for what they never hear.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Banks whose leave is in force.
    pub fn held(&self, now: Micros) -> usize {
        self.lines.iter().filter(|line| now < line.ends).count()
    }
}
