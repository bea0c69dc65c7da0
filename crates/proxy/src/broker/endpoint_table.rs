//! The table of members: their discovery records, numeric ids, connection pools and cordons.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use wharfplank_admin::Cordons;
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};
use wharfplank_routing::HostId;
use wharfplank_transport::member_pool::MemberPool;

/// The maximum number of known names. Above it the names of members without a connection pool are removed.
const MAX_NAMES: usize = 4096;

/// All members known to this process.
#[derive(Default)]
pub(super) struct EndpointTable {
    /// The members with a connection pool.
    pub(super) members: BTreeMap<HostId, Rc<MemberPool>>,
    /// The ids of members by name, including members that are no longer listed.
    pub(super) ids: HashMap<String, HostId>,
    /// The endpoint list as sent by discovery, without the effect of cordons.
    pub(super) records: BTreeMap<String, EndpointRecord>,
    /// The version of the list.
    pub(super) version: u64,
    /// The members that operators have cordoned.
    pub(super) cordons: Cordons,
}

impl EndpointTable {
    /// Applies a complete list, or changes to one, from discovery.
    pub(super) fn apply_records(&mut self, list: &EndpointList) {
        self.version = list.version;
        if list.complete {
            self.records.clear();
        }
        for record in &list.endpoints {
            if record.health == EndpointHealth::Removed {
                self.records.remove(&record.name);
            } else {
                self.records.insert(record.name.clone(), record.clone());
            }
        }
        if list.complete {
            let records = &self.records;
            self.cordons.retain_uncordoned(|name| records.contains_key(name));
        }
    }

    /// Returns the connection pool of the member with this name.
    pub(super) fn member_named(&self, name: &str) -> Option<&Rc<MemberPool>> {
        self.ids.get(name).and_then(|host| self.members.get(host))
    }

    /// Returns the names of members by id.
    pub(super) fn names_by_id(&self) -> HashMap<HostId, &str> {
        self.ids.iter().map(|(name, host)| (*host, name.as_str())).collect()
    }

    /// Returns the id of a member, and assigns one if the name is new: a hash of the name, incremented on
    /// collision.
    pub(super) fn assign_id(&mut self, name: &str) -> HostId {
        if let Some(host) = self.ids.get(name) {
            return *host;
        }
        let mut number = fnv1a(name.as_bytes()) as u32;
        while self.ids.values().any(|host| host.0 == number) {
            number = number.wrapping_add(1);
        }
        self.ids.insert(name.to_string(), HostId(number));
        HostId(number)
    }

    /// Removes the connection pools that are neither in service nor in use.
    pub(super) fn drop_unused_members(&mut self) {
        self.members.retain(|_, member| member.is_active() || !member.has_no_connections());
    }

    /// Removes the names of members without a connection pool if too many are known; returns whether it did.
    pub(super) fn prune_names(&mut self) -> bool {
        if self.ids.len() <= MAX_NAMES {
            return false;
        }
        let members = &self.members;
        self.ids.retain(|_, host| members.contains_key(host));
        true
    }

    /// Returns whether a name is known for this id.
    pub(super) fn knows(&self, host: &HostId) -> bool {
        self.ids.values().any(|known| known == host)
    }
}

/// Returns the router's id of a zone, a hash of its name.
pub(super) fn zone_id(zone: &str) -> u32 {
    fnv1a(zone.as_bytes()) as u32
}

/// Computes the 64-bit FNV-1a hash.
pub(super) fn fnv1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
