//! The messages between proxies, and the effects that a proxy requests from its caller.

use crate::{
    ControllerAction, Incarnation, NodeId, PermitRequest, PermitResponse, PermitReturn, PermitServerId,
    RestartOrder, Rollout, RolloutId,
};
use serde::{Deserialize, Serialize};

/// The destination of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// The proxy that is this permit server.
    PermitServer(PermitServerId),
    /// The proxy with this rank.
    Proxy(u64),
}

/// A message between proxies. The encoding is positional: the order of the variants is part of the wire
/// format.
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    PermitRequest(PermitRequest),
    /// A response from this permit server.
    PermitResponse(PermitServerId, PermitResponse),
    PermitReturn(PermitReturn),
    Rollout(Rollout),
    /// An announcement that the sender is alive.
    Heartbeat,
}

/// An effect that a proxy requests from its caller: a command to a member, or a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Forward an order to a member.
    Restart(RestartOrder),
    /// Hand over the group of this primary, at this incarnation of it.
    HandOver(NodeId, Incarnation),
    /// For the log: an action in a rollout.
    Log(RolloutId, ControllerAction),
}

/// The identity of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct PeerIdentity {
    /// Its rank among the proxies, above 0. The proxy with the lowest rank that is heard from leads.
    pub rank: u64,
    /// The number of its process, which no other process has or ever had.
    pub process: u64,
    /// The permit server that it is, if any.
    pub permit_server: Option<PermitServerId>,
}
