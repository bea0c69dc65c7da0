//! The table of entries: bounded, with a time to live for each entry and digests that are updated on every
//! change.

use crate::clock::MAX_CLOCK_SKEW;
use crate::entry::Entry;
use crate::key::{EvictionPriority, Key, DIGEST_BUCKETS};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The default maximum number of entries in a store.
///
/// A new entry for a full store evicts the least recently refreshed entry of the lowest priority, provided
/// that this entry has a lower priority than the new one, or the same priority and an older refresh.
/// Otherwise the new entry is dropped.
pub const MAX_ENTRIES: usize = 16_384;

/// The result of merging an entry into a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The store changed.
    Updated,
    /// The store already held the same or a newer value.
    Unchanged,
    /// The entry is past its time to live, is dated beyond the allowed clock skew, or does not match its
    /// key's kind.
    Rejected,
    /// The store is full and no entry may be evicted for the new one.
    Full,
}

/// The position of an entry in the eviction order.
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

    /// Returns the lowest rank of a priority.
    fn first_of(priority: EvictionPriority) -> EvictionRank {
        EvictionRank { priority, refreshed_at: Micros::MIN, key: Key::MIN }
    }

    fn is_expired(&self, now: Micros) -> bool {
        now - self.refreshed_at > self.key.time_to_live()
    }

    /// Returns whether the entry may be evicted for another. An entry never displaces one of the same
    /// priority with an equal or newer refresh: otherwise evicted entries would return from peers.
    fn is_evictable_for(&self, other: &EvictionRank) -> bool {
        (self.priority, self.refreshed_at) < (other.priority, other.refreshed_at)
    }
}

/// The table of entries of one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Store {
    entries: BTreeMap<Key, Entry>,
    /// All entries in eviction order: by priority, then oldest refresh first.
    eviction_order: BTreeSet<EvictionRank>,
    bucket_digests: Vec<u64>,
    bucket_keys: Vec<BTreeSet<Key>>,
    max_entries: usize,
    /// The number of entries rejected for their age, their timestamp or their kind.
    pub rejected: u64,
    /// The number of entries, stored or new, that were dropped because the store was full.
    pub dropped: u64,
}

impl Default for Store {
    fn default() -> Self {
        Store::new(MAX_ENTRIES)
    }
}

impl Store {
    /// Creates an empty store that holds at most `max_entries` entries, or one if that is 0.
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
            Some(stored) => {
                let mut merged = *stored;
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

    /// Evicts the first entry in eviction order if it may be evicted for the new one. Returns whether it did.
    /// Either the evicted or the new entry is counted as dropped.
    fn evict_for(&mut self, new: &EvictionRank) -> bool {
        self.dropped += 1;
        let Some(first) = self.eviction_order.first().copied() else { return false };
        let is_evicted = first.is_evictable_for(new);
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

    /// Returns the entry of a key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns an iterator over all entries in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }

    /// Returns an iterator over the entries from a key on, in key order.
    pub fn iter_from(&self, first: Key) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.range(first..)
    }

    /// Returns an iterator over the entries of a digest bucket from a key on (`None`: from the first), in key
    /// order. It is empty for a bucket that does not exist.
    pub fn bucket_entries(&self, bucket: usize, from: Option<Key>) -> impl Iterator<Item = (&Key, &Entry)> {
        let first = from.unwrap_or(Key::MIN);
        let keys = self.bucket_keys.get(bucket).into_iter().flat_map(move |keys| keys.range(first..));
        keys.filter_map(|key| self.entries.get_key_value(key))
    }

    /// Returns the digest of each bucket. Stores with the same entries in a bucket have the same digest for
    /// it.
    pub fn bucket_digests(&self) -> &[u64] {
        &self.bucket_digests
    }

    /// Returns a digest of the whole store.
    pub fn digest(&self) -> u64 {
        const MULTIPLIER: u64 = 0x100_0000_01b3;
        self.bucket_digests
            .iter()
            .fold(0, |digest, bucket| (digest ^ bucket).wrapping_mul(MULTIPLIER).rotate_left(7))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the store has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns whether an entry matches its key's kind, is within its time to live and within the allowed clock
/// skew.
fn is_valid(key: &Key, entry: &Entry, now: Micros) -> bool {
    let is_expired = now - entry.refreshed_at() > key.time_to_live();
    let is_ahead = entry.refreshed_at() > now.saturating_add(MAX_CLOCK_SKEW);
    !is_expired && !is_ahead && key.accepts(&entry.value())
}
