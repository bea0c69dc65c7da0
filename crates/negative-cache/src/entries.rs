//! The bounded table of negative cache entries.

use crate::{KeyHash, Micros, StatementHash};
use foldhash::fast::FixedState;
use hashbrown::HashMap;
use quick_cache::unsync::Cache;
use quick_cache::{OptionsBuilder, UnitWeighter};
use serde::{Deserialize, Serialize};

/// A negative cache entry: a member answered "no row" from a state that holds every commit up to `position`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NegativeEntry {
    /// The position up to which it is known that there was no row.
    pub position: Micros,
    /// When the entry expires, however far it has advanced.
    #[serde(rename = "ends")]
    pub expires_at: Micros,
    /// The key that the statement asks for, as writes name it.
    #[serde(rename = "mark")]
    pub key: KeyHash,
    /// The primary that the group had, by the caller's number: positions of two primaries are not comparable.
    pub primary: u32,
    /// The hash of the member's response, which is the same on all proxies.
    #[serde(rename = "answer")]
    pub response: u32,
}

impl NegativeEntry {
    /// Whether the entry replaces another of the same statement: the newer position wins, and among equal positions any
    /// rule will do that is the same on all proxies.
    fn replaces(&self, other: &NegativeEntry) -> bool {
        (self.position, self.primary, self.response) > (other.position, other.primary, other.response)
    }
}

/// An entry as proxies announce it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The statement.
    #[serde(rename = "key")]
    pub statement: StatementHash,
    /// The entry.
    #[serde(rename = "fact")]
    pub entry: NegativeEntry,
}

/// The number of entries in a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryCounts {
    /// Entries that were looked up more than once.
    pub frequent: usize,
    /// Entries that were looked up once.
    pub recent: usize,
}

type Generation = HashMap<StatementHash, NegativeEntry, FixedState>;

/// The table of entries by their statement.
///
/// A new entry goes into the younger of two generations of bounded size; when the younger is full, the older one is
/// dropped. Only an entry that is looked up moves to the large table, from which entries are evicted by CLOCK-Pro as the
/// `quick_cache` crate implements it: one that was not looked up again goes before one that was.
pub struct EntryTable {
    frequent: Cache<StatementHash, NegativeEntry, UnitWeighter, FixedState>,
    young: Generation,
    old: Generation,
    max_generation: usize,
}

impl EntryTable {
    /// Creates an empty table of at most `max_frequent` entries that were looked up more than once, and of `max_recent`
    /// in each generation of the others.
    pub fn new(max_frequent: usize, max_recent: usize) -> EntryTable {
        // Half of the table is for entries that were looked up again since they came in, which a flood of random keys
        // cannot take. As many evicted entries as the table holds are remembered by hash: one that comes back is hot.
        let options = OptionsBuilder::new()
            .estimated_items_capacity(max_frequent)
            .weight_capacity(max_frequent as u64)
            .hot_allocation(0.5)
            .ghost_allocation(1.0)
            .build()
            .expect("both capacities are given");
        let frequent = Cache::with_options(options, UnitWeighter, FixedState::default(), Default::default());
        EntryTable {
            frequent,
            young: Generation::default(),
            old: Generation::default(),
            max_generation: max_recent.max(1),
        }
    }

    /// Looks an entry up, to be read and advanced by `access`. The call counts as a use of the entry.
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

    /// Inserts an entry unless the table has one of the same statement that is as good, in whatever order they come.
    /// Returns whether the table changed.
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
        if self.young.len() >= self.max_generation {
            self.old = std::mem::take(&mut self.young);
        }
        self.old.remove(&statement);
        self.young.insert(statement, entry);
        true
    }

    /// Removes an entry: its key was found, or it has expired.
    pub fn remove(&mut self, statement: StatementHash) {
        let is_removed =
            self.frequent.remove(&statement).is_some() || self.young.remove(&statement).is_some();
        if !is_removed {
            self.old.remove(&statement);
        }
    }

    /// Removes all entries that have expired. Takes time in proportion to the table: not for the thread that serves.
    pub fn remove_expired(&mut self, now: Micros) {
        self.frequent.retain(|_, entry| entry.expires_at > now);
        self.young.retain(|_, entry| entry.expires_at > now);
        self.old.retain(|_, entry| entry.expires_at > now);
    }

    /// The number of entries.
    pub fn counts(&self) -> EntryCounts {
        EntryCounts { frequent: self.frequent.len(), recent: self.young.len() + self.old.len() }
    }
}
