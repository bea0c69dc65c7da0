//! The configuration shared by all proxies and lease servers of a fleet, and the slot arithmetic based on it.

use crate::{Micros, Slot};

/// The configuration of the whole fleet. It must be identical on all proxies and lease servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NegativeCacheConfig {
    /// The length of a slot.
    pub slot_length: Micros,
    /// The maximum difference between any two clocks, including those of members, which stamp commits.
    pub max_clock_skew: Micros,
    /// The duration of a write lease, measured by the server's clock from the arrival of the request.
    pub lease_duration: Micros,
    /// The interval at which a holder sends a request to each lease server.
    pub renewal_interval: Micros,
    /// The maximum time from sending the first byte of a write to its commit, whether or not a response
    /// arrives. It must be at least the members' statement timeout plus the connections' timeout for
    /// unacknowledged data.
    pub max_commit_delay: Micros,
    /// The lifetime of an entry, measured from the member's response.
    pub entry_ttl: Micros,
    /// The maximum number of entries that were looked up more than once.
    pub max_frequent_entries: usize,
    /// The maximum number of entries that were looked up once, in each of their two generations.
    pub max_recent_entries: usize,
    /// The maximum number of entries looked up once that are announced to other proxies per second.
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
    /// Returns the slot of a commit at this position.
    pub fn slot_of_commit(&self, commit: Micros) -> Slot {
        (commit - 1).div_euclid(self.slot_length)
    }

    /// Returns the first slot that an entry at this position has to cross, which is that of the next possible
    /// commit.
    pub fn slot_after(&self, position: Micros) -> Slot {
        position.div_euclid(self.slot_length)
    }

    /// Returns the last position of a slot.
    pub fn slot_end(&self, slot: Slot) -> Micros {
        (slot + 1) * self.slot_length
    }

    /// Returns whether no write that begins at or after `now`, by the local clock, can commit in the slot or
    /// an earlier one.
    pub fn is_past(&self, now: Micros, slot: Slot) -> bool {
        now - self.max_clock_skew > self.slot_end(slot)
    }

    /// Returns how long a holder may rely on a lease, measured from sending the request. The skew counts
    /// twice because the clocks of holder and server may differ by `max_clock_skew` in the unfavorable
    /// direction both when the lease starts and when it ends.
    pub fn safe_lease_duration(&self) -> Micros {
        self.lease_duration - 2 * self.max_clock_skew
    }

    /// Returns the last slot in which a write may commit that began no later than `now` by the local clock.
    pub fn last_commit_slot(&self, now: Micros) -> Slot {
        self.slot_of_commit(now + self.max_clock_skew + self.max_commit_delay)
    }
}
