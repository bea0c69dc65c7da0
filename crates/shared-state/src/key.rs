//! The keys of the replicated state, with what the store has to know of each kind: how long its entries live, which
//! are evicted first, and which values belong to it.

use crate::value::Value;
use crate::Micros;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

/// The number of buckets over which the digest of a store is spread.
pub const DIGEST_BUCKETS: usize = 64;

/// What an entry is about. Members, writes, counters and processes are identified by hashes of their names that all
/// proxies share, see [`hash_name`](crate::hash_name).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The log position of a member.
    Position(u64),
    /// Whether the fleet suspects a member.
    #[serde(rename = "Mark")]
    MemberStatus(u64),
    /// What one process has counted.
    #[serde(rename = "Count")]
    Counter {
        /// The counter.
        counter: u32,
        /// The process that counts.
        process: u64,
    },
    /// The outcome of a write whose client got no answer.
    #[serde(rename = "Doubt")]
    WriteOutcome(u64),
    /// What one router has observed of a member's health.
    Health {
        /// The member.
        member: u64,
        /// The router.
        router: u64,
    },
}

/// The order in which entries give way when a store is full: the least kind is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EvictionPriority {
    /// Health observations go first: a flood of them then displaces nothing else.
    Health,
    /// Log positions, which are learned again with the next answer.
    Position,
    /// Suspicions.
    MemberStatus,
    /// Counters.
    Counter,
    /// Outcomes of writes go last: to forget one may run a write twice.
    WriteOutcome,
}

impl EvictionPriority {
    /// All priorities in rising order.
    pub const ALL: [EvictionPriority; 5] = [
        EvictionPriority::Health,
        EvictionPriority::Position,
        EvictionPriority::MemberStatus,
        EvictionPriority::Counter,
        EvictionPriority::WriteOutcome,
    ];
}

impl Key {
    /// The least key.
    pub const MIN: Key = Key::Position(0);

    /// How long an entry lives after it was last refreshed, in microseconds.
    pub fn time_to_live(&self) -> Micros {
        match self {
            // A lower bound for good, but a member that nobody reads any more need not be remembered.
            Key::Position(_) => 120_000_000,
            // Short, so that no stale suspicion withdraws a member that works.
            Key::MemberStatus(_) => 10_000_000,
            Key::Counter { .. } => 600_000_000,
            // Longer than any client waits before it comes back.
            Key::WriteOutcome(_) => 300_000_000,
            // Observations are about the last seconds only.
            Key::Health { .. } => 6_000_000,
        }
    }

    /// When entries of this kind give way to others.
    pub fn eviction_priority(&self) -> EvictionPriority {
        match self {
            Key::Health { .. } => EvictionPriority::Health,
            Key::Position(_) => EvictionPriority::Position,
            Key::MemberStatus(_) => EvictionPriority::MemberStatus,
            Key::Counter { .. } => EvictionPriority::Counter,
            Key::WriteOutcome(_) => EvictionPriority::WriteOutcome,
        }
    }

    /// Whether a value is of the kind that belongs to this key.
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

    /// The bucket of the digest that the key belongs to, less than [`DIGEST_BUCKETS`].
    pub fn digest_bucket(&self) -> usize {
        let bytes = postcard::to_allocvec(self).unwrap_or_default();
        (XxHash3_64::oneshot(&bytes) % DIGEST_BUCKETS as u64) as usize
    }
}
