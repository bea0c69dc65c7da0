//! Membership among proxies, for installations in which proxies may communicate with each other: detection of
//! live proxies with SWIM (the `foca` crate), and notes that each proxy publishes and that are piggybacked on
//! SWIM's messages. The crate does no I/O: its inputs are received datagrams and the current time; its
//! outputs are datagrams to send and membership events. The driver owns the socket.
//!
//! - [`Peer`]: the identity of a proxy: its address, its zone and the generation of its process.
//! - [`Membership`]: one proxy's view of the other proxies and of the published notes.
//! - [`SwimConfig`]: the intervals of pings and gossip, and the timeout after which a suspect is declared
//!   down.
//! - [`Note`], [`NoteStore`]: the data that proxies publish; the newest note per proxy and topic wins.
//! - [`simulation`]: the memberships of many proxies on a simulated network with faults, for tests and
//!   models.
//!
//! ```
//! use wharfplank_gossip::{Membership, Peer, SwimConfig};
//!
//! let a = Peer::new("127.0.0.1:7001".parse().unwrap(), "a", 1);
//! let b = Peer::new("127.0.0.1:7002".parse().unwrap(), "b", 1);
//! let mut one = Membership::new(a.clone(), SwimConfig::default(), 1, 0);
//! let mut two = Membership::new(b, SwimConfig::default(), 2, 0);
//! one.join(&["127.0.0.1:7002".parse().unwrap()], 0);
//! for now in (0..3_000_000).step_by(10_000) {
//!     for datagram in one.take_datagrams() {
//!         if datagram.to == two.local_peer().addr { two.on_datagram(now, &datagram.payload); }
//!     }
//!     for datagram in two.take_datagrams() {
//!         if datagram.to == one.local_peer().addr { one.on_datagram(now, &datagram.payload); }
//!     }
//!     one.tick(now);
//!     two.tick(now);
//! }
//! assert_eq!(one.live_peers().count(), 1);
//! assert_eq!(two.live_peers().count(), 1);
//! ```

mod config;
mod dissemination;
mod event;
mod membership;
mod note;
mod note_store;
mod peer;
pub mod simulation;
mod timers;
mod traffic;

pub use config::SwimConfig;
pub use event::MembershipEvent;
pub use membership::{Membership, PublishError};
pub use note::{Note, NoteKey, MAX_NOTE_BYTES};
pub use note_store::{NoteStore, RejectedNote, MAX_NOTES};
pub use peer::{Peer, MAX_ZONE_BYTES};
pub use traffic::{Datagram, Traffic};

/// A point in time or a duration on the caller's clock, in microseconds.
pub type Micros = i64;
