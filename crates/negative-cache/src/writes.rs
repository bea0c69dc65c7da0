//! The writes of one proxy: the keys that they may touch and the slots in which they may commit.

use crate::{KeyHash, Micros, NegativeCacheConfig, Slot, WINDOW_SLOTS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of writes in the table: pending writes, and finished writes that may commit in slots that
/// are not closed yet.
pub const MAX_WRITES: usize = 65_536;
/// Maximum number of keys in one closed slot. If there are more, every key counts as written.
pub const MAX_KEYS_PER_CLOSED_SLOT: usize = 4_096;
/// Maximum number of closed slots in one message.
pub const MAX_CLOSED_SLOTS_PER_REQUEST: usize = 32;

/// A slot that a proxy has closed. None of the proxy's writes that may commit in the slot touches keys other
/// than those listed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClosedSlot {
    /// The slot.
    pub slot: Slot,
    /// Whether there were too many keys to list, so that every key of every group may have been written.
    #[serde(rename = "every")]
    pub all_keys: bool,
    /// The keys in ascending order.
    #[serde(rename = "marks")]
    pub keys: Vec<KeyHash>,
}

/// The identifier of a write, unique within one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    keys: Vec<KeyHash>,
    /// The first slot in which the write may commit.
    first_slot: Slot,
    /// The last slot in which the write may commit; `None` while it is pending.
    last_slot: Option<Slot>,
}

impl Write {
    fn may_commit_in(&self, slot: Slot) -> bool {
        self.first_slot <= slot && self.last_slot.is_none_or(|last| last >= slot)
    }

    fn may_commit_after(&self, slot: Slot) -> bool {
        self.last_slot.is_none_or(|last| last > slot)
    }
}

/// The writes of one proxy and the slots that it has closed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingWrites {
    config: NegativeCacheConfig,
    now: Micros,
    last_id: u64,
    writes: BTreeMap<WriteId, Write>,
    last_closed: Slot,
    closed_slots: VecDeque<ClosedSlot>,
}

impl PendingWrites {
    /// Creates the table of a process that has not begun any write.
    pub fn new(config: NegativeCacheConfig, now: Micros) -> PendingWrites {
        // Start early enough to cover the slot that a lease server whose clock is behind may take as that of
        // its first grant.
        let last_closed = config.slot_of_commit(now - 3 * config.max_clock_skew) - 1;
        PendingWrites {
            config,
            now,
            last_id: 0,
            writes: BTreeMap::new(),
            last_closed,
            closed_slots: VecDeque::new(),
        }
    }

    /// Records a write before its first byte is sent. `keys` are all keys for which the write can create a
    /// row, or the hash of the whole group if they are unknown. Returns `None` if the table is full, in which
    /// case the write must not be sent.
    pub fn begin(&mut self, now: Micros, keys: Vec<KeyHash>) -> Option<WriteId> {
        self.advance(now);
        if self.writes.len() >= MAX_WRITES {
            return None;
        }
        self.last_id += 1;
        let id = WriteId(self.last_id);
        let first_slot = self.config.slot_of_commit(self.now - self.config.max_clock_skew);
        self.writes.insert(id, Write { keys, first_slot, last_slot: None });
        Some(id)
    }

    /// Handles the response to a write, of any kind. The write has either committed or never will.
    pub fn on_answered(&mut self, now: Micros, id: WriteId) {
        self.advance(now);
        let last_slot = self.config.slot_of_commit(self.now + self.config.max_clock_skew);
        self.finish(id, last_slot);
    }

    /// Marks a write as in doubt because no response will arrive (timeout, reset, cancellation). It may
    /// commit for as long as the statement can run.
    pub fn on_in_doubt(&mut self, now: Micros, id: WriteId) {
        self.advance(now);
        let last_slot = self.config.last_commit_slot(self.now);
        self.finish(id, last_slot);
    }

    /// Removes a write that failed before its last byte was sent and therefore was never executed.
    pub fn on_not_executed(&mut self, id: WriteId) {
        self.writes.remove(&id);
    }

    fn finish(&mut self, id: WriteId, last_slot: Slot) {
        if let Some(write) = self.writes.get_mut(&id) {
            write.last_slot = Some(last_slot);
        }
    }

    /// Closes the slots in which no write that begins from now on can commit.
    pub fn advance(&mut self, now: Micros) {
        // If the local clock is set back, keep the later time: the clocks that stamp commits were not set
        // back.
        self.now = self.now.max(now);
        let newest = self.config.slot_of_commit(self.now - self.config.max_clock_skew) - 1;
        // After a long pause, slots that have left every window need not be closed.
        self.last_closed = self.last_closed.max(newest - WINDOW_SLOTS);
        while self.config.is_past(self.now, self.last_closed + 1) {
            self.last_closed += 1;
            self.close(self.last_closed);
        }
        while self.closed_slots.len() > WINDOW_SLOTS as usize {
            self.closed_slots.pop_front();
        }
    }

    fn close(&mut self, slot: Slot) {
        let mut keys: Vec<KeyHash> = self
            .writes
            .values()
            .filter(|write| write.may_commit_in(slot))
            .flat_map(|write| write.keys.iter().copied())
            .collect();
        keys.sort_unstable();
        keys.dedup();
        let all_keys = keys.len() > MAX_KEYS_PER_CLOSED_SLOT;
        if all_keys {
            keys.clear();
        }
        self.closed_slots.push_back(ClosedSlot { slot, all_keys, keys });
        self.writes.retain(|_, write| write.may_commit_after(slot));
    }

    /// Returns the newest closed slot.
    pub fn last_closed(&self) -> Slot {
        self.last_closed
    }

    /// Returns the closed slots after `slot`, oldest first, as many as fit into one message.
    pub fn closed_slots_after(&self, slot: Slot) -> Vec<ClosedSlot> {
        let mut free_keys = 2 * MAX_KEYS_PER_CLOSED_SLOT;
        let fits = |closed: &&ClosedSlot| {
            let fits = closed.keys.len() <= free_keys;
            free_keys = free_keys.saturating_sub(closed.keys.len());
            fits
        };
        self.closed_slots
            .iter()
            .filter(|closed| closed.slot > slot)
            .take(MAX_CLOSED_SLOTS_PER_REQUEST)
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Returns the last slot in which a write of this process may commit if no further write begins. Returns
    /// `None` while a write is pending, because the slot is unknown then.
    pub fn last_commit_slot(&self) -> Option<Slot> {
        let newest = self.config.slot_of_commit(self.now + self.config.max_clock_skew);
        self.writes.values().try_fold(newest, |last, write| Some(last.max(write.last_slot?)))
    }

    /// Returns the number of writes in the table.
    pub fn len(&self) -> usize {
        self.writes.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }
}
