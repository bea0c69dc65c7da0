//! Which member of a group is its primary, whether it can be used, and how it is found if none is known.

use super::group::Group;
use super::member::Member;
use super::outliers::NO_WRITES_SCORE;
use super::{ClassId, EndpointStatus, GroupId, HostId, Micros, ProbePurpose, RequestId, Role, Router};
use std::collections::BTreeSet;

/// The first pause between rounds of probes for the primary; it doubles from round to round.
const FIRST_PROBE_PAUSE: Micros = 150_000;
/// The longest pause between rounds of probes for the primary.
const LONGEST_PROBE_PAUSE: Micros = 1_200_000;
/// The pause after a round of writes that tried all members.
const TRIAL_ROUND_PAUSE: Micros = 1_000_000;
/// A write that searches for the primary keeps this many attempts for the primary itself.
const RESERVED_ATTEMPTS: u32 = 2;
/// The part of the primary's concurrency limit that reads may use which replicas could serve.
const SPILLOVER_LIMIT_PART: f64 = 0.75;
/// How much sooner reads are shed at the primary that replicas could serve.
const SPILLOVER_SHED_WEIGHT: f64 = 3.0;

/// The search for a group's primary. Writes try members in turn, one write at a time for the whole group;
/// after a round of rejections probes go on looking.
#[derive(Default)]
pub(super) struct PrimaryDiscovery {
    /// The write that tries members now.
    trial_write: Option<RequestId>,
    /// The members that were tried in this round.
    tried: BTreeSet<HostId>,
    next_round_at: Micros,
    next_probes_at: Micros,
    probe_pause: Micros,
}

impl PrimaryDiscovery {
    /// The write does not try members any more.
    pub(super) fn end_trial_write(&mut self, id: RequestId) {
        if self.trial_write == Some(id) {
            self.trial_write = None;
        }
    }

    /// The member is not tried again in this round.
    pub(super) fn exclude(&mut self, host: HostId) {
        self.tried.insert(host);
    }

    /// Begins the backoff of probes anew: a primary is known.
    fn reset_probe_pause(&mut self) {
        self.probe_pause = FIRST_PROBE_PAUSE;
    }

    /// Whether a round of probes is due; if so, the next one is planned with backoff.
    fn start_probe_round(&mut self, now: Micros) -> bool {
        if now < self.next_probes_at {
            return false;
        }
        self.probe_pause = (self.probe_pause * 2).clamp(FIRST_PROBE_PAUSE, LONGEST_PROBE_PAUSE);
        self.next_probes_at = now + self.probe_pause;
        true
    }

    /// Lets the write try the next member. Without one the round is over.
    fn try_next(&mut self, id: RequestId, next: Option<HostId>, now: Micros) {
        self.trial_write = next.map(|_| id);
        match next {
            Some(host) => self.exclude(host),
            None => {
                self.next_round_at = now + TRIAL_ROUND_PAUSE;
                self.tried.clear();
            }
        }
    }
}

/// What a read is sent to the primary for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PrimaryUse {
    /// Only the primary may serve the request.
    Required,
    /// Replicas could serve the read as well, but none is available.
    Spillover,
}

impl Router {
    /// The member with the newest evidence of being primary that no newer evidence contradicts.
    pub(super) fn primary(&self, group: GroupId) -> Option<HostId> {
        self.group_members(group)
            .filter(|(_, member)| member.status == EndpointStatus::Up && member.roles.claims_primary())
            .max_by_key(|(_, member)| member.roles.primary_at)
            .map(|(host, _)| host)
    }

    /// The role that the member has in the group as far as the router knows.
    pub(super) fn role_of(&self, host: HostId, group: GroupId) -> Role {
        if self.primary(group) == Some(host) {
            Role::Primary
        } else {
            Role::Replica
        }
    }

    /// The primary, if it can take a request now that only the primary may serve.
    pub(super) fn choose_primary(&mut self, id: RequestId, group: GroupId) -> Option<HostId> {
        self.choose_primary_for(id, group, PrimaryUse::Required)
    }

    /// The primary, if it can take a read now that replicas could serve.
    pub(super) fn choose_primary_for_spillover(&mut self, id: RequestId, group: GroupId) -> Option<HostId> {
        self.choose_primary_for(id, group, PrimaryUse::Spillover)
    }

    fn choose_primary_for(&mut self, id: RequestId, group: GroupId, purpose: PrimaryUse) -> Option<HostId> {
        let Some(host) = self.usable_primary(group) else {
            self.search_primary(group);
            return None;
        };
        self.groups.get_mut(&group)?.discovery.reset_probe_pause();
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
        let limit = primary.concurrency_limit.value() * SPILLOVER_LIMIT_PART;
        let is_crowded = primary.in_flight.len() as f64 + 1.0 > limit;
        !is_crowded && self.admits(id, pending, Role::Primary, SPILLOVER_SHED_WEIGHT)
    }

    /// The member to send a write to now: the primary, or while none is known the next member to try.
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
            discovery.trial_write.is_some_and(|other| other != id && self.pending.contains_key(&other));
        let has_spare_attempts = pending.attempts + RESERVED_ATTEMPTS < self.settings.max_attempts;
        let is_round_due = self.now >= discovery.next_round_at;
        let has_not_run = pending.may_have_run_since.is_none();
        !other_write_tries && is_round_due && has_spare_attempts && has_not_run
    }

    /// The likeliest primary among the members that were not tried in this round.
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

    /// Probes the group's members for the primary, with backoff.
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
