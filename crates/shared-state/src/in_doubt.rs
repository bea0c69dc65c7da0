//! The outcomes of writes only, for the thread that serves requests. That thread must decide without delay
//! whether a write may be sent, while the full state is owned by another thread.

use crate::key::Key;
use crate::value::WriteOutcome;
use crate::Micros;
use std::collections::{BTreeSet, HashMap};

/// The known outcome of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WriteRecord {
    /// The write.
    pub write: u64,
    /// Its outcome.
    pub outcome: WriteOutcome,
    /// The time of the last refresh, in microseconds.
    pub refreshed_at: Micros,
}

/// A bounded table of the outcomes of writes, merged by the rules of the replicated state. When the table is
/// full, the least recently refreshed entry is evicted.
#[derive(Clone, Debug, Default)]
pub struct InDoubtWrites {
    records: HashMap<u64, WriteRecord>,
    /// Refresh time and write, oldest first.
    by_age: BTreeSet<(Micros, u64)>,
    max_writes: usize,
    /// The number of writes evicted before their time to live was over.
    pub evicted: u64,
}

impl InDoubtWrites {
    /// Creates an empty table that holds at most `max_writes` writes, or one if that is 0.
    pub fn new(max_writes: usize) -> InDoubtWrites {
        InDoubtWrites { max_writes: max_writes.max(1), ..InDoubtWrites::default() }
    }

    /// Merges a record of a write: the greater outcome and the later time win.
    pub fn merge(&mut self, record: WriteRecord) {
        let write = record.write;
        let merged = match self.records.get(&write) {
            Some(known) => WriteRecord {
                write,
                outcome: record.outcome.max(known.outcome),
                refreshed_at: record.refreshed_at.max(known.refreshed_at),
            },
            None => record,
        };
        if let Some(previous) = self.records.insert(write, merged) {
            self.by_age.remove(&(previous.refreshed_at, write));
        }
        self.by_age.insert((merged.refreshed_at, write));
        if self.records.len() > self.max_writes && self.remove_oldest(Micros::MAX) {
            self.evicted += 1;
        }
    }

    /// Returns whether a write is known to have been, or may have been, executed and so must not be sent
    /// again.
    pub fn contains(&self, write: u64) -> bool {
        self.records.get(&write).is_some_and(|record| record.outcome.may_have_executed())
    }

    /// Removes the writes whose time to live is over.
    pub fn expire(&mut self, now: Micros) {
        let oldest_valid = now - Key::WriteOutcome(0).time_to_live();
        while self.remove_oldest(oldest_valid) {}
    }

    /// Removes the least recently refreshed write if its refresh was earlier than `before`. Returns whether
    /// it did.
    fn remove_oldest(&mut self, before: Micros) -> bool {
        let Some((refreshed_at, write)) = self.by_age.first().copied() else { return false };
        if refreshed_at >= before {
            return false;
        }
        self.by_age.pop_first();
        self.records.remove(&write);
        true
    }

    /// Returns the number of writes in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
