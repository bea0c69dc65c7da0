//! The closed timestamps of the fleet: the slots that all lease servers have sealed and the keys written in
//! them.

use crate::{KeyHash, Micros, NegativeCacheConfig, SealedSlot, Slot, SlotWindow, WINDOW_SLOTS};
use hashbrown::HashMap;

/// Maximum number of tracked keys. When it is reached, a new key makes every key count as written in that
/// key's slot. Above half of it, each purge discards the keys of the older half of the slots.
pub const MAX_TRACKED_KEYS: usize = 1 << 18;

/// Number of slots between two purges of tracked keys.
const PURGE_INTERVAL_SLOTS: i64 = WINDOW_SLOTS / 8;

/// The slots that one server has sealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServerSeals {
    incarnation: Micros,
    sealed: SlotWindow,
}

/// One proxy's view of the slots that all servers have sealed.
///
/// Every part is merged by taking a maximum, so seals may arrive in any order and more than once.
#[derive(Clone, Debug)]
pub struct ClosedTimestamps {
    config: NegativeCacheConfig,
    servers: Vec<ServerSeals>,
    /// The slots that all servers have sealed.
    sealed_by_all: SlotWindow,
    /// All slots from this one up to the start of the window were sealed by all servers, and the keys written
    /// in them are still tracked.
    contiguous_from: Slot,
    /// The newest slot in which each key was written.
    last_written: HashMap<KeyHash, Slot, foldhash::fast::FixedState>,
    /// The newest slot in which every key counts as written.
    all_keys_written: Slot,
    /// The first slot of the window at the time of the last purge.
    last_purge_slot: Slot,
    /// Number of seals rejected because the server is unknown or the slot is ahead of the local clock.
    pub rejected: u64,
}

impl PartialEq for ClosedTimestamps {
    /// Compares only the replicated state.
    fn eq(&self, other: &ClosedTimestamps) -> bool {
        self.servers == other.servers
            && self.sealed_by_all == other.sealed_by_all
            && self.last_written == other.last_written
            && self.all_keys_written == other.all_keys_written
    }
}

impl ClosedTimestamps {
    /// Creates the state of a proxy that has received no seals. With zero servers, no slot is ever closed.
    pub fn new(config: NegativeCacheConfig, servers: usize, now: Micros) -> ClosedTimestamps {
        let first = first_window_slot(&config, now);
        let unsealed = ServerSeals { incarnation: Micros::MIN, sealed: SlotWindow::new(first) };
        ClosedTimestamps {
            config,
            servers: vec![unsealed; servers],
            sealed_by_all: SlotWindow::new(first),
            contiguous_from: first,
            last_written: HashMap::default(),
            all_keys_written: Slot::MIN,
            last_purge_slot: first,
            rejected: 0,
        }
    }

    /// Moves the window forward and discards state that is too old to be used.
    pub fn advance(&mut self, now: Micros) {
        let old_first = self.sealed_by_all.first();
        let first = first_window_slot(&self.config, now);
        if first <= old_first {
            return;
        }
        // A slot that leaves the window unsealed is a permanent gap: entries from before it can no longer
        // advance.
        if first - old_first > WINDOW_SLOTS {
            self.contiguous_from = first;
        } else if let Some(gap) = self.newest_gap(old_first, first) {
            self.contiguous_from = gap + 1;
        }
        for server in &mut self.servers {
            server.sealed.advance_to(first);
        }
        self.sealed_by_all.advance_to(first);
        if first - self.last_purge_slot >= PURGE_INTERVAL_SLOTS {
            self.purge(first);
        }
    }

    /// Returns the newest slot in `from..to` that not all servers have sealed.
    fn newest_gap(&self, from: Slot, to: Slot) -> Option<Slot> {
        (from..to).rev().find(|slot| !self.sealed_by_all.contains(*slot))
    }

    /// Discards the keys written in slots that no entry can cross any more.
    fn purge(&mut self, first: Slot) {
        self.last_purge_slot = first;
        let entry_ttl_slots = self.config.entry_ttl / self.config.slot_length;
        let mut oldest = self.contiguous_from.max(first - entry_ttl_slots);
        if self.last_written.len() > MAX_TRACKED_KEYS / 2 {
            oldest += (first - oldest) / 2 + 1;
        }
        let oldest = oldest.min(first);
        self.contiguous_from = oldest;
        self.last_written.retain(|_, slot| *slot >= oldest);
    }

