//! Converts the settings to the setup of the rollout service.

use crate::clock::Clock;
use std::collections::BTreeMap;
use wharfplank_rollout::{
    DisruptionBudget, Inventory, Node, NodeId, NodeKind, PeerIdentity, RolloutConfig, ServiceSetup,
};
use wharfplank_settings::{AutomaticRollback, RolloutMember, RolloutSettings};
use wharfplank_shared_state::hash_name;

const MICROS_PER_SECOND: i64 = 1_000_000;

/// Returns the ids, by name, of the members that rollouts may restart.
pub(super) fn node_ids(settings: &RolloutSettings) -> BTreeMap<String, NodeId> {
    settings.members.iter().map(|member| (member.name.clone(), hash_name(&member.name))).collect()
}

/// Returns the setup of the service.
pub(super) fn service_setup(
    settings: &RolloutSettings,
    node_ids: &BTreeMap<String, NodeId>,
    clock: Clock,
) -> ServiceSetup {
    let agent_address =
        |member: &RolloutMember| Some((*node_ids.get(&member.name)?, member.agent.parse().ok()?));
    ServiceSetup {
        identity: identity(settings, clock),
        inventory: inventory(settings),
        config: rollout_config(settings),
        proxies: settings.proxies(),
        agents: settings.members.iter().filter_map(agent_address).collect(),
    }
}

/// Returns the identity of this process. Its id must be unique, so it is derived from the address, the rank,
/// the start time and the process id.
fn identity(settings: &RolloutSettings, clock: Clock) -> PeerIdentity {
    let started_at = clock.now();
    let process =
        hash_name(&format!("{} {} {started_at} {}", settings.listen, settings.rank, std::process::id()));
    PeerIdentity { rank: settings.rank.into(), process, permit_server: settings.permit_server_index() }
}

fn rollout_config(settings: &RolloutSettings) -> RolloutConfig {
    RolloutConfig {
        ready_timeout: settings.ready_within_s * MICROS_PER_SECOND,
        soak_time: settings.soak_s * MICROS_PER_SECOND,
        automatic_rollback: settings.automatic_rollback == AutomaticRollback::Yes,
        max_attempts: settings.max_attempts,
        ..RolloutConfig::default()
    }
}

fn inventory(settings: &RolloutSettings) -> Inventory {
    let node = |member: &RolloutMember| Node {
        id: hash_name(&member.name),
        group: member.group,
        zone: hash_name(&member.zone) as u32,
        kind: NodeKind::Member,
    };
    let budget = DisruptionBudget {
        per_group: settings.max_out_per_group,
        per_zone: settings.max_out_per_zone,
        fleet: settings.max_out_per_fleet,
        permit_servers: settings.permit_servers,
    };
    Inventory::new(settings.members.iter().map(node).collect(), budget)
}
