//! A negative cache: keys that are known to be missing, shared by all proxies, and used for reads by position as every
//! other state is. An entry is (group, key, position): the key had no row in a state that holds every commit up to there.
//!
//! The crate does no I/O: members' answers, datagrams and the time go in; results of look-ups and datagrams come out.
//!
//! By itself, an entry answers a read with a bound on staleness for no longer than that bound. It lasts longer if it is
//! proved that its key was not written since. To that end time is cut into slots of equal length:
//!
//! 1. Each proxy records, for each slot, the keys of all its writes that may commit in the slot, and *closes* the slot
//!    once no further write of its can.
//! 2. A proxy may write only while it holds a lease of a lease server. The server *seals* a slot once all holders of its
//!    leases have closed it, and no holder that gets a lease from now on can write in it.
//! 3. Where all servers have sealed a slot, all entries advance over it whose keys were not written in it.
//!
//! The parts:
//!
//! - [`Node`]: all parts of one process, and its messages; the entry point of the crate.
//! - [`NegativeCache`]: the cache of one proxy; [`Lookup`], [`Freshness`], [`LookupResult`]: its interface for reads.
//! - [`EntryTable`], [`NegativeEntry`]: the bounded table of entries.
//! - [`PendingWrites`]: the writes of one proxy, and the slots that it has closed.
//! - [`WriteLeases`], [`WriteLeaseServer`]: the two sides of a write lease.
//! - [`ClosedTimestamps`]: which slots all servers have sealed, and what was written in them.
//! - [`KeyHasher`]: keyed hashes of statements and keys.
//!
//! Positions are rounded down, and positions that reads need are rounded up. Clocks, including those of members, which
//! stamp commits, may differ by [`NegativeCacheConfig::max_clock_skew`] at any time. See `docs/design/negative-cache.md`.
//!
//! ```
//! use wharfplank_negative_cache::{Freshness, KeyHasher, Lookup, LookupResult, NegativeCache, NegativeCacheConfig};
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

/// A time, a span of time or a log position, in microseconds; times and positions since the Unix epoch.
pub type Micros = i64;

/// A slot of positions: those after `slot * slot_length`, up to and with `(slot + 1) * slot_length`, see
/// [`NegativeCacheConfig::slot_length`].
pub type Slot = i64;
