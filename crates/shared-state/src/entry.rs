//! What is replicated, and the rule by which copies that differ become one. Every rule is a maximum of a total order,
//! so that merging is commutative, associative and idempotent: copies may come late, twice or in any order.

use crate::clock::Stamp;
use crate::Micros;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;
use wharfplank_health::Voice;

/// The greatest of the ranks that keys have.
pub(crate) const RANK_MOST: u8 = 4;

/// What an entry is about. Members, writes and counters are told by a hash of their names that all proxies share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The log position of a member.
    Position(u64),
    /// How a member does in the eyes of the fleet.
    Mark(u64),
    /// What one proxy has counted: the counter, and the proxy's process.
    Count(u32, u64),
    /// A write that may have run.
    Doubt(u64),
    /// What one router says of how a member does: the member, and the router.
    Health(u64, u64),
}

/// How a member does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Mark {
    /// It answers.
    Clear,
    /// A proxy suspects it: it fell silent there.
    Suspected,
}

/// What is known of a write whose client got no answer. The order is the rule: more is known to the right, and a write
/// that ran has run, whoever else holds that it did not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Doubt {
    /// It may have run.
    Open,
    /// It did not run: it may be sent.
    NotRun,
    /// It ran.
    Ran,
}

/// What is held of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// Monotone maximum within an epoch: the member's launch (0: unknown), then the position in µs. A newer epoch wins
    /// whatever its position: a member that started anew may have lost what the old process had.
    Position {
        /// When the member's process started, in ms of Unix time as the list has it.
        epoch: i64,
        /// The position.
        at: Micros,
    },
    /// The last writer wins, by the hybrid clock; equal stamps (a proxy that lies) by the graver mark.
    Mark {
        /// When it was said, and by whom.
        stamp: Stamp,
        /// What was said.
        mark: Mark,
    },
    /// Grows only: one proxy's own count. The counter is the sum over proxies.
    Count(u64),
    /// Grows only until it is settled.
    Doubt(Doubt),
    /// The newer launch of the member wins, then the newer window.
    Health(Voice),
}

/// An entry: its value, and the newest time at which a proxy vouched for it, which decides when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    value: Value,
    wall: Micros,
}

impl Entry {
    /// An entry vouched for at `wall`.
    pub fn new(value: Value, wall: Micros) -> Entry {
        Entry { value, wall }
    }

    /// Its value.
    pub fn value(&self) -> Value {
        self.value
    }

    /// When it was last vouched for.
    pub fn wall(&self) -> Micros {
        self.wall
    }

    /// Merges another copy: the greater value, the newer time. True where this one changed.
    pub fn join(&mut self, other: &Entry) -> bool {
        let merged = Entry { value: self.value.max(other.value), wall: self.wall.max(other.wall) };
        std::mem::replace(self, merged) != merged
    }

    /// A hash of the entry under its key, the same on every proxy.
    pub fn hash(&self, key: &Key) -> u64 {
        let bytes = postcard::to_allocvec(&(key, self)).unwrap_or_default();
        XxHash3_64::oneshot(&bytes)
    }
}

impl Key {
    /// How long an entry of this kind holds after it was last vouched for. A position is a lower bound for good, but a
    /// member that nobody reads any more need not be kept; a voice is of the last seconds only; a suspicion grows old by itself, so that no stale view
    /// withdraws a member that works; a write in doubt is kept past any client's wait and its return.
    pub fn life(&self) -> Micros {
        match self {
            Key::Position(_) => 120_000_000,
            Key::Mark(_) => 10_000_000,
            Key::Count(..) => 600_000_000,
            Key::Doubt(_) => 300_000_000,
            Key::Health(..) => 6_000_000,
        }
    }

    /// What gives way to what where a table is full: the least goes first.
    pub fn rank(&self) -> u8 {
        match self {
            // The first to go: what fills the table with voices takes the place of voices alone.
            Key::Health(..) => 0,
            Key::Position(_) => 1,
            Key::Mark(_) => 2,
            Key::Count(..) => 3,
            Key::Doubt(_) => RANK_MOST,
        }
    }

    /// Whether a value is of the key's kind: one that is not is no entry.
    pub fn fits(&self, value: &Value) -> bool {
        matches!(
            (self, value),
            (Key::Position(_), Value::Position { .. })
                | (Key::Mark(_), Value::Mark { .. })
                | (Key::Count(..), Value::Count(_))
                | (Key::Doubt(_), Value::Doubt(_))
                | (Key::Health(..), Value::Health(_))
        )
    }

    /// The leaf of the digest that it belongs to.
    pub fn leaf(&self) -> usize {
        let bytes = postcard::to_allocvec(self).unwrap_or_default();
        (XxHash3_64::oneshot(&bytes) % crate::LEAVES as u64) as usize
    }
}
