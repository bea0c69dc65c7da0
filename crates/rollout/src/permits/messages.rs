//! The messages between rollout controllers, permit servers and members. Their encodings are positional:
//! the order of fields and variants is part of the wire format.

use crate::{Incarnation, NodeId, RolloutId, Version};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A node that is to be taken out of service, at its last observed incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// The node.
    pub id: NodeId,
    /// The incarnation to end.
    pub incarnation: Incarnation,
}

/// A controller's request for permits. A request without candidates only asks which permits the rollout
/// holds at the server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The rollout that the permits are for.
    pub rollout: RolloutId,
    /// The newest phase revision of the rollout that the controller knows. A server that knows a newer
    /// one grants no permits.
    pub phase_revision: u64,
    /// The controller's [`crate::Inventory::digest`].
    pub inventory_digest: u64,
    /// The number of the controller's process, which no other process has or ever had.
    pub holder: u64,
    /// The sequence number, which increases with each request of this holder to this server.
    pub sequence: u64,
    /// The nodes that are to be taken out of service, in order of priority.
    pub candidates: Vec<Candidate>,
}

/// A permit to end one incarnation of one node. It does not expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// The node that may be taken out of service.
    pub id: NodeId,
    /// The incarnation that may end.
    pub incarnation: Incarnation,
    /// The sequence number, which increases with each permit of the server.
    pub sequence: u64,
    /// Whether the permit was granted outside the budget because the node was down already. Such a permit
    /// may not be used once the node serves again.
    pub only_if_down: bool,
    /// Whether the permit can no longer be returned, because a process other than its holder knows it or
    /// it was extended from an earlier incarnation.
    pub shared: bool,
}

/// A permit server's response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitResponse {
    /// The rollout of the request.
    pub rollout: RolloutId,
    /// The holder of the request.
    pub holder: u64,
    /// The sequence number of the request.
    pub request: u64,
    /// All permits that the rollout holds at this server.
    pub held: Vec<Permit>,
    /// The candidates that may not be taken out of service now.
    pub rejected: Vec<Rejection>,
}

/// A candidate that may not be taken out of service now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rejection {
    /// The node.
    pub id: NodeId,
    /// The reason.
    pub reason: RejectReason,
}

/// The reason why a node may not be taken out of service now.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// The group's budget is used up.
    #[error("the group's disruption budget is used up")]
    GroupBudget,
    /// The server's quota of the zone's budget is used up.
    #[error("the zone's disruption budget is used up")]
    ZoneBudget,
    /// The server's quota of the fleet's budget is used up.
    #[error("the fleet's disruption budget is used up")]
    FleetBudget,
    /// The node is the last replica that can serve its group's reads.
    #[error("the last replica of its group")]
    LastReplica,
    /// The node is the primary of its group, whose role has to be handed over first.
    #[error("the primary of its group")]
    IsPrimary,
    /// No healthy primary is observed in the node's group, so the node may have to become the primary.
    #[error("its group has no healthy primary")]
    NoPrimary,
    /// Another rollout holds a permit for the node.
    #[error("another rollout holds a permit for it")]
    HeldByOtherRollout,
    /// The controller has another inventory or another budget.
    #[error("the controller's inventory differs")]
    InventoryMismatch,
    /// The incarnation has ended, or the rollout's phase has changed since the request was sent.
    #[error("the request is stale")]
    Stale,
    /// The server does not own the node's group, or it lost its ledger and waits for an operator.
    #[error("the permit server is closed")]
    Closed,
}

/// The return of an unused permit. Only the process to which it was granted may return it, and only if
/// that process never ordered a restart under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitReturn {
    /// The node of the permit.
    pub id: NodeId,
    /// The sequence number of the permit.
    pub sequence: u64,
    /// The process to which the permit was granted.
    pub holder: u64,
}

/// An order to a member to end one incarnation and start another version. It has no effect at any other
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RestartOrder {
    /// The member.
    pub id: NodeId,
    /// The incarnation to end.
    pub incarnation: Incarnation,
    /// The version to start.
    pub version: Version,
    /// Whether the order has an effect only while the member does not serve.
    pub only_if_down: bool,
}
