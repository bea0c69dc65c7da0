//! The rollout service as the settings ask for it.

use crate::clock::Clock;
use std::collections::BTreeMap;
use wharfplank_rollout::{
    DisruptionBudget, Inventory, Node, NodeId, NodeKind, PeerIdentity, RolloutConfig, ServiceSetup,
};
use wharfplank_settings::{Release as RolloutSettings, ReleaseMember, Undo};
use wharfplank_shared_state::hash_name;

const MICROS_PER_SECOND: i64 = 1_000_000;

/// The ids of the members that rollouts may restart, by their names.
pub(super) fn node_ids(settings: &RolloutSettings) -> BTreeMap<String, NodeId> {
    settings.members.iter().map(|member| (member.name.clone(), hash_name(&member.name))).collect()
}

/// What the service is made of.
pub(super) fn service_setup(
    settings: &RolloutSettings,
    node_ids: &BTreeMap<String, NodeId>,
    clock: Clock,
) -> ServiceSetup {
    let agent_address =
        |member: &ReleaseMember| Some((*node_ids.get(&member.name)?, member.agent.parse().ok()?));
    ServiceSetup {
        identity: identity(settings, clock),
        inventory: inventory(settings),
        config: rollout_config(settings),
        proxies: settings.proxies(),
        agents: settings.members.iter().filter_map(agent_address).collect(),
    }
}

/// The id of the process is unique: it is made of its address, its rank and when it started.
fn identity(settings: &RolloutSettings, clock: Clock) -> PeerIdentity {
    let started_at = clock.now();
    let process =
        hash_name(&format!("{} {} {started_at} {}", settings.listen, settings.rank, std::process::id()));
    PeerIdentity { rank: settings.rank.into(), process, permit_server: settings.bank() }
}

fn rollout_config(settings: &RolloutSettings) -> RolloutConfig {
    RolloutConfig {
        ready_timeout: settings.ready_within_s * MICROS_PER_SECOND,
        soak_time: settings.watch_s * MICROS_PER_SECOND,
        automatic_rollback: settings.undo == Undo::Yes,
        max_attempts: settings.tries,
        ..RolloutConfig::default()
    }
}

fn inventory(settings: &RolloutSettings) -> Inventory {
    let node = |member: &ReleaseMember| Node {
        id: hash_name(&member.name),
        group: member.group,
        zone: hash_name(&member.zone) as u32,
        kind: NodeKind::Member,
    };
    let budget = DisruptionBudget {
        per_group: settings.group,
        per_zone: settings.zone,
        fleet: settings.fleet,
        permit_servers: settings.banks,
    };
    Inventory::new(settings.members.iter().map(node).collect(), budget)
}
