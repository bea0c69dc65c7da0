//! Maps the router's ids of members to the keys that all proxies use, and back.

use std::collections::HashMap;
use std::sync::Arc;
use wharfplank_protocol::endpoint_list::EndpointRecord;
use wharfplank_routing::HostId;

/// The data by which all proxies identify a member.
pub(super) struct IndexedMember {
    pub(super) zone: Arc<str>,
    /// The hash of the member's name.
    pub(super) key: u64,
    /// When the member last started, in Unix milliseconds.
    pub(super) started_at_ms: i64,
}

/// The members of the endpoint list, by id and by key; bounded by the broker's table of names.
#[derive(Default)]
pub(super) struct MemberIndex {
    members: HashMap<HostId, IndexedMember>,
    hosts: HashMap<u64, HostId>,
}

impl MemberIndex {
    /// Adds a member, or replaces its record.
    pub(super) fn insert(&mut self, host: HostId, key: u64, record: &EndpointRecord) {
        let zone = self.shared_zone(host, &record.zone);
        self.members.insert(host, IndexedMember { zone, key, started_at_ms: record.started_at_ms });
        self.hosts.insert(key, host);
    }

    /// Returns the member's zone. An unchanged zone is not allocated again.
    fn shared_zone(&self, host: HostId, zone: &str) -> Arc<str> {
        match self.members.get(&host) {
            Some(member) if *member.zone == *zone => Arc::clone(&member.zone),
            _ => Arc::from(zone),
        }
    }

    pub(super) fn get(&self, host: HostId) -> Option<&IndexedMember> {
        self.members.get(&host)
    }

    /// Returns the id of the member with this key.
    pub(super) fn host(&self, key: u64) -> Option<HostId> {
        self.hosts.get(&key).copied()
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = u64> + '_ {
        self.hosts.keys().copied()
    }

    /// Removes the members for which `is_known` returns false.
    pub(super) fn retain(&mut self, is_known: impl Fn(&HostId) -> bool) {
        self.members.retain(|host, _| is_known(host));
        let members = &self.members;
        self.hosts.retain(|_, host| members.contains_key(host));
    }
}
