//! What proxies learn, replicated among them: log positions of members, suspicions, counters, outcomes of writes and
//! health observations. Every proxy holds a copy and may change it; copies that differ merge to one by the rule of each
//! kind (a state-based CRDT), so no leader, order or reliable delivery is needed.
//!
//! The crate does no I/O: local facts, datagrams and the time go in; datagrams to send and updates come out. The driver
//! in `transport::gossip` carries the datagrams on the membership's socket.
//!
//! - [`SharedState`]: one proxy's copy, and the entry point of the crate.
//! - [`HybridClock`], [`HybridTimestamp`]: the hybrid logical clock.
//! - [`Key`], [`Value`], [`Entry`]: what is replicated, and the merge rules as orders of types.
//! - [`Store`]: the bounded table of entries with its digest.
//! - [`RumourQueue`]: changes that ride on the membership's datagrams, within the budget of a [`TokenBucket`].
//! - [`anti_entropy`]: the exchange that settles what rumours miss.
//! - [`snapshot`]: the encoding of a copy as a file.
//! - [`InDoubtWrites`]: the outcomes of writes alone, for a thread that has to know them at once.
//! - [`Frame`]: how messages share datagrams with the membership.
//!
//! ```
//! use wharfplank_shared_state::{SharedState, SharedStateConfig, WriteOutcome};
//!
//! let mut one = SharedState::new(1, SharedStateConfig::default(), 1, 0);
//! let mut two = SharedState::new(2, SharedStateConfig::default(), 2, 0);
//! two.set_live_peers(0, ["127.0.0.1:1".parse().unwrap()].into_iter());
//! one.record_write_outcome(10, 77, WriteOutcome::InDoubt);
//! // The delta is lost; the exchange that follows the appearance of a peer brings the entry all the same.
//! one.piggyback(10, 1000).unwrap();
//! two.tick(200_000);
//! for _ in 0..2 {
//!     for (_, datagram) in two.take_datagrams() {
//!         one.on_message(200_000, "127.0.0.1:2".parse().unwrap(), &datagram);
//!     }
//!     for (_, datagram) in one.take_datagrams() {
//!         two.on_message(200_000, "127.0.0.1:1".parse().unwrap(), &datagram);
//!     }
//! }
//! assert!(two.is_in_doubt(77), "a write that one proxy may have executed is in doubt at the other");
//! assert_eq!(one.store().digest(), two.store().digest());
//! ```

pub mod anti_entropy;
mod clock;
mod entry;
mod frame;
mod in_doubt;
mod key;
mod rumours;
pub mod snapshot;
mod state;
mod store;
mod token_bucket;
mod value;

pub use clock::{ClockSkewError, HybridClock, HybridTimestamp, MAX_CLOCK_SKEW};
pub use entry::Entry;
pub use frame::{Frame, TruncatedFrame, FRAME_OVERHEAD};
pub use in_doubt::{InDoubtWrites, WriteRecord};
pub use key::{EvictionPriority, Key, DIGEST_BUCKETS};
pub use rumours::{transmission_limit, RumourQueue};
pub use state::{SharedState, SharedStateConfig, StateUpdate, Stats};
pub use store::{MergeOutcome, Store, MAX_ENTRIES};
pub use token_bucket::TokenBucket;
pub use value::{MemberStatus, Value, WriteOutcome};

/// A time or a span of time, in microseconds.
pub type Micros = i64;

/// The number by which all proxies identify a member, a write or another thing that has a name.
pub fn hash_name(name: &str) -> u64 {
    twox_hash::XxHash3_64::oneshot(name.as_bytes())
}
