//! The state of a replicated group.

use super::event_rate::EventRate;
use super::load_shedder::LoadShedder;
use super::primary_discovery::PrimaryDiscovery;
use super::{GroupId, HostId, Member, Micros, RequestId, Role, Router};
use std::collections::BTreeSet;

/// The window, in µs, over which a group's answers are counted.
pub(super) const GROUP_RATE_WINDOW: f64 = 1e6;

/// One primary and its replicas.
#[derive(Default)]
pub(super) struct Group {
    pub(super) members: BTreeSet<HostId>,
    /// The requests waiting for a member to become available.
    pub(super) queued: BTreeSet<RequestId>,
    pub(super) discovery: PrimaryDiscovery,
    /// The rate at which requests for the group arrive.
    pub(super) arrivals: EventRate,
    replica_shedder: LoadShedder,
    primary_shedder: LoadShedder,
}

impl Group {
    /// The shed level of the demand for members of this role; 0 if no load is shed.
    pub(super) fn shed_level(&self, role: Role, now: Micros) -> f64 {
        match role {
            Role::Primary => self.primary_shedder.level(now),
            Role::Replica => self.replica_shedder.level(now),
        }
    }

    /// The load shedder for members of this role.
    pub(super) fn shedder_mut(&mut self, role: Role) -> &mut LoadShedder {
        match role {
            Role::Primary => &mut self.primary_shedder,
            Role::Replica => &mut self.replica_shedder,
        }
    }
}

impl Router {
    /// The group's members, in the order of their ids.
    pub(super) fn group_members(&self, group: GroupId) -> impl Iterator<Item = (HostId, &Member)> + '_ {
        let hosts = self.groups.get(&group).into_iter().flat_map(|group| &group.members);
        hosts.map(|host| (*host, &self.members[host]))
    }

    /// The number of answers that this router gets from the group within [`GROUP_RATE_WINDOW`].
    pub(super) fn group_answers(&self, group: GroupId) -> f64 {
        let rates = self.group_members(group).map(|(_, member)| member.answer_rate.at(self.now));
        rates.sum::<f64>() * GROUP_RATE_WINDOW
    }
}
