//! Observations of nodes, and the causes for which a node counts as out.

use crate::{Incarnation, Micros, Version};

/// The state of a node as observed by a process that polled it itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct NodeObservation {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The version that it runs.
    pub version: Version,
    /// Whether it serves, as far as both its agent and the broker can tell.
    pub healthy: bool,
    /// Whether its own agent reports that it does not serve. Only then does an order that is limited to nodes that are
    /// down have an effect.
    pub down: bool,
    /// Whether it is its group's primary.
    pub primary: bool,
    /// When it was polled, on the observer's clock: a delayed reply is as old as its request.
    pub at: Micros,
}

impl NodeObservation {
    /// Whether this observation replaces an earlier one: a later incarnation wins, then the later poll.
    pub(crate) fn supersedes(&self, earlier: &NodeObservation) -> bool {
        (self.incarnation, self.at) >= (earlier.incarnation, earlier.at)
    }
}

/// Why a node counts as out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OutageCause {
    /// A rollout holds a permit for it.
    Rollout,
    /// Service discovery drains it.
    Drain,
    /// An operator cordoned it.
    Cordon,
    /// It was observed not to serve.
    Failed,
    /// It was not observed to serve lately, or not since the permit server started.
    Unobserved,
}
