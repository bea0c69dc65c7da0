//! The write lease server, which grants write leases, collects the slots that holders have closed, and seals
//! slots.

use crate::{ClosedSlot, KeyHash, Micros, NegativeCacheConfig, Slot, SlotWindow, WINDOW_SLOTS};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of holders. Further holders get no lease.
pub const MAX_HOLDERS: usize = 1_024;
/// Maximum number of keys in one sealed slot. If there are more, every key counts as written.
pub const MAX_KEYS_PER_SEALED_SLOT: usize = 8_192;

/// A holder's request for a lease from a server, with the slots that the holder has closed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteLeaseRequest {
    /// The holder's number, unique among all processes, past and present.
    pub holder: u64,
    /// The sequence number, which increases with each request of this holder to this server.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The closed slots that the server has not acknowledged yet.
    #[serde(rename = "notes")]
    pub closed_slots: Vec<ClosedSlot>,
    /// Set when the holder is shutting down: it begins no further writes, and none of its writes commits
    /// after this slot.
    #[serde(rename = "last")]
    pub final_slot: Option<Slot>,
}

/// A lease granted by a server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteLeaseGrant {
    /// The holder.
    pub holder: u64,
    /// The sequence number of the request that is answered. The lease starts when that request was sent.
    #[serde(rename = "ask")]
    pub sequence: u64,
    /// The server has received all closed slots up to this one.
    #[serde(rename = "had")]
    pub acknowledged: Slot,
}

/// A slot that a server has sealed. No write under the server's leases that committed in the slot touched
/// keys other than those listed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SealedSlot {
    /// The server.
    #[serde(rename = "bank")]
    pub server: u32,
    /// The incarnation of the server: the time at which its process started, by its own clock.
    #[serde(rename = "launch")]
    pub incarnation: Micros,
    /// The slot.
    pub slot: Slot,
    /// Whether there were too many keys to list, so that every key of every group may have been written.
    #[serde(rename = "every")]
    pub all_keys: bool,
    /// The keys in ascending order.
    #[serde(rename = "marks")]
    pub keys: Vec<KeyHash>,
}

/// A server's state regarding one holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Holder {
    last_sequence: u64,
    /// The first slot in which a write under the holder's lease may commit.
    first_slot: Slot,
    lease_expires_at: Micros,
    /// The last slot in which a write of the holder may commit, if it has announced its shutdown.
    final_slot: Option<Slot>,
    closed: SlotWindow,
}

impl Holder {
    /// Returns the last slot in which a write under the holder's lease may commit.
    fn last_slot(&self, config: &NegativeCacheConfig) -> Slot {
        self.final_slot.unwrap_or_else(|| config.last_commit_slot(self.lease_expires_at))
    }

    /// Returns whether a write that the holder has not reported yet may commit in the slot, so that it cannot
    /// be sealed.
    fn blocks_seal(&self, slot: Slot, config: &NegativeCacheConfig) -> bool {
        self.first_slot <= slot && slot <= self.last_slot(config) && !self.closed.contains(slot)
    }

    /// Returns the last slot of the contiguous run of slots that the holder has closed.
    fn acknowledged(&self) -> Slot {
        let first = self.first_slot.max(self.closed.first());
        first + self.closed.run_length(first) - 1
    }
}

/// The keys written in one slot, as reported by holders so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct WrittenKeys {
    all: bool,
    keys: BTreeSet<KeyHash>,
}

impl WrittenKeys {
    fn add(&mut self, closed: &ClosedSlot) {
        self.keys.extend(closed.keys.iter().copied());
        self.all |= closed.all_keys || self.keys.len() > MAX_KEYS_PER_SEALED_SLOT;
        if self.all {
            self.keys.clear();
        }
    }
}

/// A write lease server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WriteLeaseServer {
    id: u32,
    config: NegativeCacheConfig,
    incarnation: Micros,
    now: Micros,
    grants_from: Micros,
    /// The first slot that this server may seal. Holders of leases from an earlier incarnation may have
    /// written in older slots.
    first_sealable: Slot,
    holders: BTreeMap<u64, Holder>,
    written: BTreeMap<Slot, WrittenKeys>,
    sealed: SlotWindow,
    /// Number of requests that got no lease because the server grants none yet, because they were out of
    /// order, or because a limit was reached.
    pub ignored_requests: u64,
}

