//! A negative cache: keys that are known to be missing, shared by all proxies of a fleet.
//!
//! An entry is a triple of group, key and position. It states that the key had no row in a database state
//! that contains every commit up to the position. Whether an entry is new enough for a read is decided by its
//! position, as for any other state.
//!
//! The crate performs no I/O. The caller passes in members' responses, received datagrams and the current
//! time, and gets back lookup results and datagrams to send.
//!
//! On its own, an entry can answer reads with a staleness bound only until it is older than that bound. It
//! stays usable for longer if its key is proven not to have been written since. For this, time is divided
//! into slots of equal length:
//!
//! 1. For each slot, every proxy records the keys of all its writes that may commit in the slot. It *closes*
//!    the slot once none of its later writes can commit in it.
//! 2. A proxy may write only while it holds a lease from a lease server. The server *seals* a slot once every
//!    holder of its leases has closed the slot and no holder that gets a lease later can write in it.
//! 3. Entries advance past a slot that all servers have sealed, unless their key was written in it.
//!
//! The main types:
//!
//! - [`Node`]: everything that one process needs, including its messages; the entry point of the crate.
//! - [`NegativeCache`]: the cache of one proxy, queried with [`Lookup`] and [`Freshness`], which returns a
//!   [`LookupResult`].
//! - [`EntryTable`], [`NegativeEntry`]: the bounded table of entries.
//! - [`PendingWrites`]: the writes of one proxy and the slots that it has closed.
//! - [`WriteLeases`], [`WriteLeaseServer`]: the two sides of a write lease.
//! - [`ClosedTimestamps`]: the slots that all servers have sealed and the keys written in them.
//! - [`KeyHasher`]: keyed hashes of statements and keys.
//!
//! Positions that are known are rounded down, and positions that reads need are rounded up. Clocks, including
//! those of members, which stamp commits, may differ by up to [`NegativeCacheConfig::max_clock_skew`] at any
//! time. See `docs/design/negative-cache.md`.
//!
//! ```
//! use wharfplank_negative_cache::{
//!     Freshness, KeyHasher, Lookup, LookupResult, NegativeCache, NegativeCacheConfig,
//! };
//!
//! let hasher = KeyHasher::new([7; 16]);
//! let mut cache = NegativeCache::new(NegativeCacheConfig::default(), 1, 0);
//! let lookup = Lookup::new(&hasher, 3, b"SELECT pay FROM slips WHERE id = 'x'", b"x", 1);
//! let now = 10_000_000;
//! let within_a_second = Freshness::MaxStaleness(1_000_000);
//! assert!(matches!(cache.lookup(now, &lookup, within_a_second), LookupResult::Miss(_)));
//! cache.record_missing(now, &lookup, now - 20_000, 0);
//! assert!(matches!(cache.lookup(now, &lookup, within_a_second), LookupResult::KnownMissing { .. }));
//! assert!(matches!(cache.lookup(now, &lookup, Freshness::Latest), LookupResult::Miss(_)));
//! ```

mod cache;
mod closed_timestamps;
mod config;
mod entries;
mod hash;
mod lease_server;
mod lookup;
mod node;
mod window;
mod write_lease;
mod writes;

pub use cache::{NegativeCache, Stats};
pub use closed_timestamps::{ClosedTimestamps, MAX_TRACKED_KEYS};
pub use config::NegativeCacheConfig;
pub use entries::{Announcement, EntryCounts, EntryTable, NegativeEntry};
pub use hash::{KeyHash, KeyHasher, StatementHash};
pub use lease_server::{
    SealedSlot, WriteLeaseGrant, WriteLeaseRequest, WriteLeaseServer, MAX_HOLDERS, MAX_KEYS_PER_SEALED_SLOT,
};
pub use lookup::{Freshness, Lookup, LookupResult, MissReason};
pub use node::{Node, MAX_RESPONSES, MAX_RESPONSE_BYTES};
pub use window::{SlotWindow, WINDOW_SLOTS};
pub use write_lease::WriteLeases;
pub use writes::{
    ClosedSlot, PendingWrites, WriteId, MAX_CLOSED_SLOTS_PER_REQUEST, MAX_KEYS_PER_CLOSED_SLOT, MAX_WRITES,
};

/// A point in time, a duration or a log position, in microseconds. Points in time and positions count from
/// the Unix epoch.
pub type Micros = i64;

/// The number of a slot. A slot covers the positions greater than `slot * slot_length`, up to and including
/// `(slot + 1) * slot_length`, see [`NegativeCacheConfig::slot_length`].
pub type Slot = i64;
