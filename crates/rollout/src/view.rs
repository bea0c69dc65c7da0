//! What a proxy's broker knows of the members: the endpoint list, its own fault detection and its own attempts.

use crate::{AttemptCounts, Incarnation, Micros, NodeId};
use std::collections::BTreeMap;

/// One member as the broker sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// The incarnation that service discovery reports.
    pub incarnation: Incarnation,
    /// Whether the member is on the endpoint list and the router does not suspect it.
    pub healthy: bool,
    /// Whether the broker takes it for its group's primary.
    pub primary: bool,
    /// Whether service discovery drains it.
    pub draining: bool,
    /// Whether an operator cordoned it at this proxy.
    pub cordoned: bool,
    /// The outcomes of this proxy's attempts there. The counts only grow while the process runs.
    pub attempts: AttemptCounts,
}

/// All members of the inventory that are on the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// When the broker took this view.
    pub at: Micros,
    /// The members.
    pub members: BTreeMap<NodeId, MemberView>,
}

impl FleetView {
    /// The ids of the members for which a condition holds.
    pub fn members_where(&self, condition: impl Fn(&MemberView) -> bool) -> Vec<NodeId> {
        self.members.iter().filter(|(_, member)| condition(member)).map(|(id, _)| *id).collect()
    }
}
