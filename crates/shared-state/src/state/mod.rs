//! One proxy's copy of the replicated state. Its inputs are local observations, datagrams from peers and the
//! current time; its outputs are datagrams to send and updates from peers.
//!
//! - this module: the state, its timers and snapshots.
//! - `local`: recording of this proxy's own observations.
//! - `query`: queries over the entries of all proxies.
//! - `claims`: claims of writes before they are sent.
//! - `exchange`: handling of messages from peers.

mod claims;
mod config;
mod exchange;
mod local;
mod query;
mod stats;
mod update;

pub use config::SharedStateConfig;
pub use stats::Stats;
pub use update::StateUpdate;

use crate::anti_entropy::{Message, MAX_BODY_BYTES};
use crate::claims::WriteClaims;
use crate::clock::HybridClock;
use crate::entry::Entry;
use crate::key::Key;
use crate::rumours::RumourQueue;
use crate::snapshot::{self, SnapshotError};
use crate::store::Store;
use crate::token_bucket::TokenBucket;
use crate::value::Value;
use crate::Micros;
use exchange::Origin;
use local::LocalCounter;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use update::UpdateQueue;

/// The delay before the next exchange after one that found differences, or after a new peer was seen.
const EXCHANGE_INTERVAL_WHILE_DIVERGED: Micros = 100_000;
/// The interval at which entries are expired and counters are refreshed.
const EXPIRY_INTERVAL: Micros = 500_000;
/// The maximum size of an encoded delta without its entries, in bytes.
const DELTA_HEADER_BYTES: usize = 8;

/// One proxy's copy of the replicated state.
pub struct SharedState {
    process: u64,
    config: SharedStateConfig,
    clock: HybridClock,
    store: Store,
    rumours: RumourQueue,
    exchange_budget: TokenBucket,
    rng: SmallRng,
    live_peers: BTreeSet<SocketAddrV4>,
    next_exchange_at: Micros,
    next_expiry_at: Micros,
    counters: BTreeMap<u32, LocalCounter>,
    outgoing: Vec<(SocketAddrV4, Vec<u8>)>,
    updates: UpdateQueue,
    claims: WriteClaims,
    /// Counters of the work done.
    pub stats: Stats,
}

impl SharedState {
    /// Creates an empty state. `process` must be unique among all processes, past ones included; `seed` seeds
    /// the random selection of peers.
    pub fn new(process: u64, config: SharedStateConfig, seed: u64, now: Micros) -> SharedState {
        let half_budget = config.bytes_per_second / 2;
        SharedState {
            process,
            clock: HybridClock::new(process),
            store: Store::new(config.max_entries),
            rumours: RumourQueue::new(half_budget, now),
            exchange_budget: TokenBucket::new(half_budget, now),
            rng: SmallRng::seed_from_u64(seed),
            live_peers: BTreeSet::new(),
            next_exchange_at: Micros::MAX,
            next_expiry_at: now,
            counters: BTreeMap::new(),
            outgoing: Vec::new(),
            updates: UpdateQueue::default(),
            claims: WriteClaims::new(process, config.local_address),
            stats: Stats::default(),
            config,
        }
    }

    /// Sets the peers that are currently alive. An exchange follows shortly if one of them is new, since that
    /// peer or this proxy may have restarted, or a partition may have healed.
    pub fn set_live_peers(&mut self, now: Micros, peers: impl Iterator<Item = SocketAddrV4>) {
        let peers: BTreeSet<SocketAddrV4> = peers.collect();
        if peers == self.live_peers {
            return;
        }
        let has_new_peer = !peers.is_subset(&self.live_peers);
        self.live_peers = peers;
        self.claims.set_live_peers(&self.live_peers);
        if self.live_peers.is_empty() {
            self.next_exchange_at = Micros::MAX;
        } else if has_new_peer {
            self.schedule_early_exchange(now);
        }
    }

    /// Takes a message of at most `max_bytes` to piggyback on a datagram of the membership. Returns `None` if
    /// no rumour is queued or none fits.
    pub fn piggyback(&mut self, now: Micros, max_bytes: usize) -> Option<Vec<u8>> {
        let max_bytes = max_bytes.min(MAX_BODY_BYTES).saturating_sub(DELTA_HEADER_BYTES);
        let entries = self.rumours.take_batch(&self.store, max_bytes, now);
        if entries.is_empty() {
            return None;
        }
        Some(postcard::to_allocvec(&Message::Delta(entries)).unwrap_or_default())
    }

    /// Performs the work that is due: expires entries, refreshes this proxy's counters and starts exchanges.
    pub fn tick(&mut self, now: Micros) {
        if now >= self.next_expiry_at {
            self.next_expiry_at = now + EXPIRY_INTERVAL;
            self.store.expire(now);
            self.refresh_counters(now);
        }
        self.claims.tick(now);
        if now >= self.next_exchange_at && !self.live_peers.is_empty() {
            self.start_exchange(now);
        }
    }

    fn start_exchange(&mut self, now: Micros) {
        // The interval varies by up to a quarter either way, so that proxies do not synchronize.
        let interval = self.config.exchange_interval.max(EXCHANGE_INTERVAL_WHILE_DIVERGED);
        self.next_exchange_at = now + interval * 3 / 4 + self.rng.random_range(0..=interval / 2);
        let index = self.rng.random_range(0..self.live_peers.len());
        let Some(peer) = self.live_peers.iter().nth(index).copied() else { return };
        self.stats.exchanges_started += 1;
        let request = Message::DigestRequest(self.store.bucket_digests().to_vec());
        self.send(now, peer, &request);
    }

    fn schedule_early_exchange(&mut self, now: Micros) {
        self.next_exchange_at = self.next_exchange_at.min(now + EXCHANGE_INTERVAL_WHILE_DIVERGED);
    }

    /// Returns the time at which [`SharedState::tick`] is next due.
    pub fn next_due(&self) -> Micros {
        self.next_exchange_at.min(self.next_expiry_at).min(self.claims.next_due())
    }

    /// Takes the datagrams to send, each with its destination.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        self.queue_claim_messages();
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the updates received from peers since the last call.
    pub fn take_updates(&mut self) -> Vec<StateUpdate> {
        self.updates.take()
    }

    /// Returns the entries.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the queue of rumours that are still to be sent.
    pub fn rumours(&self) -> &RumourQueue {
        &self.rumours
    }

    /// Encodes all entries as a snapshot.
    pub fn snapshot(&self, now: Micros) -> Vec<u8> {
        let entries = self.store.iter().map(|(key, entry)| (*key, *entry)).collect();
        snapshot::encode(now, entries)
    }

    /// Merges a snapshot, each entry subject to its merge rule and time to live. Returns the number of
    /// entries that changed the store.
    ///
    /// The restored entries are not announced as rumours, except outcomes of writes: peers may hold newer
    /// values, and an exchange repairs the differences.
    ///
    /// # Errors
    ///
    /// Returns a [`SnapshotError`] and leaves the state unchanged if the snapshot cannot be used.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<usize, SnapshotError> {
        let entries = snapshot::decode(bytes)?;
        let before = self.stats.entries_updated;
        self.merge_entries(now, &entries, Origin::Exchange);
        Ok((self.stats.entries_updated - before) as usize)
    }

    fn value(&self, key: &Key) -> Option<Value> {
        self.store.get(key).map(Entry::value)
    }
}
