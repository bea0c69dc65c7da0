//! The configuration that all proxies and lease servers of a fleet share, and the arithmetic of slots that follows
//! from it.

use crate::{Micros, Slot};

/// The configuration of the whole fleet: it must be equal on all proxies and lease servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NegativeCacheConfig {
    /// The length of a slot.
    pub slot_length: Micros,
    /// The greatest difference between any two clocks, including those of members, which stamp commits.
    pub max_clock_skew: Micros,
    /// How long a write lease lasts, by the server's clock, from when the request arrived.
    pub lease_duration: Micros,
    /// How often a holder sends a request to each lease server.
    pub renewal_interval: Micros,
    /// A write commits no later than this after its first byte was sent, whether or not its answer arrives: the members'
    /// time-out of statements and the connections' time-out of unacknowledged bytes together, or more.
    pub max_commit_delay: Micros,
    /// How long an entry lives after a member's answer.
    pub entry_ttl: Micros,
    /// The bound on entries that were looked up more than once.
    pub max_frequent_entries: usize,
    /// The bound on entries that were looked up once, for each of their two generations.
    pub max_recent_entries: usize,
    /// The bound on announcements a second to other proxies of entries that were looked up once.
    pub max_announcements_per_second: u32,
}

impl Default for NegativeCacheConfig {
    fn default() -> Self {
        NegativeCacheConfig {
            slot_length: 250_000,
            max_clock_skew: 100_000,
            lease_duration: 5_000_000,
            renewal_interval: 250_000,
            max_commit_delay: 10_000_000,
            entry_ttl: 600_000_000,
            max_frequent_entries: 1 << 20,
            max_recent_entries: 1 << 16,
            max_announcements_per_second: 100,
        }
    }
}

impl NegativeCacheConfig {
    /// The slot of a commit at this position.
    pub fn slot_of_commit(&self, commit: Micros) -> Slot {
        (commit - 1).div_euclid(self.slot_length)
    }

    /// The first slot that an entry at this position has to cross: that of the first commit after it.
    pub fn slot_after(&self, position: Micros) -> Slot {
        position.div_euclid(self.slot_length)
    }

    /// The last position of a slot.
    pub fn slot_end(&self, slot: Slot) -> Micros {
        (slot + 1) * self.slot_length
    }

    /// Whether no write that begins from now on, by this clock, can commit in the slot or before it.
    pub fn is_past(&self, now: Micros, slot: Slot) -> bool {
        now - self.max_clock_skew > self.slot_end(slot)
    }

    /// How long a holder may rely on a lease from when it sent the request. The clocks of holder and server may each be
    /// off by `max_clock_skew` in the worse direction at either end.
    pub fn safe_lease_duration(&self) -> Micros {
        self.lease_duration - 2 * self.max_clock_skew
    }

    /// The last slot in which a write may commit that began, by this clock, no later than now.
    pub fn last_commit_slot(&self, now: Micros) -> Slot {
        self.slot_of_commit(now + self.max_clock_skew + self.max_commit_delay)
    }
}
