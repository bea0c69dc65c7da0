//! Observations of nodes, and the causes of outages.

use crate::{Incarnation, Micros, Version};

/// The state of a node as observed by a process that polled it itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeObservation {
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The version that the node runs.
    pub version: Version,
    /// Whether the node serves, according to both its agent and the broker.
    pub healthy: bool,
    /// Whether the node's own agent reports that it does not serve. Only then does an order that is
    /// limited to nodes that are down have an effect.
    pub down: bool,
    /// Whether the node is the primary of its group.
    pub primary: bool,
    /// The time of the poll, on the observer's clock. A delayed reply is as old as its request.
    pub at: Micros,
}

impl NodeObservation {
    /// Returns whether this observation replaces an earlier one. A later incarnation wins, then the later
    /// poll.
    pub(crate) fn supersedes(&self, earlier: &NodeObservation) -> bool {
        (self.incarnation, self.at) >= (earlier.incarnation, earlier.at)
    }
}

/// The reason why a node counts as out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OutageCause {
    /// A rollout holds a permit for the node.
    Rollout,
    /// Service discovery is draining the node.
    Drain,
    /// An operator has cordoned the node.
    Cordon,
    /// The node was observed not to serve.
    Failed,
    /// The node was not observed to serve recently, or not since the permit server started.
    Unobserved,
}
