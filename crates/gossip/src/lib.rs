//! Membership between proxies, where an installation lets them talk: which proxies are alive, found with SWIM
//! (the `foca` crate), and notes that each proxy publishes and that ride along on SWIM's messages. It does no I/O:
//! datagrams and the time go in, datagrams to send and what changed come out. The driver owns the socket.
//!
//! - [`Peer`]: who a proxy is: the address others send to, its zone, and the generation of its process.
//! - [`Peers`]: one proxy's view of the others, and its notes.
//! - [`Note`], [`Board`]: what proxies tell each other; the newest of each proxy and topic wins.
//! - [`net`]: many proxies' `Peers` on a network in virtual time with faults, for tests and models.
//!
//! ```
//! use wharfplank_gossip::{Peer, Peers, Terms};
//!
//! let a = Peer::new("127.0.0.1:7001".parse().unwrap(), "a", 1);
//! let b = Peer::new("127.0.0.1:7002".parse().unwrap(), "b", 1);
//! let (mut one, mut two) = (Peers::new(a.clone(), Terms::default(), 1, 0), Peers::new(b, Terms::default(), 2, 0));
//! one.join(&["127.0.0.1:7002".parse().unwrap()], 0);
//! for now in (0..3_000_000).step_by(10_000) {
//!     for (to, datagram) in one.take_sends() {
//!         if to == two.me().addr { two.received(now, &datagram); }
//!     }
//!     for (to, datagram) in two.take_sends() {
//!         if to == one.me().addr { one.received(now, &datagram); }
//!     }
//!     one.tick(now);
//!     two.tick(now);
//! }
//! assert_eq!(one.alive().count(), 1);
//! assert_eq!(two.alive().count(), 1);
//! ```

mod board;
pub mod net;
mod swim;

pub use board::{Board, Note, NOTES_MOST, NOTE_BYTES_MOST};
pub use swim::{Change, Peer, Peers, Terms, Traffic};

/// A time or a span of time, in microseconds, on the caller's clock.
pub type Micros = i64;
