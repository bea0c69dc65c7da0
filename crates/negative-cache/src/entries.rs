//! The bounded table of negative cache entries.

use crate::{KeyHash, Micros, StatementHash};
use foldhash::fast::FixedState;
use hashbrown::HashMap;
use quick_cache::unsync::Cache;
use quick_cache::{OptionsBuilder, UnitWeighter};
use serde::{Deserialize, Serialize};

/// A negative cache entry: a member answered "no row" from a state that contains every commit up to
/// `position`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NegativeEntry {
    /// The position up to which the key is known to have had no row.
    pub position: Micros,
    /// The time at which the entry expires, no matter how far its position has advanced.
    #[serde(rename = "ends")]
    pub expires_at: Micros,
    /// The key that the statement queries, hashed as in writes.
    #[serde(rename = "mark")]
    pub key: KeyHash,
    /// The primary of the group when the entry was recorded, as numbered by the caller. Positions of
    /// different primaries are not comparable.
    pub primary: u32,
    /// The hash of the member's response, which is identical on all proxies.
    #[serde(rename = "answer")]
    pub response: u32,
}

impl NegativeEntry {
    /// Returns whether the entry replaces another entry of the same statement. The newer position wins. Ties
    /// are broken by an arbitrary order that is the same on all proxies.
    fn replaces(&self, other: &NegativeEntry) -> bool {
        (self.position, self.primary, self.response) > (other.position, other.primary, other.response)
    }
}

/// An entry in the form in which proxies announce it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The statement.
    #[serde(rename = "key")]
    pub statement: StatementHash,
    /// The entry.
    #[serde(rename = "fact")]
    pub entry: NegativeEntry,
}

/// The numbers of entries in a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryCounts {
    /// Entries that were looked up more than once.
    pub frequent: usize,
    /// Entries that were looked up once.
    pub recent: usize,
}

type Generation = HashMap<StatementHash, NegativeEntry, FixedState>;

/// A bounded table of entries, keyed by statement.
///
/// A new entry is inserted into the younger of two generations of bounded size. When the younger generation
/// is full, the older one is dropped. An entry moves to the large table of frequent entries only when it is
/// looked up. That table evicts by CLOCK-Pro as implemented by the `quick_cache` crate: entries that were not
/// looked up again are evicted before those that were.
pub struct EntryTable {
    frequent: Cache<StatementHash, NegativeEntry, UnitWeighter, FixedState>,
    young: Generation,
    old: Generation,
    max_generation_len: usize,
}

impl EntryTable {
    /// Creates an empty table with room for `max_frequent` entries that were looked up more than once, and
    /// for `max_recent` other entries in each generation.
    pub fn new(max_frequent: usize, max_recent: usize) -> EntryTable {
        // Half of the table is reserved for entries that were looked up again after insertion, so that a
        // flood of random keys cannot take it over. The hashes of as many evicted entries as the table holds
        // are remembered, and an entry that returns is treated as hot.
        let options = OptionsBuilder::new()
            .estimated_items_capacity(max_frequent)
            .weight_capacity(max_frequent as u64)
            .hot_allocation(0.5)
            .ghost_allocation(1.0)
            .build()
            .expect("both capacities are set");
        let frequent = Cache::with_options(options, UnitWeighter, FixedState::default(), Default::default());
        EntryTable {
            frequent,
            young: Generation::default(),
            old: Generation::default(),
            max_generation_len: max_recent.max(1),
        }
    }

    /// Looks up an entry and passes it to `access`, which may advance it. Counts as a use of the entry.
    pub fn access<T>(
        &mut self,
        statement: StatementHash,
        access: impl FnOnce(&mut NegativeEntry) -> T,
    ) -> Option<T> {
        if let Some(mut entry) = self.frequent.get_mut(&statement) {
            return Some(access(&mut entry));
        }
        let mut entry = self.young.remove(&statement).or_else(|| self.old.remove(&statement))?;
        let result = access(&mut entry);
        self.frequent.insert(statement, entry);
        Some(result)
    }

    /// Inserts an entry unless the table already has one of the same statement that takes precedence. The
    /// outcome does not depend on the order of insertion. Returns whether the table changed.
    pub fn insert(&mut self, statement: StatementHash, entry: NegativeEntry) -> bool {
        if let Some(mut known) = self.frequent.peek_mut(&statement) {
            let is_replaced = entry.replaces(&known);
            if is_replaced {
                *known = entry;
            }
            return is_replaced;
        }
        let recent = self.young.get(&statement).or_else(|| self.old.get(&statement));
        if recent.is_some_and(|known| !entry.replaces(known)) {
            return false;
        }
        if self.young.len() >= self.max_generation_len {
            self.old = std::mem::take(&mut self.young);
        }
        self.old.remove(&statement);
        self.young.insert(statement, entry);
        true
    }

    /// Removes an entry because its key was found, it has expired or the primary has changed.
    pub fn remove(&mut self, statement: StatementHash) {
        let is_removed =
            self.frequent.remove(&statement).is_some() || self.young.remove(&statement).is_some();
        if !is_removed {
            self.old.remove(&statement);
        }
    }

    /// Removes all expired entries. Takes time linear in the size of the table and must not be called on the
    /// thread that serves requests.
    pub fn remove_expired(&mut self, now: Micros) {
        self.frequent.retain(|_, entry| entry.expires_at > now);
        self.young.retain(|_, entry| entry.expires_at > now);
        self.old.retain(|_, entry| entry.expires_at > now);
    }

    /// Returns the numbers of entries.
    pub fn counts(&self) -> EntryCounts {
        EntryCounts { frequent: self.frequent.len(), recent: self.young.len() + self.old.len() }
    }
}
