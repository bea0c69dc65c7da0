//! Chooses the member that serves a read: the closest replica that is fresh enough, a suspect on trial, or
//! the primary.

use super::event_rate::AVERAGING_TIME_CONSTANT;
use super::member::Member;
use super::pending_request::PositionProbe;
use super::random::unit_interval;
use super::read_candidates::{Candidate, Candidates, RequiredPosition};
use super::{
    Consistency, GroupId, HostId, Micros, PendingRequest, ProbePurpose, RequestId, Router, StaleReadPolicy,
};

/// A class counts as long if its typical latency exceeds the shortest class's by more than this factor.
const LONG_CLASS_MULTIPLE: f64 = 4.0;
/// The weight of the traffic of members in the router's own zone. Ties go to the member with the least
/// weighted traffic.
const LOCAL_TRAFFIC_WEIGHT: f64 = 0.5;
/// The maximum offset, in requests, that a router adds to a member's traffic to break ties. It differs by
/// router and member, so that routers with little traffic use different members.
const MAX_TIE_BREAK_OFFSET: f64 = 2.0;
/// The maximum time that a read waits for its position probe.
const MAX_PROBE_WAIT: Micros = 30_000;
/// The interval between a router's probes of a suspect, per router of the fleet: all of them probe it.
pub(super) const SUSPECT_PROBE_INTERVAL: Micros = 33_000;
/// The minimum number of routers that [`SUSPECT_PROBE_INTERVAL`] is multiplied by.
const MIN_ROUTERS: u32 = 3;

impl Router {
    /// The log position that a request requires.
    pub(super) fn required_position(&self, pending: &PendingRequest) -> RequiredPosition {
        let request = &pending.request;
        RequiredPosition(match self.settings.classes[request.class.0].consistency {
            Consistency::Any => None,
            Consistency::BoundedStaleness(bound) => Some(self.now - bound),
            Consistency::Session if self.settings.sessions_carry_tokens => {
                request.last_write_age.map(|age| pending.arrived_at.saturating_sub(age))
            }
            Consistency::Session => self.session_writes.required_by(request.session, pending.arrived_at),
            Consistency::Strong | Consistency::Write => Some(pending.arrived_at),
        })
    }

    /// The member to send the read to now; `None` if it must wait.
    pub(super) fn choose_for_read(&mut self, id: RequestId, group: GroupId) -> Option<HostId> {
        if let Some(host) = self.choose_trial(id, group) {
            self.record_trial(host, group);
            return Some(host);
        }
        self.probe_suspects(group);
        let pending = self.pending.get(&id)?;
        let required = self.required_position(pending);
        let candidates = self.read_candidates(pending, group);
        if let Some(host) = self.choose_close_replica(pending, &candidates, required) {
            return Some(host);
        }
        if pending.position_probe.is_none() && self.settings.may_probe {
            if let Some(host) = candidates.to_probe(required, self.now) {
                self.probe_position(id, host);
                return None;
            }
        }
        let pending = self.pending.get(&id)?;
        if self.is_awaiting_probe(pending) {
            return None;
        }
        // A more distant replica that is known or likely to be fresh enough is preferred to the primary.
        candidates
            .least_busy_fresh(required, f64::MAX)
            .or_else(|| self.choose_likely_fresh(pending, &candidates, required))
            .or_else(|| self.choose_primary_for_spillover(id, group))
    }

    /// A suspect that is due for a trial. Suspects get single reads at long intervals, since only an answer
    /// clears them.
    fn choose_trial(&self, id: RequestId, group: GroupId) -> Option<HostId> {
        let pending = self.pending.get(&id)?;
        let (host, member) = self.due_trial(group, &pending.excluded)?;
        if !self.slow_start_admits(host, member, pending.request.class) {
            return None;
        }
        let is_primary = self.primary(group) == Some(host);
        let is_fresh = self.required_position(pending).is_met_by(member.position.newest);
        (self.members_reject_stale_reads() || is_primary || is_fresh).then_some(host)
    }

    fn members_reject_stale_reads(&self) -> bool {
        self.settings.stale_reads == StaleReadPolicy::Reject
    }

    /// Probes suspects regularly, since an advancing position shows that a member has recovered.
    fn probe_suspects(&mut self, group: GroupId) {
        let interval = SUSPECT_PROBE_INTERVAL * Micros::from(self.settings.routers.max(MIN_ROUTERS));
        let is_due =
            |member: &Member| member.faults.is_suspected() && self.now - member.queue.reported_at >= interval;
        let due = self.group_members(group).filter(|(_, member)| is_due(member));
        let hosts: Vec<HostId> = due.map(|(host, _)| host).collect();
        for host in hosts {
            self.probe(host, ProbePurpose::SuspectRecovery);
        }
    }

