//! The log events of the gossip driver.

use wharfplank_failover::ZoneState;
use wharfplank_gossip::{Membership, MembershipEvent, Peer};
use wharfplank_health::{HealthObservation, Verdict};
use wharfplank_shared_state::SharedState;

/// An event for the log.
#[derive(Clone)]
pub enum GossipLogEvent<'a> {
    /// The worker has started, as this peer.
    Started(&'a Peer),
    /// A peer came up, went down or restarted.
    PeerChanged(&'a MembershipEvent),
    /// The state of a zone changed.
    ZoneChanged {
        /// The zone.
        zone: &'a str,
        /// Its new state.
        state: ZoneState,
        /// Its new share of reads.
        share: f64,
        /// The number of live peers.
        live_peers: usize,
        /// Whether this proxy reaches too few of its fleet to form a quorum.
        is_isolated: bool,
    },
    /// The traffic since the start.
    Traffic {
        /// The membership protocol with its counters.
        membership: &'a Membership,
        /// The number of the broker's observations that did not fit into their ring.
        observations_dropped: u64,
        /// The number of updates for the broker that did not fit into their ring.
        updates_dropped: u64,
    },
    /// The worker panicked: from now on this proxy operates as if it had no peers.
    WorkerFailed,
    /// The content of the shared state changed.
    SharedStateChanged(&'a SharedState),
    /// The fleet's verdict on a member changed.
    MemberHealthChanged {
        /// The member's name.
        name: &'a str,
        /// The new verdict.
        verdict: Verdict,
        /// The combined score of the observations, as a logarithm; `None` if there were too few observations.
        score: Option<f64>,
        /// The number of proxies whose observations were counted.
        observers: usize,
    },
    /// This proxy observed a member as worse than others, or the fleet has it in question.
    MemberObserved {
        /// The member's name.
        name: &'a str,
        /// This proxy's own observation; `None` if it has too few samples.
        own: Option<&'a HealthObservation>,
        /// See [`GossipLogEvent::MemberHealthChanged`].
        score: Option<f64>,
        /// See [`GossipLogEvent::MemberHealthChanged`].
        observers: usize,
    },
}
