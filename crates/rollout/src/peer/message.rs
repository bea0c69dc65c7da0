//! The messages between proxies, and what a proxy asks of its surroundings.

use crate::{
    ControllerAction, Incarnation, NodeId, PermitRequest, PermitResponse, PermitReturn, PermitServerId,
    RestartOrder, Rollout, RolloutId,
};
use serde::{Deserialize, Serialize};

/// Where a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// To the proxy that is this permit server.
    PermitServer(PermitServerId),
    /// To the proxy with this rank.
    Proxy(u64),
}

/// A message between proxies. The encoding is positional: the order of the variants is part of the wire format.
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    PermitRequest(PermitRequest),
    /// From this server.
    PermitResponse(PermitServerId, PermitResponse),
    PermitReturn(PermitReturn),
    Rollout(Rollout),
    /// Nothing but that the sender is alive.
    Heartbeat,
}

/// What a proxy asks to be done at members, and what it notes in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Forward an order to a member.
    Restart(RestartOrder),
    /// Hand over the group of this primary, at this incarnation of it.
    HandOver(NodeId, Incarnation),
    /// For the log: what was done in a rollout.
    Log(RolloutId, ControllerAction),
}

/// The identity of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct PeerIdentity {
    /// Its rank among the proxies, above 0: the one with the least rank that is heard from leads.
    pub rank: u64,
    /// Its process: a number that no other process has or ever had.
    pub process: u64,
    /// Which permit server it is.
    pub permit_server: Option<PermitServerId>,
}
