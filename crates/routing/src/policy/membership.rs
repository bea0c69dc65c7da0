//! Updates of the endpoint list, and observations of members by other routers.

use super::member::{Member, RelativeLatency};
use super::outliers::CONNECT_FAILED_SCORE;
use super::{
    ConcurrencyLimit, Endpoint, EndpointStatus, EventRate, HostId, LearnedTraits, MemberView, Micros,
    ObservationSource, PeerObservation, Router, LISTED_ROLE_AGE,
};
use std::collections::BTreeSet;

/// The time after which a member that is off the endpoint list and silent is forgotten.
const REMOVED_MEMBER_RETENTION: Micros = 60_000_000;

/// The effect of a member's removal from the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RemovalPolicy {
    /// The member may no longer be used.
    Binding,
    /// The member may be used as long as it answers, unless it was draining.
    Advisory,
}

impl Member {
    /// Records that the endpoint list reports it as removed.
    fn mark_removed(&mut self, policy: RemovalPolicy, now: Micros) {
        if policy == RemovalPolicy::Binding || self.status != EndpointStatus::Up {
            self.status = EndpointStatus::Removed;
        }
        if self.removed_at == 0 {
            self.removed_at = now;
        }
    }

    /// Whether it has been off the endpoint list and silent for long enough to be forgotten.
    fn is_forgettable(&self, now: Micros) -> bool {
        let last_activity = self.removed_at.max(self.faults.answered_at);
        self.removed_at != 0 && now - last_activity >= REMOVED_MEMBER_RETENTION && self.in_flight.is_empty()
    }

    /// Adopts the traits that the router's predecessor learned.
    fn adopt(&mut self, traits: &LearnedTraits, now: Micros) {
        self.concurrency_limit = ConcurrencyLimit::learned(traits.concurrency_limit);
        self.latency = RelativeLatency::learned(traits.relative_latency, now);
        self.answer_rate = EventRate::new(traits.answer_rate, now);
        self.roles.primary_at = self.roles.primary_at.max(traits.primary_at);
        self.roles.replica_at = self.roles.replica_at.max(traits.replica_at);
    }
}

impl Router {
    /// Handles a complete endpoint list.
    pub(super) fn on_endpoint_list(&mut self, endpoints: &[Endpoint]) {
        self.remove_absent(endpoints);
        self.on_endpoints_changed(endpoints);
    }

    /// Handles changed entries of the endpoint list.
    pub(super) fn on_endpoints_changed(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.has_endpoint_list = true;
        self.warm_rate.expire();
        self.refresh_warm_answer_rate();
        self.dispatch_all_queued();
    }

    /// Marks the members that are absent from a complete list as removed, and forgets those whose retention
    /// time has passed.
    fn remove_absent(&mut self, endpoints: &[Endpoint]) {
        let (now, policy) = (self.now, self.removal_policy());
        let present: BTreeSet<HostId> = endpoints.iter().map(|endpoint| endpoint.host).collect();
        for (_, member) in self.members.iter_mut().filter(|(host, _)| !present.contains(host)) {
            member.mark_removed(policy, now);
        }
        self.members.retain(|_, member| !member.is_forgettable(now));
        for group in self.groups.values_mut() {
            group.members.retain(|host| self.members.contains_key(host));
        }
    }

    fn removal_policy(&self) -> RemovalPolicy {
        if self.settings.removal_is_advisory {
            RemovalPolicy::Advisory
        } else {
            RemovalPolicy::Binding
        }
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        let (now, policy) = (self.now, self.removal_policy());
        let is_new = !self.members.contains_key(&endpoint.host);
        let unknown = || Member { group: endpoint.group, ..Member::default() };
        let member = self.members.entry(endpoint.host).or_insert_with(unknown);
        if endpoint.status == EndpointStatus::Removed {
            return member.mark_removed(policy, now);
        }
        member.removed_at = 0;
        member.status = endpoint.status;
        member.local = endpoint.local;
        member.zone = endpoint.zone;
        // Members of the first list may have been running for a long time. One that joins later has just
        // started.
        let has_joined = is_new && self.has_endpoint_list;
        if endpoint.started_at != member.listed_start || has_joined {
            member.listed_start = endpoint.started_at;
            member.faults.reset();
            member.latency.reset();
            self.restart_slow_start(endpoint.host, endpoint.started_at.unwrap_or(now));
            self.forget_role_before_start(endpoint);
        }
        let Some(member) = self.members.get_mut(&endpoint.host) else { return };
        // The list may be old, so any more recent answer takes precedence.
        if endpoint.primary && !member.listed_primary {
            member.roles.primary_at = member.roles.primary_at.max((now - LISTED_ROLE_AGE).max(1));
        }
        member.listed_primary = endpoint.primary;
        self.groups.entry(member.group).or_default().members.insert(endpoint.host);
    }

    /// Forgets that a member was the primary if its process has started since: it may have come back as a
    /// replica, and its answers that say so may be lost.
    fn forget_role_before_start(&mut self, endpoint: &Endpoint) {
        let Some(started_at) = endpoint.started_at else { return };
        let Some(member) = self.members.get_mut(&endpoint.host) else { return };
        if self.member_clock.earliest_now(member.roles.primary_at) < started_at {
            member.roles.primary_at = 0;
        }
    }

    /// Applies observations of other routers. A position does not show that the member is alive. That of the
    /// router's predecessor is a lower bound; those of peers, which may be wrong, are not relied on. A member
    /// suspected by another router is scored like one refused connection, unless it has answered this router
    /// since.
    pub(super) fn on_peer_observations(&mut self, observations: &[PeerObservation]) {
        for observation in observations {
            let Some(member) = self.members.get_mut(&observation.host) else { continue };
            match observation.source {
                ObservationSource::Predecessor => member.position.raise_to(observation.position, self.now),
                ObservationSource::Peer => member.position.observe_peer_report(observation.position),
            }
            let is_suspected = observation.suspected_at > member.faults.answered_at;
            member.faults.raise_to(if is_suspected { CONNECT_FAILED_SCORE } else { 0.0 });
            if let Some(traits) = &observation.traits {
                member.adopt(traits, self.now);
            }
        }
        self.dispatch_all_queued();
    }

    /// Returns the members as the router currently sees them.
    pub fn member_views(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.members.iter().map(|(host, member)| MemberView {
            host: *host,
            group: member.group,
            primary: self.primary(member.group) == Some(*host),
            active: member.status == EndpointStatus::Up,
            position: member.position.newest,
            position_seen_at: member.position.seen_at,
            suspected_since: member.faults.suspected_since(),
            in_flight: member.in_flight.len(),
            traits: member.learned_traits(self.now),
        })
    }
}
