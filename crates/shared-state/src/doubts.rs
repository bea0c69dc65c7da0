//! The writes in doubt alone, for the thread that takes requests: what it needs at once, while the whole copy is elsewhere.

use crate::entry::{Doubt, Key};
use crate::Micros;
use std::collections::{BTreeSet, HashMap};

/// A bounded table of writes in doubt, by the rule of the replicated state. What was vouched for longest ago gives way.
#[derive(Clone, Debug, Default)]
pub struct Doubts {
    held: HashMap<u64, (Doubt, Micros)>,
    ages: BTreeSet<(Micros, u64)>,
    most: usize,
    /// Writes that had to give way before their end.
    pub dropped: u64,
}

impl Doubts {
    /// An empty table of at most so many writes.
    pub fn bounded(most: usize) -> Doubts {
        Doubts { most: most.max(1), ..Doubts::default() }
    }

    /// Merges in what is known of a write, vouched for at `at`: more is known to the right, and the newer time holds.
    pub fn merge(&mut self, write: u64, doubt: Doubt, at: Micros) {
        let merged = match self.held.get(&write) {
            Some((held, was)) => (doubt.max(*held), at.max(*was)),
            None => (doubt, at),
        };
        if let Some((_, was)) = self.held.insert(write, merged) {
            self.ages.remove(&(was, write));
        }
        self.ages.insert((merged.1, write));
        if self.held.len() > self.most {
            self.dropped += u64::from(self.end_first(Micros::MAX));
        }
    }

    /// Whether a write may have run, or ran, as far as is known: it must not be sent again.
    pub fn has(&self, write: u64) -> bool {
        matches!(self.held.get(&write), Some((Doubt::Open | Doubt::Ran, _)))
    }

    /// Ends what is past its life.
    pub fn expire(&mut self, now: Micros) {
        while self.end_first(now - Key::Doubt(0).life()) {}
    }

    fn end_first(&mut self, before: Micros) -> bool {
        let first = self.ages.first().copied().filter(|(at, _)| *at < before);
        if let Some((at, write)) = first {
            self.ages.remove(&(at, write));
            self.held.remove(&write);
        }
        first.is_some()
    }

    /// How many are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_table_follows_the_rule_whatever_the_order_and_is_bounded() {
        let life = Key::Doubt(0).life();
        let mut doubts = Doubts::bounded(3);
        doubts.merge(1, Doubt::NotRun, 5);
        doubts.merge(1, Doubt::Open, 9);
        assert!(!doubts.has(1), "it is known not to have run");
        doubts.merge(1, Doubt::Ran, 2);
        assert!(doubts.has(1));
        doubts.expire(life + 9);
        assert_eq!(doubts.len(), 1, "vouched for at 9");
        doubts.expire(life + 10);
        assert!(doubts.is_empty() && !doubts.has(1));
        (1..=5).for_each(|write| doubts.merge(write, Doubt::Open, 100 + write as Micros));
        assert_eq!((doubts.len(), doubts.dropped, doubts.has(2), doubts.has(3)), (3, 2, false, true));
    }
}
