//! The messages between rollout controllers, permit servers and members. Their encodings are positional: the order of
//! fields and variants is part of the wire format.

use crate::{Incarnation, NodeId, RolloutId, Version};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A node that is to go out, at the incarnation at which it was last observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// The node.
    pub id: NodeId,
    /// The incarnation that is to end.
    pub incarnation: Incarnation,
}

/// A controller's request for permits. One without candidates only asks what the rollout holds at the server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The rollout that the permits are for.
    pub rollout: RolloutId,
    /// The newest phase revision of the rollout that the controller knows. A server that knows a newer one grants
    /// nothing.
    pub phase_revision: u64,
    /// The controller's [`crate::Inventory::digest`].
    pub inventory_digest: u64,
    /// The controller's process: a number that no other process has or ever had.
    pub holder: u64,
    /// Grows with each request of this holder to this server.
    pub sequence: u64,
    /// The nodes that are to go out, the most wanted first.
    pub candidates: Vec<Candidate>,
}

/// A permit to end one incarnation of one node. It does not expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// The node that may go out.
    pub id: NodeId,
    /// The incarnation that may end.
    pub incarnation: Incarnation,
    /// Grows with each permit of the server.
    pub sequence: u64,
    /// Granted outside the budget, because the node is down already: it may not be used once the node serves again.
    pub only_if_down: bool,
    /// Whether it can no longer be returned: a process other than its holder learned of it, or it was extended from an
    /// earlier incarnation.
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
    /// The candidates that may not go out yet.
    pub rejected: Vec<Rejection>,
}

/// A candidate that may not go out yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rejection {
    /// The node.
    pub id: NodeId,
    /// The reason.
    pub reason: RejectReason,
}

/// Why a node may not go out yet.
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
    /// It is the last replica that can serve its group's reads.
    #[error("the last replica of its group")]
    LastReplica,
    /// It is its group's primary, which has to be handed over first.
    #[error("the primary of its group")]
    IsPrimary,
    /// No healthy primary is observed in its group, so that it may have to become the primary.
    #[error("its group has no healthy primary")]
    NoPrimary,
    /// Another rollout holds a permit for it.
    #[error("another rollout holds a permit for it")]
    HeldByOtherRollout,
    /// The controller has another inventory or another budget.
    #[error("the controller's inventory differs")]
    InventoryMismatch,
    /// The incarnation is over, or the rollout's phase has changed since.
    #[error("the request is stale")]
    Stale,
    /// The server does not own the node's group, or it lost its ledger and waits for an operator.
    #[error("the permit server is closed")]
    Closed,
}

/// Returns a permit unused. Only the one process that it was granted to may do that, and only if it never ordered a
/// restart by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitReturn {
    /// The node of the permit.
    pub id: NodeId,
    /// The sequence number of the permit.
    pub sequence: u64,
    /// The process that it was granted to.
    pub holder: u64,
}

/// Orders a member to end one incarnation and to start another version. At any other incarnation it has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RestartOrder {
    /// The member.
    pub id: NodeId,
    /// The incarnation that is to end.
    pub incarnation: Incarnation,
    /// The version that is to start.
    pub version: Version,
    /// Whether the order has an effect only while the member does not serve.
    pub only_if_down: bool,
}
