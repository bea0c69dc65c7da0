//! Zone failover decided by a quorum of proxies. Reads leave a zone when a quorum of the proxies that can
//! reach each other has seen the zone's members stop answering. They return along a recovery ramp that
//! follows the slow start of the members, so that all proxies together stay below the load that a cold
//! member can take. The crate does no I/O: it takes the outcomes of members, the votes of peers and the
//! time, and returns each zone's share of reads. The router still decides which member serves a read; it
//! only receives the shares.
//!
//! - [`ZoneFailureDetector`]: recent outcomes of a zone's members at this proxy, and its own vote on the
//!   zone.
//! - [`FailoverController`]: the votes of all proxies, their quorum, and the state of each zone.
//! - [`ZoneState`]: whether a zone is in service, evacuated or recovering.
//! - [`encode_votes`] and [`decode_votes`]: a proxy's votes as the body of a gossip note.
//!
//! ```
//! use wharfplank_failover::{
//!     FailoverController, FailoverConfig, IsolationPolicy, MemberOutcome, Vote, VoteVersion, ZoneState,
//!     ZoneVote,
//! };
//!
//! let mut failover = FailoverController::new(FailoverConfig::default(), IsolationPolicy::KeepServing);
//! let mut now = 0;
//! for member in [1, 2, 1, 2] {
//!     now += 100_000;
//!     failover.record(now, "b", member, MemberOutcome::Silent);
//! }
//! assert_eq!(failover.own_vote("b", now), Vote::Down);
//! // Two reachable peers vote Down as well, which makes a quorum of three.
//! for peer in [7, 8] {
//!     let version = VoteVersion { generation: 1, version: 1 };
//!     failover.on_peer_votes(now, peer, version, &[ZoneVote::new("b", Vote::Down)]);
//! }
//! failover.set_live_peers(now, [7, 8].into_iter());
//! assert!(failover.evaluate(now));
//! assert_eq!(failover.zone_state("b"), ZoneState::Evacuated { since: now });
//! assert_eq!(failover.read_share("b", now), 0.0);
//! ```

mod config;
mod controller;
mod encoding;
mod failure_detector;
mod quorum;
mod recovery;
mod stall;
mod votes;
mod zone_state;

pub use config::FailoverConfig;
pub use controller::{FailoverController, IsolationPolicy, MAX_ZONES};
pub use encoding::{decode_votes, encode_votes, DecodeError, VOTES_TOPIC};
pub use failure_detector::{MemberOutcome, ZoneFailureDetector, MAX_OUTCOMES};
pub use quorum::MAX_PEERS;
pub use votes::{Vote, VoteVersion, ZoneVote};
pub use zone_state::ZoneState;

/// A point in time or a duration, in microseconds, on the caller's clock.
pub type Micros = i64;

/// The number by which the caller identifies a peer.
pub type PeerId = u64;
