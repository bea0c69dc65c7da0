//! The newest log position reported by each member, and the primary of each group.

use std::collections::HashMap;
use wharfplank_protocol::endpoint_list::EndpointRecord;
use wharfplank_routing::{GroupId, HostId, Micros};
use wharfplank_shared_state::hash_name;

/// The position of one incarnation of a member; a restarted member may have lost data.
struct MemberPosition {
    started_at_ms: i64,
    /// 0 until the member reports one.
    position: Micros,
}

impl MemberPosition {
    fn unknown(started_at_ms: i64) -> Self {
        MemberPosition { started_at_ms, position: 0 }
    }
}

/// Member data from the endpoint list and from responses; bounded by the broker's endpoint table.
#[derive(Default)]
pub(super) struct MemberPositions {
    positions: HashMap<HostId, MemberPosition>,
    /// The listed primary of each group, by a hash of its name and start time.
    primaries: HashMap<GroupId, u32>,
}

impl MemberPositions {
    /// Adds or updates a member from its record in the endpoint list.
    pub(super) fn on_endpoint(&mut self, host: HostId, endpoint: &EndpointRecord) {
        let started_at_ms = endpoint.started_at_ms;
        let known = self.positions.entry(host).or_insert_with(|| MemberPosition::unknown(started_at_ms));
        if known.started_at_ms != started_at_ms {
            *known = MemberPosition::unknown(started_at_ms);
        }
        if endpoint.primary {
            let primary = hash_name(&format!("{} {started_at_ms}", endpoint.name)) as u32;
            self.primaries.insert(GroupId(endpoint.group), primary);
        }
    }

    /// Handles a position reported by a member.
    pub(super) fn on_position(&mut self, host: HostId, position: Micros) {
        if let Some(known) = self.positions.get_mut(&host) {
            known.position = known.position.max(position);
        }
    }

    /// Returns the newest position that a member has reported since its start.
    pub(super) fn position(&self, host: HostId) -> Option<Micros> {
        self.positions.get(&host).map(|known| known.position).filter(|position| *position > 0)
    }

    pub(super) fn primary(&self, group: GroupId) -> Option<u32> {
        self.primaries.get(&group).copied()
    }

    /// Returns whether this is still the primary of any group.
    pub(super) fn is_primary(&self, primary: u32) -> bool {
        self.primaries.values().any(|listed| *listed == primary)
    }

    pub(super) fn retain(&mut self, is_known: impl Fn(&HostId) -> bool) {
        self.positions.retain(|host, _| is_known(host));
    }
}