    /// The replicas of the group that may take the read now, regardless of their position.
    fn read_candidates(&self, pending: &PendingRequest, group: GroupId) -> Candidates {
        let primary = self.primary(group);
        let can_serve = |host: HostId, member: &Member| {
            Some(host) != primary
                && !pending.excluded.contains(&host)
                && member.has_capacity(self.now)
                && self.zone_admits(pending.request.id, member.zone)
                && member.is_usable()
                && self.slow_start_admits(host, member, pending.request.class)
        };
        let candidates = self
            .group_members(group)
            .filter(|(host, member)| can_serve(*host, member))
            .map(|(host, member)| self.candidate(host, member))
            .filter(|candidate| candidate.distance.is_finite())
            .collect();
        // Where the fleet sets zone shares, local members are preferred to remote ones while they can serve.
        Candidates::new(candidates, self.zone_read_shares.is_some())
    }

    fn candidate(&self, host: HostId, member: &Member) -> Candidate {
        let distance = self.distance(member) * self.latency_factors.get(&host).unwrap_or(&1.0);
        let warming_up = self.is_warming_up(member);
        // For members in slow start the permits already spread the traffic over the routers.
        let tie_break_rank = if warming_up { 0.0 } else { unit_interval(self.settings.seed, host.0.into()) };
        let tie_break_offset = MAX_TIE_BREAK_OFFSET / AVERAGING_TIME_CONSTANT * tie_break_rank;
        let weight = if member.local { LOCAL_TRAFFIC_WEIGHT } else { 1.0 };
        Candidate {
            host,
            distance,
            traffic: (member.answer_rate.at(self.now) * weight + tie_break_offset) * distance,
            local: member.local,
            warming_up,
            in_flight: member.in_flight.len(),
            position: member.position.newest,
            position_seen_at: member.position.seen_at,
            lag: member.position.lag,
            position_reported_by_peers: member.position.reported_by_peers,
        }
    }

    /// The expected latency of the member, as a multiple of the typical one. Attempts still waiting for an
    /// answer count as well, through the fault score.
    fn distance(&self, member: &Member) -> f64 {
        let latency = member.latency.expected(self.now).max(self.fault_score(member) / 2.0);
        latency + member.queue.expected_wait(self.now)
    }

    /// A close replica that is known to be fresh enough.
    fn choose_close_replica(
        &self,
        pending: &PendingRequest,
        candidates: &Candidates,
        required: RequiredPosition,
    ) -> Option<HostId> {
        // A replica may not apply the log while it serves a long read. All routers send long reads that
        // require no position to the same replica, so that the others stay fresh for reads that require one.
        if required.minimum().is_none() && self.is_long(pending) {
            if let Some(host) = candidates.for_long_reads() {
                return Some(host);
            }
        }
        candidates.least_busy_fresh(required, candidates.tie_limit)
    }

    /// Whether the request's class counts as long.
    fn is_long(&self, pending: &PendingRequest) -> bool {
        let shortest = self.typical_latency.iter().copied().fold(f64::MAX, f64::min);
        self.typical_latency[pending.request.class.0] > LONG_CLASS_MULTIPLE * shortest
    }

    /// Probes the member for its position on behalf of the read.
    fn probe_position(&mut self, id: RequestId, host: HostId) {
        self.probe(host, ProbePurpose::ReadPosition);
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.position_probe = Some(PositionProbe { host, sent_at: self.now });
        }
    }

    /// Whether the read is still waiting for its position probe.
    fn is_awaiting_probe(&self, pending: &PendingRequest) -> bool {
        let is_in_flight =
            |host: &HostId| self.members.get(host).is_some_and(|member| member.probe_sent_at.is_some());
        pending
            .position_probe
            .is_some_and(|probe| self.now - probe.sent_at < MAX_PROBE_WAIT && is_in_flight(&probe.host))
    }

    /// Where members reject reads that they are too far behind for: a replica that was fresh enough a short
    /// time ago, or one whose probe returned no position, since probes can fail at members that serve
    /// requests.
    fn choose_likely_fresh(
        &self,
        pending: &PendingRequest,
        candidates: &Candidates,
        required: RequiredPosition,
    ) -> Option<HostId> {
        if !self.members_reject_stale_reads() {
            return None;
        }
        let has_silent_probe = |candidate: &Candidate| {
            let probe = pending.position_probe.filter(|probe| probe.host == candidate.host);
            probe.is_some_and(|probe| candidate.position_seen_at < probe.sent_at)
        };
        let is_likely_fresh = |candidate: &&Candidate| {
            candidate.had_sufficient_lag(required, self.now) || has_silent_probe(candidate)
        };
        candidates.by_distance.iter().find(is_likely_fresh).map(|candidate| candidate.host)
    }
}
