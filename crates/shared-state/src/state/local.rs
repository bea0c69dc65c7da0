//! Recording of this proxy's own observations.

use super::SharedState;
use crate::entry::Entry;
use crate::key::Key;
use crate::rumours::transmission_limit;
use crate::store::MergeOutcome;
use crate::value::{MemberStatus, Value, WriteOutcome};
use crate::Micros;
use wharfplank_health::HealthObservation;

/// The approximate size of a position with its key in a message, in bytes.
const POSITION_BYTES: u64 = 40;
/// The minimum step between two positions of one member that are propagated. A read that needs a newer
/// position asks the member itself.
const MIN_POSITION_STEP: Micros = 250_000;
/// The interval at which a persisting suspicion is refreshed; less than its time to live.
const SUSPICION_REFRESH_INTERVAL: Micros = 4_000_000;
/// The interval at which an unchanged counter is refreshed; less than its time to live.
const COUNTER_REFRESH_INTERVAL: Micros = 60_000_000;
/// The minimum interval between propagations of a growing counter. Without it, a fast counter would fill
/// every datagram.
const COUNTER_PROPAGATION_INTERVAL: Micros = 1_000_000;

/// One of this proxy's counters.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalCounter {
    pub(super) count: u64,
    /// The time at which the count was last propagated.
    propagated_at: Micros,
}

impl SharedState {
    /// Records the log position that a member reported, in the epoch of its process. The position is
    /// propagated if it is at least [`SharedState::position_step`] ahead of the known one or belongs to a
    /// newer epoch.
    pub fn record_position(&mut self, now: Micros, member: u64, epoch: i64, position: Micros) {
        let key = Key::Position(member);
        let is_step_ahead = match self.value(&key) {
            Some(Value::Position { epoch: known_epoch, position: known_position }) => {
                let next_position = known_position.saturating_add(self.position_step());
                epoch > known_epoch || (epoch == known_epoch && position >= next_position)
            }
            _ => true,
        };
        if is_step_ahead {
            self.update(now, key, Value::Position { epoch, position });
        }
    }

    /// Returns the step between two positions of one member that are propagated. It grows with the number of
    /// entries and of live peers, so that positions take at most half of the budget for rumours.
    pub fn position_step(&self) -> Micros {
        let transmissions = u64::from(transmission_limit(self.live_peers.len()));
        let round_bytes = self.store.len() as u64 * POSITION_BYTES * transmissions;
        let bytes_per_second = (self.config.bytes_per_second / 4).max(1);
        let round_time = (round_bytes as f64 / bytes_per_second as f64 * 1e6) as Micros;
        MIN_POSITION_STEP.max(round_time)
    }

    /// Records whether this proxy suspects a member. Call it repeatedly while the suspicion persists, so that
    /// it is refreshed, and once when it ends.
    pub fn record_member_status(&mut self, now: Micros, member: u64, status: MemberStatus) {
        let key = Key::MemberStatus(member);
        let suspected_at = match self.value(&key) {
            Some(Value::MemberStatus { timestamp, status: MemberStatus::Suspected }) => Some(timestamp.wall),
            _ => None,
        };
        let is_due = match (status, suspected_at) {
            (MemberStatus::Suspected, Some(at)) => now - at >= SUSPICION_REFRESH_INTERVAL,
            (MemberStatus::Suspected, None) => true,
            (MemberStatus::Alive, suspected_at) => suspected_at.is_some(),
        };
        if is_due {
            let timestamp = self.clock.issue(now);
            self.update(now, key, Value::MemberStatus { timestamp, status });
        }
    }

    /// Adds an amount to a counter.
    pub fn add_to_counter(&mut self, now: Micros, counter: u32, amount: u64) {
        let local = self.counters.entry(counter).or_insert(LocalCounter { count: 0, propagated_at: now });
        local.count += amount;
        let count = local.count;
        let key = Key::Counter { counter, process: self.process };
        let is_due = match self.store.get(&key) {
            Some(entry) => now - entry.refreshed_at() >= COUNTER_PROPAGATION_INTERVAL,
            None => true,
        };
        if is_due {
            local.propagated_at = now;
            self.update(now, key, Value::Counter(count));
        }
    }

    /// Propagates the counters that have grown since their last propagation, and those whose entries need a
    /// refresh.
    pub(super) fn refresh_counters(&mut self, now: Micros) {
        let due: Vec<u32> = self
            .counters
            .iter()
            .filter(|(counter, local)| self.is_refresh_due(now, **counter, local))
            .map(|(counter, _)| *counter)
            .collect();
        for counter in due {
            let Some(local) = self.counters.get_mut(&counter) else { continue };
            local.propagated_at = now;
            let value = Value::Counter(local.count);
            self.update(now, Key::Counter { counter, process: self.process }, value);
        }
    }

    fn is_refresh_due(&self, now: Micros, counter: u32, local: &LocalCounter) -> bool {
        let key = Key::Counter { counter, process: self.process };
        let has_grown = self.value(&key) != Some(Value::Counter(local.count));
        let age = now - local.propagated_at;
        age >= COUNTER_REFRESH_INTERVAL || (has_grown && age >= COUNTER_PROPAGATION_INTERVAL)
    }

    /// Records the known outcome of a write whose client was not told of its success, and sends it to a few
    /// peers immediately.
    pub fn record_write_outcome(&mut self, now: Micros, write: u64, outcome: WriteOutcome) {
        let key = Key::WriteOutcome(write);
        if self.update(now, key, Value::WriteOutcome(outcome)) {
            self.send_urgently(now, key);
        }
    }

    /// Records the health of a member as this proxy, identified as `router`, observed it. The first
    /// observation of a member is sent to a few peers immediately.
    pub fn record_health(&mut self, now: Micros, member: u64, router: u64, observation: HealthObservation) {
        let key = Key::Health { member, router };
        let is_new = self.store.get(&key).is_none();
        if self.update(now, key, Value::Health(observation)) && is_new {
            self.send_urgently(now, key);
        }
    }

    /// Merges a value of this proxy and propagates it as a rumour if the store changed. Returns whether it
    /// did.
    fn update(&mut self, now: Micros, key: Key, value: Value) -> bool {
        let outcome = self.store.merge(key, &Entry::new(value, now), now);
        let is_changed = outcome == MergeOutcome::Updated;
        if is_changed {
            self.rumours.push(key, self.live_peers.len());
        }
        is_changed
    }
}
