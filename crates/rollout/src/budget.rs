//! The disruption budget, and the inventory of the nodes that it covers.

use crate::{NodeId, PermitServerId};
use std::collections::BTreeMap;
use twox_hash::XxHash3_64;

/// The number of nodes that may be out of service at the same time, whatever the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DisruptionBudget {
    /// The limit for each group.
    pub per_group: u32,
    /// The limit for each zone.
    pub per_zone: u32,
    /// The limit for the whole fleet.
    pub fleet: u32,
    /// The number of configured permit servers. [`Inventory::permit_servers`] is the number that is used.
    pub permit_servers: u32,
}

/// The kind of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NodeKind {
    /// A member of a replicated group. The group always keeps one replica for reads, and keeps its
    /// primary until the primary role has been handed over.
    Member,
    /// A proxy. The proxies of a zone form a group without roles.
    Proxy,
}

/// A node that may be taken out of service, and the group and zone whose budgets it counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    /// The node's id.
    pub id: NodeId,
    /// Its group.
    pub group: u32,
    /// Its zone.
    pub zone: u32,
    /// Its kind.
    pub kind: NodeKind,
}

/// All nodes under a disruption budget. Every proxy has the same inventory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Inventory {
    nodes: BTreeMap<NodeId, Node>,
    budget: DisruptionBudget,
    permit_servers: u32,
    digest: u64,
}

impl Inventory {
    /// Creates the inventory of the nodes under a budget.
    pub fn new(nodes: Vec<Node>, budget: DisruptionBudget) -> Inventory {
        let permit_servers = usable_permit_servers(&budget);
        let nodes: BTreeMap<NodeId, Node> = nodes.into_iter().map(|node| (node.id, node)).collect();
        let digest = digest(&nodes, &budget, permit_servers);
        Inventory { nodes, budget, permit_servers, digest }
    }

    /// Returns the number of permit servers in use.
    pub fn permit_servers(&self) -> u32 {
        self.permit_servers
    }

    /// Returns a hash of the whole inventory and budget. A permit server grants no permits to a controller
    /// whose hash differs.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the whole budget.
    pub fn budget(&self) -> DisruptionBudget {
        self.budget
    }

    /// Returns the permit server that owns a group. It depends only on the group's number, so it does not
    /// change when nodes are added or removed.
    pub fn server_of_group(&self, group: u32) -> PermitServerId {
        group % self.permit_servers
    }

    /// Returns each permit server's quota of every zone's budget.
    pub fn zone_quota(&self) -> u32 {
        self.budget.per_zone / self.permit_servers
    }

    /// Returns each permit server's quota of the fleet's budget.
    pub fn fleet_quota(&self) -> u32 {
        self.budget.fleet / self.permit_servers
    }

    /// Looks up a node.
    pub fn node(&self, id: NodeId) -> Option<Node> {
        self.nodes.get(&id).copied()
    }

    /// Returns all nodes, ordered by id.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    /// Returns the order in which a rollout upgrades the nodes. Primaries come last, since their groups
    /// can then be handed over to upgraded replicas. Within primaries and non-primaries, the order takes
    /// one node of each group in turn, which spreads a wave over groups, zones and permit servers.
    pub fn upgrade_order(&self, is_primary: impl Fn(NodeId) -> bool) -> Vec<NodeId> {
        let mut group_sizes = BTreeMap::<u32, u32>::new();
        let mut sort_keys: Vec<(bool, u32, u32, NodeId)> = Vec::new();
        for node in self.nodes.values() {
            let position_in_group = group_sizes.entry(node.group).or_default();
            *position_in_group += 1;
            sort_keys.push((is_primary(node.id), *position_in_group, node.group, node.id));
        }
        sort_keys.sort_unstable();
        sort_keys.into_iter().map(|(.., id)| id).collect()
    }
}

/// Returns the largest number of permit servers that can each get an equal quota of the zone and fleet
/// budgets. A server without a quota could never grant a permit for any node of its groups.
fn usable_permit_servers(budget: &DisruptionBudget) -> u32 {
    let divides_evenly =
        |servers: &u32| budget.per_zone.is_multiple_of(*servers) && budget.fleet.is_multiple_of(*servers);
    let max_servers = budget.permit_servers.min(budget.per_zone).min(budget.fleet);
    (1..=max_servers).rev().find(divides_evenly).unwrap_or(1)
}

fn digest(nodes: &BTreeMap<NodeId, Node>, budget: &DisruptionBudget, permit_servers: u32) -> u64 {
    let mut fields: Vec<u64> =
        [budget.per_group, budget.per_zone, budget.fleet, permit_servers].map(u64::from).to_vec();
    for node in nodes.values() {
        let kind = u64::from(node.kind == NodeKind::Proxy);
        fields.extend([node.id, u64::from(node.group), u64::from(node.zone), kind]);
    }
    let bytes: Vec<u8> = fields.iter().flat_map(|field| field.to_le_bytes()).collect();
    XxHash3_64::oneshot(&bytes)
}
