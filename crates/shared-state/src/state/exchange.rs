//! Handling of messages from peers.

use super::{SharedState, StateUpdate};
use crate::anti_entropy::{
    differing_buckets, entries_missing_at_peer, range_messages, repair_messages, KeyRange, Message,
};
use crate::entry::Entry;
use crate::key::{Key, DIGEST_BUCKETS};
use crate::store::MergeOutcome;
use crate::value::Value;
use crate::Micros;
use rand::seq::index;
use rand::Rng;
use std::net::SocketAddrV4;

/// The time by which a rumour should have delivered an entry. If an exchange finds an older entry missing,
/// another exchange follows shortly; a newer entry may still be on its way.
const RUMOUR_DELIVERY_TIME: Micros = 3_000_000;
/// The maximum number of messages sent in answer to one message of an exchange.
const MAX_ANSWERS: usize = 8;
/// The number of peers to which each proxy sends an urgent rumour immediately. A client whose write is in
/// doubt may retry within a second, and rumours piggybacked on the membership's datagrams take about that
/// long.
const URGENT_FANOUT: usize = 4;
/// The maximum number of datagrams queued for the driver. When the queue is full, the oldest is dropped.
const MAX_OUTGOING: usize = 256;

/// The way in which an entry reached this proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// As a rumour. It is propagated further.
    Rumour,
    /// By an exchange or from a snapshot. Only outcomes of writes are propagated further as rumours, since a
    /// healed partition would otherwise flood the fleet with rumours. Exchanges deliver the other entries.
    Exchange,
}

impl SharedState {
    /// Handles a message from a peer. A message that cannot be decoded is counted and ignored.
    pub fn on_message(&mut self, now: Micros, from: SocketAddrV4, bytes: &[u8]) {
        let Ok(message) = postcard::from_bytes::<Message>(bytes) else {
            self.stats.undecodable_messages += 1;
            return;
        };
        match message {
            Message::Delta(entries) => {
                self.merge_entries(now, &entries, Origin::Rumour);
            }
            Message::Repair(entries) => {
                let missed = self.merge_entries(now, &entries, Origin::Exchange);
                self.on_missed_rumours(now, missed);
            }
            Message::DigestRequest(digests) => self.on_digest_request(now, from, &digests),
            Message::Ranges(ranges) => self.on_ranges(now, from, &ranges),
            Message::Claim(message) => self.on_claim_message(now, from, message),
        }
    }

    fn on_digest_request(&mut self, now: Micros, from: SocketAddrV4, digests: &[u64]) {
        if differing_buckets(&self.store, digests).is_empty() {
            return;
        }
        let first_bucket = self.rng.random_range(0..DIGEST_BUCKETS);
        for answer in range_messages(&self.store, digests, first_bucket, MAX_ANSWERS) {
            self.send(now, from, &answer);
        }
    }

    fn on_ranges(&mut self, now: Micros, from: SocketAddrV4, ranges: &[KeyRange]) {
        let mut missed = 0;
        let mut missing_at_peer = Vec::new();
        for range in ranges {
            missed += self.merge_entries(now, &range.entries, Origin::Exchange);
            missing_at_peer.extend(entries_missing_at_peer(&self.store, range));
        }
        missed += missing_at_peer.iter().filter(|(_, entry)| is_overdue(entry, now)).count();
        self.on_missed_rumours(now, missed);
        for answer in repair_messages(missing_at_peer, MAX_ANSWERS) {
            self.send(now, from, &answer);
        }
    }

    /// Schedules another exchange shortly if this one found entries that rumours should have delivered.
    fn on_missed_rumours(&mut self, now: Micros, missed: usize) {
        if missed > 0 {
            self.stats.exchanges_with_differences += 1;
            self.schedule_early_exchange(now);
        }
    }

    /// Merges entries from a peer. Returns the number of those that changed the store and are overdue as
    /// rumours.
    pub(super) fn merge_entries(&mut self, now: Micros, entries: &[(Key, Entry)], origin: Origin) -> usize {
        let mut missed = 0;
        for (key, entry) in entries {
            if self.merge_entry(now, key, entry, origin) && is_overdue(entry, now) {
                missed += 1;
            }
        }
        missed
    }

    /// Merges one entry and propagates it if its origin or kind requires that. Returns whether the store
    /// changed.
    fn merge_entry(&mut self, now: Micros, key: &Key, entry: &Entry, origin: Origin) -> bool {
        if let Value::MemberStatus { timestamp, .. } = entry.value() {
            if self.clock.observe(timestamp, now).is_err() {
                self.store.rejected += 1;
                return false;
            }
        }
        let is_new = self.store.get(key).is_none();
        match self.store.merge(*key, entry, now) {
            MergeOutcome::Updated => {
                self.stats.entries_updated += 1;
                self.propagate(now, *key, is_new, origin);
                self.queue_update(key);
                true
            }
            MergeOutcome::Unchanged => {
                self.stats.entries_unchanged += 1;
                self.rumours.count_transmission(key);
                false
            }
            MergeOutcome::Rejected | MergeOutcome::Full => false,
        }
    }

    fn propagate(&mut self, now: Micros, key: Key, is_new: bool, origin: Origin) {
        let is_rumour = origin == Origin::Rumour;
        let is_write = matches!(key, Key::WriteOutcome(_));
        // A router's first observation of a member raises a suspicion or responds to that of another router.
        let is_first_observation = matches!(key, Key::Health { .. }) && is_new;
        if is_rumour || is_write {
            self.rumours.push(key, self.live_peers.len());
        }
        if is_rumour && (is_first_observation || is_write) {
            self.send_urgently(now, key);
        }
    }

    fn queue_update(&mut self, key: &Key) {
        let Some(entry) = self.store.get(key) else { return };
        let Some(update) = StateUpdate::from_entry(key, entry, self.process) else { return };
        if self.updates.push(update) {
            self.stats.dropped += 1;
        }
    }

    /// Sends an entry immediately to a few random peers, in addition to the rumour.
    pub(super) fn send_urgently(&mut self, now: Micros, key: Key) {
        let Some(entry) = self.store.get(&key).copied() else { return };
        let message = Message::Delta(vec![(key, entry)]);
        let peers: Vec<SocketAddrV4> = self.live_peers.iter().copied().collect();
        let fanout = URGENT_FANOUT.min(peers.len());
        for chosen in index::sample(&mut self.rng, peers.len(), fanout) {
            self.send(now, peers[chosen], &message);
        }
    }

    /// Queues a message in a datagram of its own if the budget for exchanges allows it.
    pub(super) fn send(&mut self, now: Micros, to: SocketAddrV4, message: &Message) {
        let bytes = postcard::to_allocvec(message).unwrap_or_default();
        if self.exchange_budget.available(now) < bytes.len() {
            self.stats.throttled_messages += 1;
            return;
        }
        self.exchange_budget.consume(bytes.len());
        self.stats.exchange_bytes += bytes.len() as u64;
        self.queue_datagram(to, bytes);
    }

    /// Queues a datagram. When the queue is full, the oldest one is dropped.
    pub(super) fn queue_datagram(&mut self, to: SocketAddrV4, bytes: Vec<u8>) {
        if self.outgoing.len() >= MAX_OUTGOING {
            self.outgoing.remove(0);
            self.stats.dropped += 1;
        }
        self.outgoing.push((to, bytes));
    }
}

/// Returns whether a rumour should have delivered the entry by now.
fn is_overdue(entry: &Entry, now: Micros) -> bool {
    now - entry.refreshed_at() > RUMOUR_DELIVERY_TIME
}
