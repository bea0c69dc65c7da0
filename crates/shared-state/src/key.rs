//! The keys of the replicated state, with the properties of each kind of entry that the store needs: its time
//! to live, its eviction priority and the type of its values.

use crate::value::Value;
use crate::Micros;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

/// The number of buckets into which the keys of a store are divided, each with a digest of its own.
pub const DIGEST_BUCKETS: usize = 64;

/// The subject of an entry. Members, writes, counters and processes are identified by hashes of their names,
/// which are the same on all proxies, see [`hash_name`](crate::hash_name).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The log position of a member.
    Position(u64),
    /// Whether a member is suspected of having failed.
    #[serde(rename = "Mark")]
    MemberStatus(u64),
    /// The share of one process in a counter.
    #[serde(rename = "Count")]
    Counter {
        /// The counter.
        counter: u32,
        /// The process that counted.
        process: u64,
    },
    /// The outcome of a write whose client received no answer.
    #[serde(rename = "Doubt")]
    WriteOutcome(u64),
    /// The health of a member as one router observed it.
    Health {
        /// The member.
        member: u64,
        /// The router that made the observation.
        router: u64,
    },
}

/// The order in which entries are evicted from a full store: the lowest priority first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EvictionPriority {
    /// Health observations. Evicted first, so that a flood of them displaces no other kind.
    Health,
    /// Log positions. The next answer of the member brings a current one.
    Position,
    /// Suspicions.
    MemberStatus,
    /// Counters.
    Counter,
    /// Outcomes of writes. Evicted last, since a write whose outcome is forgotten may be executed twice.
    WriteOutcome,
}

impl EvictionPriority {
    /// All priorities in ascending order.
    pub const ALL: [EvictionPriority; 5] = [
        EvictionPriority::Health,
        EvictionPriority::Position,
        EvictionPriority::MemberStatus,
        EvictionPriority::Counter,
        EvictionPriority::WriteOutcome,
    ];
}

impl Key {
    /// The smallest key.
    pub const MIN: Key = Key::Position(0);

    /// Returns how long an entry is kept after its last refresh, in microseconds.
    pub fn time_to_live(&self) -> Micros {
        match self {
            // A position remains valid as a lower bound. It expires so that members no longer read are
            // forgotten.
            Key::Position(_) => 120_000_000,
            // Short, so that a stale suspicion does not keep a working member out of use.
            Key::MemberStatus(_) => 10_000_000,
            Key::Counter { .. } => 600_000_000,
            // Longer than any client waits before it retries.
            Key::WriteOutcome(_) => 300_000_000,
            // Observations cover only the last few seconds.
            Key::Health { .. } => 6_000_000,
        }
    }

    /// Returns the eviction priority of entries with this key.
    pub fn eviction_priority(&self) -> EvictionPriority {
        match self {
            Key::Health { .. } => EvictionPriority::Health,
            Key::Position(_) => EvictionPriority::Position,
            Key::MemberStatus(_) => EvictionPriority::MemberStatus,
            Key::Counter { .. } => EvictionPriority::Counter,
            Key::WriteOutcome(_) => EvictionPriority::WriteOutcome,
        }
    }

    /// Returns whether the value's type matches this key.
    pub fn accepts(&self, value: &Value) -> bool {
        matches!(
            (self, value),
            (Key::Position(_), Value::Position { .. })
                | (Key::MemberStatus(_), Value::MemberStatus { .. })
                | (Key::Counter { .. }, Value::Counter(_))
                | (Key::WriteOutcome(_), Value::WriteOutcome(_))
                | (Key::Health { .. }, Value::Health(_))
        )
    }

    /// Returns the digest bucket that the key belongs to, less than [`DIGEST_BUCKETS`].
    pub fn digest_bucket(&self) -> usize {
        let bytes = postcard::to_allocvec(self).unwrap_or_default();
        (XxHash3_64::oneshot(&bytes) % DIGEST_BUCKETS as u64) as usize
    }
}
