//! State that the proxies replicate among themselves: log positions of members, suspicions, counters,
//! outcomes of writes and health observations. Every proxy holds a copy and may change it. Copies that differ
//! are merged by the rule of each kind of entry (a state-based CRDT), so no leader, message order or reliable
//! delivery is needed.
//!
//! The crate does no I/O: its inputs are local observations, received datagrams and the current time; its
//! outputs are datagrams to send and updates. The driver in `transport::gossip` sends and receives the
//! datagrams on the membership's socket.
//!
//! - [`SharedState`]: the copy of one proxy, and the entry point of the crate.
//! - [`HybridClock`], [`HybridTimestamp`]: the hybrid logical clock.
//! - [`Key`], [`Value`], [`Entry`]: the replicated data; the merge rules are the orderings of these types.
//! - [`Store`]: the bounded table of entries with its digests.
//! - [`RumourQueue`]: changes that are piggybacked on the membership's datagrams, rate-limited by a
//!   [`TokenBucket`].
//! - [`anti_entropy`]: the exchange that repairs differences that rumours leave.
//! - [`snapshot`]: the file encoding of a copy.
//! - [`WriteClaims`]: claims by which the proxies keep each other from sending the same write.
//! - [`InDoubtWrites`]: the outcomes of writes only, for the thread that serves requests.
//! - [`Frame`]: the framing of these messages in datagrams shared with the membership.
//!
//! ```
//! use wharfplank_shared_state::{SharedState, SharedStateConfig, WriteOutcome};
//!
//! let mut one = SharedState::new(1, SharedStateConfig::default(), 1, 0);
//! let mut two = SharedState::new(2, SharedStateConfig::default(), 2, 0);
//! two.set_live_peers(0, ["127.0.0.1:1".parse().unwrap()].into_iter());
//! one.record_write_outcome(10, 77, WriteOutcome::InDoubt);
//! // The delta is lost. The exchange that starts when a new peer is seen still delivers the entry.
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
//! assert!(two.is_in_doubt(77), "a write in doubt at one proxy must be in doubt at the other");
//! assert_eq!(one.store().digest(), two.store().digest());
//! ```

pub mod anti_entropy;
mod claims;
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

pub use claims::{
    ClaimDecision, ClaimId, ClaimMessage, ClaimRegistry, WriteClaims, CLAIM_TIMEOUT, MAX_PENDING_CLAIMS,
    MAX_REGISTERED_CLAIMS, REGISTRARS,
};
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

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// Returns the number by which all proxies identify a member, a write or another named object.
pub fn hash_name(name: &str) -> u64 {
    twox_hash::XxHash3_64::oneshot(name.as_bytes())
}
