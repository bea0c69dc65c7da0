//! Identifies a group's primary, decides whether it can take a request, and searches for it if none is known.

use super::group::Group;
use super::member::Member;
use super::outliers::NO_WRITES_SCORE;
use super::{ClassId, EndpointStatus, GroupId, HostId, Micros, ProbePurpose, RequestId, Role, Router};
use std::collections::BTreeSet;

/// The initial interval between rounds of probes for the primary; it doubles with each round.
const INITIAL_PROBE_BACKOFF: Micros = 150_000;
/// The maximum interval between rounds of probes for the primary.
const MAX_PROBE_BACKOFF: Micros = 1_200_000;
/// The interval after a round in which writes tried all members.
const SEARCH_ROUND_INTERVAL: Micros = 1_000_000;
/// The number of attempts that a write searching for the primary reserves for the primary itself.
const RESERVED_ATTEMPTS: u32 = 2;
/// The fraction of the primary's concurrency limit that reads which replicas could serve may use.
const SPILLOVER_LIMIT_FRACTION: f64 = 0.75;
/// The factor by which reads that replicas could serve are shed more at the primary.
const SPILLOVER_SHED_WEIGHT: f64 = 3.0;

/// The search for a group's primary. Writes try the members in turn, one write at a time for the whole group.
/// After a round of rejections the search continues with probes.
#[derive(Default)]
pub(super) struct PrimaryDiscovery {
    /// The write that is trying members.
    searching_write: Option<RequestId>,
    /// The members already tried in this round.
    tried: BTreeSet<HostId>,
    next_round_at: Micros,
    next_probes_at: Micros,
    probe_backoff: Micros,
}

impl PrimaryDiscovery {
    /// Ends the search by this write, if it is the one trying members.
    pub(super) fn end_search_by(&mut self, id: RequestId) {
        if self.searching_write == Some(id) {
            self.searching_write = None;
        }
    }

    /// Excludes the member from the rest of this round.
    pub(super) fn exclude(&mut self, host: HostId) {
        self.tried.insert(host);
    }

    /// Resets the backoff of probes, once a primary is known.
    fn reset_probe_backoff(&mut self) {
        self.probe_backoff = INITIAL_PROBE_BACKOFF;
    }

    /// Returns whether a round of probes is due, and if so schedules the next one with backoff.
    fn start_probe_round(&mut self, now: Micros) -> bool {
        if now < self.next_probes_at {
            return false;
        }
        self.probe_backoff = (self.probe_backoff * 2).clamp(INITIAL_PROBE_BACKOFF, MAX_PROBE_BACKOFF);
        self.next_probes_at = now + self.probe_backoff;
        true
    }

    /// Records that the write tries the next member. If there is none, the round ends.
    fn try_next(&mut self, id: RequestId, next: Option<HostId>, now: Micros) {
        self.searching_write = next.map(|_| id);
        match next {
            Some(host) => self.exclude(host),
            None => {
                self.next_round_at = now + SEARCH_ROUND_INTERVAL;
                self.tried.clear();
            }
        }
    }
}

/// The reason for sending a request to the primary.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PrimaryUse {
    /// Only the primary may serve the request.
    Required,
    /// Replicas could serve the read too, but none is available.
    Spillover,
}

impl Router {
    /// The member with the newest evidence of being the primary that no newer evidence contradicts.
    pub(super) fn primary(&self, group: GroupId) -> Option<HostId> {
        self.group_members(group)
            .filter(|(_, member)| member.status == EndpointStatus::Up && member.roles.claims_primary())
            .max_by_key(|(_, member)| member.roles.primary_at)
            .map(|(host, _)| host)
    }

    /// The member's role in the group, as far as the router knows.
    pub(super) fn role_of(&self, host: HostId, group: GroupId) -> Role {
        if self.primary(group) == Some(host) {
            Role::Primary
        } else {
            Role::Replica
        }
    }

    /// The primary, if it can take a request that only the primary may serve.
    pub(super) fn choose_primary(&mut self, id: RequestId, group: GroupId) -> Option<HostId> {
        self.choose_primary_for(id, group, PrimaryUse::Required)
    }

