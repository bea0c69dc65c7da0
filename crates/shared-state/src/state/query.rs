//! What is known, of all proxies.

use super::SharedState;
use crate::in_doubt::WriteRecord;
use crate::key::Key;
use crate::value::Value;
use wharfplank_health::ReportedObservation;

impl SharedState {
    /// The value of a counter: the sum of what all processes have counted, as far as it is known here. The count of a
    /// process that has ended remains for its time to live.
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

    /// Whether a write was or may have been executed as far as any proxy knows, and so must not be sent again.
    pub fn is_in_doubt(&self, write: u64) -> bool {
        match self.value(&Key::WriteOutcome(write)) {
            Some(Value::WriteOutcome(outcome)) => outcome.may_have_executed(),
            _ => false,
        }
    }

    /// All that is known of writes.
    pub fn write_records(&self) -> impl Iterator<Item = WriteRecord> + '_ {
        let entries = self.store.iter_from(Key::WriteOutcome(0));
        entries.map_while(|(key, entry)| match (*key, entry.value()) {
            (Key::WriteOutcome(write), Value::WriteOutcome(outcome)) => {
                Some(WriteRecord { write, outcome, refreshed_at: entry.refreshed_at() })
            }
            _ => None,
        })
    }

    /// What reporters have observed of members' health.
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
