//! Applies endpoint list changes from discovery, and operators' cordons, to the router and the connection
//! pools.

use super::attempt_table::InFlightAttempt;
use super::endpoint_table::zone_id;
use super::Broker;
use crate::log;
use std::net::SocketAddr;
use std::rc::Rc;
use wharfplank_discovery::{SendDeadline, Staleness, SuspectReason, WatchEvent};
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};
use wharfplank_routing::{self as routing, AttemptOutcome, Endpoint, EndpointStatus, GroupId, HostId};
use wharfplank_transport::member_pool::{AttemptStage, MemberPool};

impl Broker {
    /// Handles a watch event of discovery: a new list, a change of the list's staleness, or both.
    pub(super) fn on_watch_event(&mut self, event: WatchEvent, staleness: Option<Staleness>) {
        // A response without changes confirms the known list.
        if event.update.is_some() || staleness == Some(Staleness::Fresh) {
            self.lifecycle.confirm_list();
        }
        if event.suspect.is_some() || staleness.is_some() {
            log::endpoint_list_state(staleness.map(Staleness::as_str), event.suspect, event.deadlines.len());
            self.recorder.record_list_state(
                staleness.map(Staleness::as_str),
                event.suspect.map(SuspectReason::as_str),
            );
        }
        for SendDeadline { endpoint, until } in event.deadlines {
            if let Some(member) = self.endpoints.member_named(&endpoint) {
                member.stop_sends_at(self.clock.to_instant(until));
            }
        }
        if let Some(list) = event.update {
            self.apply_endpoint_list(list);
        }
    }

    /// Applies a complete list, or changes to one, from discovery.
    pub(super) fn apply_endpoint_list(&mut self, list: EndpointList) {
        self.endpoints.apply_records(&list);
        let cordons = &self.endpoints.cordons;
        let endpoints = list.endpoints.iter().map(|record| cordons.apply(record)).collect();
        self.apply_list_with_cordons(&EndpointList { endpoints, ..list });
    }

    /// Applies records that include the effect of cordons to the pools, the router and the queued attempts.
    pub(super) fn apply_list_with_cordons(&mut self, list: &EndpointList) {
        if list.complete {
            self.retire_members_not_in(list);
        }
        let records = list.endpoints.iter();
        let entries: Vec<Endpoint> = records.map(|record| self.apply_record(list.version, record)).collect();
        let event =
            if list.complete { routing::Event::EndpointList } else { routing::Event::EndpointsChanged };
        self.notify_router(event(entries));
        self.log_slow_start();
        self.end_attempts_queued_for_retired_members();
        self.endpoints.drop_unused_members();
        self.prune_names();
    }

    fn retire_members_not_in(&self, list: &EndpointList) {
        let is_listed =
            |member: &MemberPool| list.endpoints.iter().any(|record| record.name == member.name());
        self.endpoints.members.values().filter(|m| !is_listed(m)).for_each(|m| m.deactivate());
    }

    /// Ends the attempts that are queued for a connection to a member that accepts no new requests.
    fn end_attempts_queued_for_retired_members(&mut self) {
        let members = &self.endpoints.members;
        let is_retired = |host: &HostId| members.get(host).is_none_or(|member| !member.is_active());
        let is_queued = |attempt: &InFlightAttempt| attempt.stage.get() == AttemptStage::Queued;
        let queued = self.attempts.keys_where(|attempt| is_queued(attempt) && is_retired(&attempt.host));
        for key in queued {
            self.end_attempt(key, AttemptOutcome::NotSent);
        }
        self.report_finished_attempts();
    }

    fn prune_names(&mut self) {
        if self.endpoints.prune_names() {
            let endpoints = &self.endpoints;
            self.gossip.retain_members(|host| endpoints.knows(host));
            self.negative_cache.retain(|host| endpoints.knows(host));
        }
    }

    /// Passes a record to the recorder, gossip, the negative cache and the member's pool. Returns its
    /// representation for the router.
    fn apply_record(&mut self, version: u64, record: &EndpointRecord) -> Endpoint {
        let is_new = !self.endpoints.ids.contains_key(&record.name);
        let host = self.endpoints.assign_id(&record.name);
        if is_new {
            self.recorder.record_member_name(host, record);
        }
        self.recorder.record_endpoint(version, host, record);
        self.gossip.update_member(host, record);
        self.negative_cache.on_endpoint(host, record);
        self.update_pool(host, record);
        Endpoint {
            host,
            group: GroupId(record.group),
            status: match record.health {
                EndpointHealth::Active => EndpointStatus::Up,
                EndpointHealth::Draining => EndpointStatus::Draining,
                EndpointHealth::Removed => EndpointStatus::Removed,
            },
            primary: record.primary,
            started_at: (record.started_at_ms > 0).then(|| record.started_at_ms.saturating_mul(1000)),
            local: record.zone == self.parameters.zone,
            zone: zone_id(&record.zone),
        }
    }

    /// Activates or deactivates a member's pool, and creates one for an active member without a pool.
    fn update_pool(&mut self, host: HostId, record: &EndpointRecord) {
        let is_active = record.health == EndpointHealth::Active;
        if let Some(member) = self.endpoints.members.get(&host) {
            if let Some(address) = record.address {
                member.relocate(address);
            }
            if is_active {
                member.activate();
            } else {
                member.deactivate();
            }
        } else if let Some(address) = record.address.filter(|_| is_active) {
            self.add_pool(host, &record.name, address);
        }
    }

    fn add_pool(&mut self, host: HostId, name: &str, address: SocketAddr) {
        let member = MemberPool::new(Rc::clone(&self.pools), name, address);
        member.activate();
        self.endpoints.members.insert(host, member);
    }
}
