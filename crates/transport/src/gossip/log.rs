//! What the gossip driver reports to the log.

use wharfplank_failover::ZoneState;
use wharfplank_gossip::{Membership, MembershipEvent, Peer};
use wharfplank_health::Verdict;
use wharfplank_shared_state::SharedState;

/// An event for the log.
#[derive(Clone)]
pub enum GossipLogEvent<'a> {
    /// The worker listens, as this peer.
    Started(&'a Peer),
    /// A peer came up, went down or restarted.
    PeerChanged(&'a MembershipEvent),
    /// The state of a zone changed.
    ZoneChanged {
        /// The zone.
        zone: &'a str,
        /// Its state now.
        state: ZoneState,
        /// Its share of reads now.
        share: f64,
        /// The number of live peers.
        live_peers: usize,
        /// Whether this proxy hears from no majority of its fleet.
        is_isolated: bool,
    },
    /// The traffic so far.
    Traffic {
        /// The membership protocol with its counters.
        membership: &'a Membership,
        /// The broker's observations that did not fit their ring.
        observations_dropped: u64,
        /// The updates for the broker that did not fit their ring.
        updates_dropped: u64,
    },
    /// The worker panicked: from now on this proxy is as one without peers.
    WorkerFailed,
    /// The content of the shared state changed.
    SharedStateChanged(&'a SharedState),
    /// The fleet's verdict on a member changed.
    MemberHealthChanged {
        /// The member's name.
        name: &'a str,
        /// The verdict now.
        verdict: Verdict,
        /// The combined score of the observations, as a logarithm; `None` where there were too few.
        score: Option<f64>,
        /// How many proxies' observations counted.
        observers: usize,
    },
}
