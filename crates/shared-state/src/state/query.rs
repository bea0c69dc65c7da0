//! Queries over the entries of all proxies.

use super::SharedState;
use crate::entry::Entry;
use crate::in_doubt::WriteRecord;
use crate::key::Key;
use crate::store::Store;
use crate::value::Value;
use wharfplank_health::ReportedObservation;

impl SharedState {
    /// Returns the value of a counter: the sum of the known counts of all processes. The count of a
    /// terminated process is included until its time to live is over.
    pub fn counter_total(&self, counter: u32) -> u64 {
        let local = self.counters.get(&counter).map_or(0, |local| local.count);
        let remote: u64 = self
            .store
            .iter()
            .filter_map(|(key, entry)| match (*key, entry.value()) {
                (Key::Counter { counter: key_counter, process }, Value::Counter(count))
                    if key_counter == counter && process != self.process =>
                {
                    Some(count)
                }
                _ => None,
            })
            .sum();
        local + remote
    }

    /// Returns whether a write is known to have been, or may have been, executed and so must not be sent
    /// again.
    pub fn is_in_doubt(&self, write: u64) -> bool {
        is_in_doubt(&self.store, write)
    }

    /// Returns an iterator over the known outcomes of writes.
    pub fn write_records(&self) -> impl Iterator<Item = WriteRecord> + '_ {
        let entries = self.store.iter_from(Key::WriteOutcome(0));
        entries.map_while(|(key, entry)| match (*key, entry.value()) {
            (Key::WriteOutcome(write), Value::WriteOutcome(outcome)) => {
                Some(WriteRecord { write, outcome, refreshed_at: entry.refreshed_at() })
            }
            _ => None,
        })
    }

    /// Returns an iterator over the health observations of all routers.
    pub fn health_observations(&self) -> impl Iterator<Item = ReportedObservation> + '_ {
        let entries = self.store.iter_from(Key::Health { member: 0, router: 0 });
        entries.filter_map(|(key, entry)| match (*key, entry.value()) {
            (Key::Health { member, router }, Value::Health(observation)) => {
                Some(ReportedObservation { member, reporter: router, observation })
            }
            _ => None,
        })
    }
}

/// Returns whether a store holds that a write was, or may have been, executed.
pub(super) fn is_in_doubt(store: &Store, write: u64) -> bool {
    match store.get(&Key::WriteOutcome(write)).map(Entry::value) {
        Some(Value::WriteOutcome(outcome)) => outcome.may_have_executed(),
        _ => false,
    }
}
