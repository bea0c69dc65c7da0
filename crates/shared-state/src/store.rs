//! The table of entries: bounded, with a time to live for each entry, and a digest that is updated with each change.

use crate::clock::MAX_CLOCK_SKEW;
use crate::entry::Entry;
use crate::key::{EvictionPriority, Key, DIGEST_BUCKETS};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The default bound on the entries of a store.
///
/// A new entry past the bound evicts the one refreshed the longest ago among those of the least priority, provided that
/// this one is of less priority than the new entry, or of the same and older; else the new entry is dropped.
pub const MAX_ENTRIES: usize = 16_384;

/// What became of an entry that was merged into a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The store changed.
    Updated,
    /// The store held the same or something newer.
    Unchanged,
    /// The entry is past its time to live, from further ahead than clocks differ, or of another kind than its key.
    Rejected,
    /// The store is full of entries that do not give way.
    Full,
}

/// The place of an entry in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct EvictionRank {
    priority: EvictionPriority,
    refreshed_at: Micros,
    key: Key,
}

impl EvictionRank {
    fn new(key: Key, entry: &Entry) -> EvictionRank {
        EvictionRank { priority: key.eviction_priority(), refreshed_at: entry.refreshed_at(), key }
    }

    /// The least rank of a priority.
    fn first_of(priority: EvictionPriority) -> EvictionRank {
        EvictionRank { priority, refreshed_at: Micros::MIN, key: Key::MIN }
    }

    fn is_expired(&self, now: Micros) -> bool {
        now - self.refreshed_at > self.key.time_to_live()
    }

    /// Whether the entry gives way to another. An older one of the same priority does not displace a newer one: what was
    /// evicted would else come back.
    fn gives_way_to(&self, other: &EvictionRank) -> bool {
        (self.priority, self.refreshed_at) < (other.priority, other.refreshed_at)
    }
}

/// The table of entries of one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Store {
    entries: BTreeMap<Key, Entry>,
    /// All entries in the order of eviction, which is by age within a priority.
    eviction_order: BTreeSet<EvictionRank>,
    bucket_digests: Vec<u64>,
    bucket_keys: Vec<BTreeSet<Key>>,
    max_entries: usize,
    /// How many entries were rejected for their age, their timestamp or their kind.
    pub rejected: u64,
    /// How many entries, old or new, were dropped because the store was full.
    pub dropped: u64,
}

impl Default for Store {
    fn default() -> Self {
        Store::new(MAX_ENTRIES)
    }
}

impl Store {
    /// Creates an empty store of at most `max_entries` entries, and of one at least.
    pub fn new(max_entries: usize) -> Store {
        Store {
            entries: BTreeMap::new(),
            eviction_order: BTreeSet::new(),
            bucket_digests: vec![0; DIGEST_BUCKETS],
            bucket_keys: vec![BTreeSet::new(); DIGEST_BUCKETS],
            max_entries: max_entries.max(1),
            rejected: 0,
            dropped: 0,
        }
    }

    /// Merges an entry into the store.
    pub fn merge(&mut self, key: Key, entry: &Entry, now: Micros) -> MergeOutcome {
        if !is_valid(&key, entry, now) {
            self.rejected += 1;
            return MergeOutcome::Rejected;
        }
        match self.entries.get(&key) {
            Some(known) => {
                let mut merged = *known;
                if !merged.merge(entry) {
                    return MergeOutcome::Unchanged;
                }
                self.remove(&key);
                self.insert(key, merged);
            }
            None => {
                let is_full = self.entries.len() >= self.max_entries;
                if is_full && !self.evict_for(&EvictionRank::new(key, entry)) {
                    return MergeOutcome::Full;
                }
                self.insert(key, *entry);
            }
        }
        MergeOutcome::Updated
    }

    /// Evicts the first entry in the order of eviction if it gives way to a new one. Returns whether it did; one of the
    /// two is dropped in either case.
    fn evict_for(&mut self, new: &EvictionRank) -> bool {
        self.dropped += 1;
        let Some(first) = self.eviction_order.first().copied() else { return false };
        let is_evicted = first.gives_way_to(new);
        if is_evicted {
            self.remove(&first.key);
        }
        is_evicted
    }

    fn insert(&mut self, key: Key, entry: Entry) {
        let bucket = key.digest_bucket();
        self.bucket_digests[bucket] ^= entry.digest(&key);
        self.bucket_keys[bucket].insert(key);
        self.eviction_order.insert(EvictionRank::new(key, &entry));
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &Key) {
        let Some(entry) = self.entries.remove(key) else { return };
        let bucket = key.digest_bucket();
        self.bucket_digests[bucket] ^= entry.digest(key);
        self.bucket_keys[bucket].remove(key);
        self.eviction_order.remove(&EvictionRank::new(*key, &entry));
    }

    /// Removes the entries whose time to live is over.
    pub fn expire(&mut self, now: Micros) {
        for priority in EvictionPriority::ALL {
            let expired: Vec<Key> = self
                .eviction_order
                .range(EvictionRank::first_of(priority)..)
                .take_while(|rank| rank.priority == priority && rank.is_expired(now))
                .map(|rank| rank.key)
                .collect();
            for key in &expired {
                self.remove(key);
            }
        }
    }

    /// The entry of a key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// All entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }

    /// The entries from a key on, in the order of their keys.
    pub fn iter_from(&self, first: Key) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.range(first..)
    }

    /// The entries of a digest bucket from a key on (`None`: from the first), in the order of their keys. A bucket that
    /// does not exist has none.
    pub fn bucket_entries(&self, bucket: usize, from: Option<Key>) -> impl Iterator<Item = (&Key, &Entry)> {
        let first = from.unwrap_or(Key::MIN);
        let keys = self.bucket_keys.get(bucket).into_iter().flat_map(move |keys| keys.range(first..));
        keys.filter_map(|key| self.entries.get_key_value(key))
    }

    /// The digest of each bucket. Two stores with the same entries in a bucket have the same digest there.
    pub fn bucket_digests(&self) -> &[u64] {
        &self.bucket_digests
    }

    /// A digest of the whole store.
    pub fn digest(&self) -> u64 {
        const MULTIPLIER: u64 = 0x100_0000_01b3;
        self.bucket_digests
            .iter()
            .fold(0, |digest, bucket| (digest ^ bucket).wrapping_mul(MULTIPLIER).rotate_left(7))
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the store has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Whether an entry is of its key's kind, within its time to live, and not from further ahead than clocks differ.
fn is_valid(key: &Key, entry: &Entry, now: Micros) -> bool {
    let is_expired = now - entry.refreshed_at() > key.time_to_live();
    let is_ahead = entry.refreshed_at() > now.saturating_add(MAX_CLOCK_SKEW);
    !is_expired && !is_ahead && key.accepts(&entry.value())
}
