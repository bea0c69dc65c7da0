//! The configuration of SWIM's timing and message sizes.

use crate::note::MAX_NOTE_BYTES;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The minimum ping interval: it must be longer than the ping timeout of at least 1 ms.
const MIN_PING_INTERVAL_MS: u64 = 2;
/// The time for which a peer that is down is remembered, so that stale updates do not bring it back.
const DOWN_PEER_RETENTION: Duration = Duration::from_secs(600);
/// The interval at which a proxy announces itself to a random live peer, which completes partial views.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);
/// The interval at which a proxy announces itself to peers that are down, which merges the sides of a healed
/// partition.
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_secs(3);
const ANNOUNCE_TO_DOWN_PEERS: usize = 2;

/// The configuration of SWIM. It determines the traffic per proxy independently of the number of proxies: a
/// ping and its ack every `ping_interval_ms`, and a message to `gossip_fanout` peers every
/// `gossip_interval_ms`, each of at most `max_datagram_bytes`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SwimConfig {
    /// Milliseconds between pings, each to one peer chosen at random.
    pub ping_interval_ms: u64,
    /// Milliseconds to wait for an ack before other peers are asked to ping the peer (ping-req).
    pub ping_timeout_ms: u64,
    /// Milliseconds that a suspect has to refute the suspicion before it is declared down.
    pub suspicion_timeout_ms: u64,
    /// Milliseconds between gossip messages.
    pub gossip_interval_ms: u64,
    /// The number of peers that each gossip message is sent to.
    pub gossip_fanout: usize,
    /// The maximum size of a datagram sent or accepted, in bytes.
    pub max_datagram_bytes: usize,
    /// The expected number of proxies n: each update is transmitted about 4 log10(n + 1) times.
    pub expected_proxies: u32,
    /// Milliseconds between join requests to the seeds while no live peer is known.
    pub join_interval_ms: u64,
}

impl Default for SwimConfig {
    fn default() -> Self {
        SwimConfig {
            ping_interval_ms: 500,
            ping_timeout_ms: 150,
            suspicion_timeout_ms: 2_000,
            gossip_interval_ms: 100,
            gossip_fanout: 3,
            max_datagram_bytes: 1400,
            expected_proxies: 100,
            join_interval_ms: 1_000,
        }
    }
}

impl SwimConfig {
    /// Converts to the configuration of foca. Values out of range are clamped.
    pub(crate) fn to_foca(&self) -> Config {
        let ping_interval_ms = self.ping_interval_ms.max(MIN_PING_INTERVAL_MS);
        let expected_proxies = NonZeroU32::new(self.expected_proxies).unwrap_or(NonZeroU32::MIN);
        let mut config = Config::new_lan(expected_proxies);
        config.probe_period = Duration::from_millis(ping_interval_ms);
        config.probe_rtt = Duration::from_millis(self.ping_timeout_ms.clamp(1, ping_interval_ms - 1));
        config.suspect_to_down_after = Duration::from_millis(self.suspicion_timeout_ms.max(1));
        config.max_packet_size = at_least_one(self.max_datagram_bytes.max(MAX_NOTE_BYTES * 2));
        config.max_transmissions = config.max_transmissions.max(NonZeroU8::MIN);
        config.remove_down_after = DOWN_PEER_RETENTION;
        config.periodic_gossip = Some(PeriodicParams {
            frequency: Duration::from_millis(self.gossip_interval_ms.max(1)),
            num_members: at_least_one(self.gossip_fanout),
        });
        config.periodic_announce =
            Some(PeriodicParams { frequency: ANNOUNCE_INTERVAL, num_members: NonZeroUsize::MIN });
        config.periodic_announce_to_down_members = Some(PeriodicParams {
            frequency: ANNOUNCE_TO_DOWN_INTERVAL,
            num_members: at_least_one(ANNOUNCE_TO_DOWN_PEERS),
        });
        config
    }
}

fn at_least_one(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}
