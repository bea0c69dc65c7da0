//! What the driver tells the log.

use wharfplank_failover::ZoneState;
use wharfplank_gossip::{Membership, MembershipEvent, Peer};
use wharfplank_health::Verdict;
use wharfplank_shared_state::SharedState;

/// What the driver tells the log.
#[derive(Clone)]
pub enum Said<'a> {
    /// It listens, as this peer.
    Started(&'a Peer),
    /// A peer came or went.
    Changed(&'a MembershipEvent),
    /// A zone's standing changed.
    Standing {
        /// The zone.
        zone: &'a str,
        /// Its standing.
        standing: ZoneState,
        /// Its share of reads now.
        share: f64,
        /// Peers alive.
        alive: usize,
        /// Whether this proxy hears no majority of its fleet.
        alone: bool,
    },
    /// What went over the wire so far, and how many facts of the broker, and how much for it, did not fit their rings.
    Traffic(&'a Membership, u64, u64),
    /// The thread failed: from now on this proxy is as one without peers.
    Failed,
    /// What the replicated state holds, once it changed.
    SharedState(&'a SharedState),
    /// What the fleet holds of a member changed.
    Member {
        /// The member's name.
        name: &'a str,
        /// What the fleet holds of it now.
        verdict: Verdict,
        /// What the voices came to, as a logarithm; `None`: too few spoke.
        score: Option<f64>,
        /// How many voices counted.
        voices: usize,
    },
}
