//! A broker's view of the members, from the endpoint list, its own failure detection and its own
//! attempts.

use crate::{AttemptCounts, Incarnation, Micros, NodeId};
use std::collections::BTreeMap;

/// One member, as the broker sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// The incarnation that service discovery reports.
    pub incarnation: Incarnation,
    /// Whether the member is on the endpoint list and the router does not suspect it.
    pub healthy: bool,
    /// Whether the broker considers it the primary of its group.
    pub primary: bool,
    /// Whether service discovery is draining it.
    pub draining: bool,
    /// Whether an operator has cordoned it at this proxy.
    pub cordoned: bool,
    /// The outcomes of this proxy's attempts at the member. The counts never decrease while the process
    /// runs.
    pub attempts: AttemptCounts,
}

/// All members of the inventory that are on the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// The time at which the broker created this view.
    pub at: Micros,
    /// The members.
    pub members: BTreeMap<NodeId, MemberView>,
}

impl FleetView {
    /// Returns the ids of the members that satisfy a condition.
    pub fn members_where(&self, condition: impl Fn(&MemberView) -> bool) -> Vec<NodeId> {
        self.members.iter().filter(|(_, member)| condition(member)).map(|(id, _)| *id).collect()
    }
}