impl WriteLeaseServer {
    /// Creates a server whose process has just started. Only one process at a time may use an id.
    pub fn new(id: u32, config: NegativeCacheConfig, now: Micros) -> WriteLeaseServer {
        let sealed = SlotWindow::new(config.slot_of_commit(now) - WINDOW_SLOTS / 2);
        let mut server = WriteLeaseServer {
            id,
            config,
            incarnation: now,
            now,
            grants_from: 0,
            first_sealable: 0,
            holders: BTreeMap::new(),
            written: BTreeMap::new(),
            sealed,
            ignored_requests: 0,
        };
        server.wait_for_earlier_leases(now);
        server
    }

    /// Defers grants until all leases of an earlier incarnation have expired. The first slot that may be
    /// sealed is the one after the last slot in which a write under such a lease may commit.
    fn wait_for_earlier_leases(&mut self, now: Micros) {
        self.grants_from = now + self.config.lease_duration + 2 * self.config.max_clock_skew;
        self.first_sealable = self.config.last_commit_slot(self.grants_from) + 1;
    }

    /// Returns the server's id.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Returns the time, by the server's clock, from which the server grants leases.
    pub fn grants_from(&self) -> Micros {
        self.grants_from
    }

    fn advance(&mut self, now: Micros) {
        // A process that was paused for longer than a lease may have been replaced by another one, whose
        // holders are unknown here.
        if now - self.now > self.config.lease_duration {
            self.incarnation = now;
            self.holders = BTreeMap::new();
            self.wait_for_earlier_leases(now);
        }
        self.now = self.now.max(now);
        let first = self.config.slot_of_commit(self.now) - WINDOW_SLOTS / 2;
        self.sealed.advance_to(first);
        self.written.retain(|slot, _| *slot >= first);
        let config = &self.config;
        self.holders.retain(|_, holder| holder.last_slot(config) >= first);
        for holder in self.holders.values_mut() {
            holder.closed.advance_to(first);
        }
    }

    /// Handles a request from a holder. Returns the lease if one is granted.
    pub fn on_request(&mut self, now: Micros, request: &WriteLeaseRequest) -> Option<WriteLeaseGrant> {
        self.advance(now);
        let is_full = !self.holders.contains_key(&request.holder) && self.holders.len() >= MAX_HOLDERS;
        if self.now < self.grants_from || is_full {
            self.ignored_requests += 1;
            return None;
        }
        let new_holder = self.new_holder();
        let holder = match request.final_slot {
            None => self.holders.entry(request.holder).or_insert(new_holder),
            // A process that is shutting down is not registered as a new holder.
            Some(_) => self.holders.get_mut(&request.holder)?,
        };
        // Closed slots remain valid in a late or duplicate request.
        for closed in &request.closed_slots {
            let is_new = !holder.closed.contains(closed.slot) && holder.closed.insert(closed.slot);
            if is_new {
                self.written.entry(closed.slot).or_default().add(closed);
            }
        }
        // A late or duplicate request gets no lease because its send time is unknown.
        if request.sequence <= holder.last_sequence || holder.final_slot.is_some() {
            self.ignored_requests += 1;
            return None;
        }
        holder.last_sequence = request.sequence;
        holder.final_slot = request.final_slot;
        holder.lease_expires_at = match request.final_slot {
            None => self.now + self.config.lease_duration,
            Some(_) => self.now,
        };
        Some(WriteLeaseGrant {
            holder: request.holder,
            sequence: request.sequence,
            acknowledged: holder.acknowledged(),
        })
    }

    fn new_holder(&self) -> Holder {
        Holder {
            last_sequence: 0,
            first_slot: self.config.slot_of_commit(self.now - self.config.max_clock_skew),
            lease_expires_at: self.now,
            final_slot: None,
            closed: SlotWindow::new(self.sealed.first()),
        }
    }

    /// Seals and returns the slots that have been closed by every holder that may have written in them, and
    /// in which no holder that gets a lease later can write.
    pub fn seal(&mut self, now: Micros) -> Vec<SealedSlot> {
        self.advance(now);
        let mut seals = Vec::new();
        let mut slot = self.first_sealable.max(self.sealed.first());
        while self.config.is_past(self.now, slot) {
            let is_blocked = self.holders.values().any(|holder| holder.blocks_seal(slot, &self.config));
            if !is_blocked && !self.sealed.contains(slot) {
                seals.push(self.seal_slot(slot));
            }
            slot += 1;
        }
        seals
    }

    fn seal_slot(&mut self, slot: Slot) -> SealedSlot {
        self.sealed.insert(slot);
        let written = self.written.remove(&slot).unwrap_or_default();
        SealedSlot {
            server: self.id,
            incarnation: self.incarnation,
            slot,
            all_keys: written.all,
            keys: written.keys.into_iter().collect(),
        }
    }

    /// Returns the number of holders that have a lease or whose writes may have committed within the window.
    pub fn holder_count(&self) -> usize {
        self.holders.len()
    }
}
