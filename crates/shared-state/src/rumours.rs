//! Rumour mongering: each proxy that learns of a change transmits it a few times, piggybacked on the
//! datagrams of the membership and within a budget of bytes per second. A change that exceeds the budget is
//! deferred, and a newer value of the same key replaces it. Anti-entropy delivers the changes that rumours
//! miss.

use crate::anti_entropy::encoded_size;
use crate::entry::Entry;
use crate::key::{EvictionPriority, Key};
use crate::store::Store;
use crate::token_bucket::TokenBucket;
use crate::Micros;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The changes that a proxy is still to transmit: at most one for each entry of its store.
#[derive(Clone, Debug)]
pub struct RumourQueue {
    /// The number of remaining transmissions of each key.
    remaining: BTreeMap<Key, u8>,
    budget: TokenBucket,
    /// The number of bytes of rumours sent.
    pub bytes_sent: u64,
    /// The number of times a batch ended early because the datagram or the budget had no room for the next
    /// rumour.
    pub deferred: u64,
}

/// Returns how often each proxy transmits a rumour, given the number of live peers: often enough for the
/// rumour to reach nearly all of them.
pub fn transmission_limit(live_peers: usize) -> u8 {
    (2 + (live_peers + 1).ilog2()) as u8
}

impl RumourQueue {
    /// Creates an empty queue with a budget in bytes per second.
    pub fn new(bytes_per_second: u64, now: Micros) -> RumourQueue {
        RumourQueue {
            remaining: BTreeMap::new(),
            budget: TokenBucket::new(bytes_per_second, now),
            bytes_sent: 0,
            deferred: 0,
        }
    }

    /// Queues the change of a key. It replaces an older change of the same key.
    pub fn push(&mut self, key: Key, live_peers: usize) {
        self.remaining.insert(key, transmission_limit(live_peers));
    }

    /// Counts one transmission of a key: this proxy sent it, or learned that a peer already has the same
    /// value.
    pub fn count_transmission(&mut self, key: &Key) {
        let Some(remaining) = self.remaining.get_mut(key) else { return };
        *remaining = remaining.saturating_sub(1);
        if *remaining == 0 {
            self.remaining.remove(key);
        }
    }

    /// Takes the entries for a datagram with room for `max_bytes`: the highest priority first, and within a
    /// priority those with the most remaining transmissions first.
    pub fn take_batch(&mut self, store: &Store, max_bytes: usize, now: Micros) -> Vec<(Key, Entry)> {
        if self.remaining.is_empty() {
            return Vec::new();
        }
        let max_bytes = max_bytes.min(self.budget.available(now));
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        for key in self.transmission_order() {
            let Some(entry) = store.get(&key) else {
                self.remaining.remove(&key);
                continue;
            };
            let entry_bytes = encoded_size(&key, entry);
            if batch_bytes + entry_bytes > max_bytes {
                self.deferred += 1;
                break;
            }
            batch_bytes += entry_bytes;
            batch.push((key, *entry));
        }
        for (key, _) in &batch {
            self.count_transmission(key);
        }
        self.budget.consume(batch_bytes);
        self.bytes_sent += batch_bytes as u64;
        batch
    }

    fn transmission_order(&self) -> Vec<Key> {
        let mut order: Vec<(Reverse<EvictionPriority>, Reverse<u8>, Key)> = self
            .remaining
            .iter()
            .map(|(key, remaining)| (Reverse(key.eviction_priority()), Reverse(*remaining), *key))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, key)| key).collect()
    }

    /// Returns the number of queued changes.
    pub fn len(&self) -> usize {
        self.remaining.len()
    }

    /// Returns whether no change is queued.
    pub fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }
}