    /// Applies a slot sealed by a server. Returns whether the seal was new.
    pub fn apply(&mut self, now: Micros, seal: &SealedSlot) -> bool {
        self.advance(now);
        let is_ahead = self.config.slot_end(seal.slot) > now.saturating_add(self.config.max_clock_skew);
        let index = seal.server as usize;
        if is_ahead || index >= self.servers.len() {
            self.rejected += 1;
            return false;
        }
        let server = &mut self.servers[index];
        // A newer incarnation of a server invalidates the seals of the older one.
        if seal.incarnation > server.incarnation {
            let first = server.sealed.first();
            *server = ServerSeals { incarnation: seal.incarnation, sealed: SlotWindow::new(first) };
        }
        let is_unsealed = seal.incarnation == server.incarnation && !server.sealed.contains(seal.slot);
        // Record the keys before the seal: no entry may cross a slot before all keys written in it are known.
        self.record_keys(seal);
        let is_new = is_unsealed && self.servers[index].sealed.insert(seal.slot);
        if is_new {
            self.update_sealed_by_all();
        }
        is_new
    }

    /// Merges the closed timestamps of another proxy into this one.
    pub fn merge(&mut self, other: &ClosedTimestamps) {
        for (server, other_server) in self.servers.iter_mut().zip(&other.servers) {
            let first = server.sealed.first().max(other_server.sealed.first());
            if other_server.incarnation > server.incarnation {
                *server = *other_server;
            } else if other_server.incarnation == server.incarnation {
                server.sealed = server.sealed.union(other_server.sealed);
            }
            server.sealed.advance_to(first);
        }
        self.all_keys_written = self.all_keys_written.max(other.all_keys_written);
        for (key, slot) in &other.last_written {
            self.record_key(*key, *slot);
        }
        self.update_sealed_by_all();
    }

    fn record_keys(&mut self, seal: &SealedSlot) {
        if seal.all_keys {
            self.all_keys_written = self.all_keys_written.max(seal.slot);
        }
        for key in &seal.keys {
            self.record_key(*key, seal.slot);
        }
    }

    fn record_key(&mut self, key: KeyHash, slot: Slot) {
        let is_full = self.last_written.len() >= MAX_TRACKED_KEYS;
        if is_full && !self.last_written.contains_key(&key) {
            self.all_keys_written = self.all_keys_written.max(slot);
            return;
        }
        let last_written = self.last_written.entry(key).or_insert(slot);
        *last_written = slot.max(*last_written);
    }

    fn update_sealed_by_all(&mut self) {
        let intersection = self.servers.iter().map(|server| server.sealed).reduce(SlotWindow::intersection);
        if let Some(intersection) = intersection {
            self.sealed_by_all = intersection;
        }
    }

    /// Returns the position up to which an entry may advance. It crosses the contiguous run of slots,
    /// starting with its own, that every server has sealed, provided that neither its key nor its whole group
    /// was written in that slot or later. Runs in constant time.
    pub fn advance_position(&self, position: Micros, key: KeyHash, whole_group: KeyHash) -> Micros {
        let slot = self.config.slot_after(position);
        let first = self.sealed_by_all.first();
        let next = slot.max(first);
        let end = next + self.sealed_by_all.run_length(next);
        let crosses_gap = slot < self.contiguous_from.min(first);
        if crosses_gap || end == slot || self.all_keys_written >= slot {
            return position;
        }
        if self.is_written_since(key, slot) || self.is_written_since(whole_group, slot) {
            return position;
        }
        position.max(self.config.slot_end(end - 1))
    }

    fn is_written_since(&self, key: KeyHash, slot: Slot) -> bool {
        self.last_written.get(&key).is_some_and(|last| *last >= slot)
    }

    /// Returns the newest position to which an entry can advance.
    pub fn horizon(&self) -> Option<Micros> {
        self.sealed_by_all.last().map(|slot| self.config.slot_end(slot))
    }

    /// Returns the number of keys whose last write is tracked.
    pub fn tracked_keys(&self) -> usize {
        self.last_written.len()
    }
}

/// Returns the first slot of the window whose last slot is the newest one that may be sealed now.
fn first_window_slot(config: &NegativeCacheConfig, now: Micros) -> Slot {
    config.slot_of_commit(now) - WINDOW_SLOTS + 2
}
