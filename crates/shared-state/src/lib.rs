//! What one proxy learns reaches the others: log positions of members, suspicions, counters and writes in doubt, each
//! with a rule by which copies that differ become one. It does no I/O: facts, datagrams and the time go in; datagrams
//! to send and news come out. The driver of `transport::fleet` carries them on the membership's socket.
//!
//! - [`Clock`], [`Stamp`]: the hybrid logical clock.
//! - [`Key`], [`Value`], [`Entry`]: what is replicated, and the merge rules as types.
//! - [`Store`]: the bounded table with its digest.
//! - [`Spread`]: rumours that ride on the membership's datagrams within a budget.
//! - [`sync`]: anti-entropy between two proxies.
//! - [`Doubts`]: the writes in doubt alone, for a thread that has to know them at once.
//! - [`Replica`]: one proxy's copy; [`frame`] and [`unframe`]: how its messages ride.
//!
//! ```
//! use wharfplank_shared_state::{Doubt, Replica, Terms};
//!
//! let (mut one, mut two) = (Replica::new(1, Terms::default(), 1, 0), Replica::new(2, Terms::default(), 2, 0));
//! two.alive(0, ["127.0.0.1:1".parse().unwrap()].into_iter());
//! one.doubt(10, 77, Doubt::Open);
//! // The delta is lost; the exchange that follows a return brings it all the same.
//! one.ride(10, 1000).unwrap();
//! two.tick(200_000);
//! for _ in 0..2 {
//!     for (_, ask) in two.take_sends() { one.received(200_000, "127.0.0.1:2".parse().unwrap(), &ask); }
//!     for (_, tell) in one.take_sends() { two.received(200_000, "127.0.0.1:1".parse().unwrap(), &tell); }
//! }
//! assert!(two.in_doubt(77), "a write that one proxy may have run is in doubt at the other");
//! assert_eq!(one.store().digest(), two.store().digest());
//! ```

mod clock;
mod doubts;
mod entry;
mod replica;
pub mod snapshot;
mod spread;
mod store;
pub mod sync;

pub use clock::{Clock, Stamp, AHEAD_MOST};
pub use doubts::Doubts;
pub use entry::{Doubt, Entry, Key, Mark, Value};
pub use replica::{Counts, News, Replica, Terms};
pub use spread::{transmissions, Budget, Spread};
pub use store::{Offer, Store, ENTRIES_MOST};

/// A time or a span of time, in microseconds.
pub type Micros = i64;

/// Leaves of the digest.
pub const LEAVES: usize = 64;

/// The first byte of a datagram that carries more than the membership's own: no address begins with it, and so no
/// message of the membership does.
const FRAMED: u8 = 0;
/// What a frame adds to a datagram of the membership.
pub const FRAME_BYTES: usize = 3;

/// The number by which all proxies know a member or a write, from its name.
pub fn named(name: &str) -> u64 {
    twox_hash::XxHash3_64::oneshot(name.as_bytes())
}

/// A datagram of the membership (or none) with a message behind it.
pub fn frame(membership: &[u8], message: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(FRAME_BYTES + membership.len() + message.len());
    out.push(FRAMED);
    out.extend_from_slice(&(membership.len() as u16).to_be_bytes());
    out.extend_from_slice(membership);
    out.extend_from_slice(message);
    out
}

/// The membership's part of a datagram, and the message behind it; one without a frame is the membership's alone.
/// `None`: a frame that cannot be read.
pub fn unframe(datagram: &[u8]) -> Option<(&[u8], &[u8])> {
    let Some((&FRAMED, rest)) = datagram.split_first() else { return Some((datagram, &[])) };
    let (length, rest) = rest.split_first_chunk::<2>()?;
    rest.split_at_checked(usize::from(u16::from_be_bytes(*length)))
}
