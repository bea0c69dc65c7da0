//! Converts the settings to the parameters of membership, failover and shared state.

use crate::config::Config;
use std::net::SocketAddrV4;
use wharfplank_failover::{FailoverConfig, IsolationPolicy};
use wharfplank_gossip::SwimConfig;
use wharfplank_settings::{GossipSettings, MinorityBehavior, SharedStateSettings};
use wharfplank_shared_state::SharedStateConfig;

/// The bounds of the initial share of reads of a recovering zone.
const RAMP_START_BOUNDS: (f64, f64) = (0.01, 1.0);

pub(super) fn swim_config(settings: &GossipSettings) -> SwimConfig {
    SwimConfig {
        ping_interval_ms: settings.probe_ms,
        ping_timeout_ms: (settings.probe_ms * 3 / 10).max(1),
        suspicion_timeout_ms: settings.suspect_ms,
        gossip_interval_ms: settings.gossip_ms,
        gossip_fanout: settings.fanout,
        expected_proxies: settings.expected_proxies,
        ..SwimConfig::default()
    }
}

/// Returns the failover parameters. A recovering zone ramps up like a member in slow start, with the
/// platform's slow-start parameters if they are set.
pub(super) fn failover_config(config: &Config) -> FailoverConfig {
    let defaults = FailoverConfig::default();
    let slow_start_span = config.settings.slow_start_span;
    let (min_ramp_start, max_ramp_start) = RAMP_START_BOUNDS;
    FailoverConfig {
        ramp_start: config.settings.slow_start_from.clamp(min_ramp_start, max_ramp_start),
        ramp_duration: if slow_start_span > 0 { slow_start_span } else { defaults.ramp_duration },
        ..defaults
    }
}

pub(super) fn isolation_policy(settings: &GossipSettings) -> IsolationPolicy {
    match settings.in_minority {
        MinorityBehavior::NoFailover => IsolationPolicy::KeepServing,
        MinorityBehavior::OwnView => IsolationPolicy::FollowOwnVote,
    }
}

pub(super) fn shared_state_config(
    settings: &SharedStateSettings,
    local_address: SocketAddrV4,
) -> SharedStateConfig {
    SharedStateConfig {
        bytes_per_second: settings.bytes_per_second,
        exchange_interval: settings.sync_ms as i64 * 1000,
        local_address,
        ..SharedStateConfig::default()
    }
}
