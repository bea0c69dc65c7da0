//! Facts that this proxy has learned itself.

use super::SharedState;
use crate::entry::Entry;
use crate::key::Key;
use crate::rumours::transmission_limit;
use crate::store::MergeOutcome;
use crate::value::{MemberStatus, Value, WriteOutcome};
use crate::Micros;
use wharfplank_health::HealthObservation;

/// About how many bytes a position takes in a message with its key.
const POSITION_BYTES: u64 = 40;
/// The least step between two positions of one member that are spread: a read that needs a newer one asks the member.
const MIN_POSITION_STEP: Micros = 250_000;
/// How often a suspicion that still holds is refreshed; less than its time to live.
const SUSPICION_REFRESH_INTERVAL: Micros = 4_000_000;
/// How often a counter that stands still is refreshed; less than its time to live.
const COUNTER_REFRESH_INTERVAL: Micros = 60_000_000;
/// How often a counter that grows is spread, at most: a fast one would else fill every datagram.
const COUNTER_SPREAD_INTERVAL: Micros = 1_000_000;

/// A counter of this proxy.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalCounter {
    pub(super) count: u64,
    /// When the count was last spread.
    spread_at: Micros,
}

impl SharedState {
    /// Records the position that a member reported itself, in the epoch of its launch. It is spread if it is
    /// [`SharedState::position_step`] ahead of the known one, or of a newer epoch.
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

    /// The step between two positions of one member that are spread. It grows with the members and the fleet, so that
    /// positions take at most half of the budget for rumours.
    pub fn position_step(&self) -> Micros {
        let transmissions = u64::from(transmission_limit(self.live_peers.len()));
        let round_bytes = self.store.len() as u64 * POSITION_BYTES * transmissions;
        let bytes_per_second = (self.config.bytes_per_second / 4).max(1);
        let round_time = (round_bytes as f64 / bytes_per_second as f64 * 1e6) as Micros;
        MIN_POSITION_STEP.max(round_time)
    }

    /// Records whether this proxy suspects a member: to be called while it does, and once when it no longer does.
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

    /// Adds to a counter.
    pub fn add_to_counter(&mut self, now: Micros, counter: u32, amount: u64) {
        let local = self.counters.entry(counter).or_insert(LocalCounter { count: 0, spread_at: now });
        local.count += amount;
        let count = local.count;
        let key = Key::Counter { counter, process: self.process };
        let is_due = match self.store.get(&key) {
            Some(entry) => now - entry.refreshed_at() >= COUNTER_SPREAD_INTERVAL,
            None => true,
        };
        if is_due {
            local.spread_at = now;
            self.update(now, key, Value::Counter(count));
        }
    }

    /// Spreads the counters that have grown since they were last spread, and those whose entries need a refresh.
    pub(super) fn refresh_counters(&mut self, now: Micros) {
        let due: Vec<u32> = self
            .counters
            .iter()
            .filter(|(counter, local)| self.is_refresh_due(now, **counter, local))
            .map(|(counter, _)| *counter)
            .collect();
        for counter in due {
            let Some(local) = self.counters.get_mut(&counter) else { continue };
            local.spread_at = now;
            let value = Value::Counter(local.count);
            self.update(now, Key::Counter { counter, process: self.process }, value);
        }
    }

    fn is_refresh_due(&self, now: Micros, counter: u32, local: &LocalCounter) -> bool {
        let key = Key::Counter { counter, process: self.process };
        let has_grown = self.value(&key) != Some(Value::Counter(local.count));
        let age = now - local.spread_at;
        age >= COUNTER_REFRESH_INTERVAL || (has_grown && age >= COUNTER_SPREAD_INTERVAL)
    }

    /// Records what this proxy knows of a write whose client was not told of its success. It is sent to some peers at
    /// once.
    pub fn record_write_outcome(&mut self, now: Micros, write: u64, outcome: WriteOutcome) {
        let key = Key::WriteOutcome(write);
        if self.update(now, key, Value::WriteOutcome(outcome)) {
            self.send_urgently(now, key);
        }
    }

    /// Records what this proxy, as `router`, has observed of a member's health. The first observation of a member is sent
    /// to some peers at once.
    pub fn record_health(&mut self, now: Micros, member: u64, router: u64, observation: HealthObservation) {
        let key = Key::Health { member, router };
        let is_new = self.store.get(&key).is_none();
        if self.update(now, key, Value::Health(observation)) && is_new {
            self.send_urgently(now, key);
        }
    }

    /// Merges a value of this proxy's own, and spreads it as a rumour if the store changed. Returns whether it did.
    fn update(&mut self, now: Micros, key: Key, value: Value) -> bool {
        let outcome = self.store.merge(key, &Entry::new(value, now), now);
        let is_changed = outcome == MergeOutcome::Updated;
        if is_changed {
            self.rumours.push(key, self.live_peers.len());
        }
        is_changed
    }
}