    /// The primary, if it can take a read that replicas could serve too.
    pub(super) fn choose_primary_for_spillover(&mut self, id: RequestId, group: GroupId) -> Option<HostId> {
        self.choose_primary_for(id, group, PrimaryUse::Spillover)
    }

    fn choose_primary_for(&mut self, id: RequestId, group: GroupId, purpose: PrimaryUse) -> Option<HostId> {
        let Some(host) = self.usable_primary(group) else {
            self.search_primary(group);
            return None;
        };
        self.groups.get_mut(&group)?.discovery.reset_probe_backoff();
        let member = &self.members[&host];
        if purpose == PrimaryUse::Spillover && !self.admits_spillover(id, member) {
            return None;
        }
        let class = self.pending.get(&id)?.request.class;
        self.can_take(host, member, class).then_some(host)
    }

    fn usable_primary(&self, group: GroupId) -> Option<HostId> {
        self.primary(group).filter(|host| self.members[host].is_usable())
    }

    /// Whether the primary has capacity for a request of this class.
    fn can_take(&self, host: HostId, primary: &Member, class: ClassId) -> bool {
        primary.has_capacity(self.now)
            && self.fault_score(primary) < NO_WRITES_SCORE
            && self.slow_start_admits(host, primary, class)
    }

    /// Whether the primary has capacity for a read that replicas could serve.
    fn admits_spillover(&self, id: RequestId, primary: &Member) -> bool {
        let Some(pending) = self.pending.get(&id) else { return false };
        let limit = primary.concurrency_limit.value() * SPILLOVER_LIMIT_FRACTION;
        let is_crowded = primary.in_flight.len() as f64 + 1.0 > limit;
        !is_crowded && self.admits(id, pending, Role::Primary, SPILLOVER_SHED_WEIGHT)
    }

    /// The member to send a write to: the primary, or if none is usable, the next member to try.
    pub(super) fn choose_for_write(&mut self, id: RequestId, group: GroupId) -> Option<HostId> {
        if self.usable_primary(group).is_some() {
            self.groups.get_mut(&group)?.discovery.tried.clear();
            return self.choose_primary(id, group);
        }
        if !self.may_try_members(id, self.groups.get(&group)?) {
            self.search_primary(group);
            return None;
        }
        let next = self.next_member_to_try(id, group);
        self.groups.get_mut(&group)?.discovery.try_next(id, next, self.now);
        if next.is_none() {
            self.search_primary(group);
        }
        next
    }

    /// Whether the write may try members of the group in search of the primary.
    fn may_try_members(&self, id: RequestId, group: &Group) -> bool {
        let Some(pending) = self.pending.get(&id) else { return false };
        let discovery = &group.discovery;
        let other_write_tries =
            discovery.searching_write.is_some_and(|other| other != id && self.pending.contains_key(&other));
        let has_spare_attempts = pending.attempts + RESERVED_ATTEMPTS < self.settings.max_attempts;
        let is_round_due = self.now >= discovery.next_round_at;
        let has_not_run = pending.may_have_run_since.is_none();
        !other_write_tries && is_round_due && has_spare_attempts && has_not_run
    }

    /// The likeliest primary among the members not yet tried in this round.
    fn next_member_to_try(&self, id: RequestId, group: GroupId) -> Option<HostId> {
        let class = self.pending.get(&id)?.request.class;
        let tried = &self.groups.get(&group)?.discovery.tried;
        let likelihood = |member: &Member| {
            (
                member.roles.claims_primary(),
                member.listed_primary,
                -member.roles.replica_at,
                member.position.newest,
                member.local,
            )
        };
        self.group_members(group)
            .filter(|(host, member)| {
                member.is_usable() && !tried.contains(host) && self.slow_start_admits(*host, member, class)
            })
            .max_by_key(|(_, member)| likelihood(member))
            .map(|(host, _)| host)
    }

    /// Probes all members of the group to find the primary, with backoff.
    fn search_primary(&mut self, group: GroupId) {
        let now = self.now;
        let Some(group) = self.groups.get_mut(&group) else { return };
        if self.settings.may_probe && group.discovery.start_probe_round(now) {
            let hosts = group.members.clone();
            for host in hosts {
                self.probe(host, ProbePurpose::PrimarySearch);
            }
        }
    }
}
