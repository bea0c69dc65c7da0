//! An entry of the replicated state: a value and the time of its last refresh.

use crate::key::Key;
use crate::value::Value;
use crate::Micros;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

/// A value with the time of its last refresh by any proxy, from which its time to live counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    value: Value,
    #[serde(rename = "wall")]
    refreshed_at: Micros,
}

impl Entry {
    /// Creates an entry that was last refreshed at `refreshed_at`, in microseconds of the wall clock.
    pub fn new(value: Value, refreshed_at: Micros) -> Entry {
        Entry { value, refreshed_at }
    }

    /// Returns the value.
    pub fn value(&self) -> Value {
        self.value
    }

    /// Returns the time of the last refresh, in microseconds of the wall clock.
    pub fn refreshed_at(&self) -> Micros {
        self.refreshed_at
    }

    /// Merges another copy into this one: the greater value and the later time win. Returns whether this copy
    /// changed.
    pub fn merge(&mut self, other: &Entry) -> bool {
        let merged = Entry {
            value: self.value.max(other.value),
            refreshed_at: self.refreshed_at.max(other.refreshed_at),
        };
        let is_changed = *self != merged;
        *self = merged;
        is_changed
    }

    /// Returns the entry's contribution to the digest of its bucket: a hash of key and entry, equal on every
    /// proxy.
    pub fn digest(&self, key: &Key) -> u64 {
        let bytes = postcard::to_allocvec(&(key, self)).unwrap_or_default();
        XxHash3_64::oneshot(&bytes)
    }
}
