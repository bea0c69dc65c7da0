//! Which member serves a read: the closest replica that is fresh enough, a suspect on trial, or the primary.

use super::answer_rate::AVERAGING_SPAN;
use super::member::Member;
use super::random::unit_interval;
use super::requests::PositionProbe;
use super::{
    Consistency, GroupId, HostId, Micros, PendingRequest, ProbePurpose, RequestId, Router, StaleReadPolicy,
};

/// Replicas whose latency exceeds the closest one's by no more than this part count as equally close.
const TIE_BAND: f64 = 0.5;
/// A class is long if its usual latency is more than this multiple of the shortest class's.
const LONG_CLASS_MULTIPLE: f64 = 4.0;
/// Long reads may go to a replica that is this many times as far as those that count as equally close.
const LONG_READ_DISTANCE: f64 = 2.0;
/// Weight of the traffic of members in the router's own zone, where ties go to the member with the least
/// recent traffic.
const LOCAL_TRAFFIC_WEIGHT: f64 = 0.5;
/// The lead, in requests, that the router's own order of members gives among ties, so that routers with
/// little traffic use different members.
const OWN_ORDER_LEAD: f64 = 2.0;
/// A read waits this long for its position probe.
const PROBE_WAIT: Micros = 30_000;
/// For each router of the fleet, a suspect's load report is renewed after this span, since all of them ask.
const SUSPECT_REPORT_INTERVAL: Micros = 33_000;
/// The least number of routers that [`SUSPECT_REPORT_INTERVAL`] is multiplied by.
const LEAST_ROUTERS: u32 = 3;
/// A log position is young for this long: until then a replica is not assumed to have caught up.
const YOUNG_POSITION_AGE: Micros = 3 * SUSPECT_REPORT_INTERVAL;
/// How much faster than time a replica that is behind may catch up.
const CATCH_UP_FACTOR: Micros = 3;
/// The largest age of a log position that is counted, so that the catch-up does not overflow.
const LONGEST_POSITION_AGE: Micros = 1 << 40;
/// A measured lag is relied on for this long, where members reject reads that they are too far behind for.
const LAG_LIFETIME: Micros = 2_000_000;

/// The log position that a read needs.
#[derive(Clone, Copy)]
pub(super) struct RequiredPosition(Option<Micros>);

impl RequiredPosition {
    /// The least position that serves the read; `None` if any does.
    pub(super) fn minimum(self) -> Option<Micros> {
        self.0
    }

    fn is_met_by(self, position: Micros) -> bool {
        self.0.is_none_or(|minimum| minimum <= position)
    }
}

/// A replica that may take the read.
#[derive(Clone, Copy)]
struct Candidate {
    host: HostId,
    /// Latency to expect, as a multiple of the usual one.
    distance: f64,
    /// Its share of this router's recent traffic, with the router's own order of members.
    traffic: f64,
    /// Whether it is in the router's own zone.
    local: bool,
    in_flight: usize,
    position: Micros,
    /// When its position was last measured; 0 for never.
    position_seen_at: Micros,
    lag: Micros,
}

impl Candidate {
    /// Whether the replica may have reached the required position by `now`. Not if it was seen so far behind
    /// that it cannot have caught up, nor, while its position is young, if it would still be short with all
    /// the time since.
    fn may_have_reached(&self, required: RequiredPosition, now: Micros) -> bool {
        let age = (now - self.position_seen_at).min(LONGEST_POSITION_AGE);
        let gain = if age < YOUNG_POSITION_AGE { age } else { CATCH_UP_FACTOR * age };
        let Some(minimum) = required.minimum() else { return false };
        self.position_seen_at == 0 || self.position + gain >= minimum
    }

    /// Whether the replica had, a short time ago, a lag that would serve the read.
    fn had_sufficient_lag(&self, required: RequiredPosition, now: Micros) -> bool {
        let is_recent = now - self.position_seen_at < LAG_LIFETIME;
        is_recent && required.minimum().is_some_and(|minimum| now - self.lag >= minimum)
    }
}

/// The replicas that may take a read, closest first.
struct Candidates {
    by_distance: Vec<Candidate>,
    /// Up to this distance they count as equally close.
    tie_limit: f64,
    /// Whether members in other zones come after all local ones.
    prefers_local: bool,
}

impl Candidates {
    fn new(mut candidates: Vec<Candidate>, prefers_local: bool) -> Self {
        candidates.sort_by(|a, b| a.distance.total_cmp(&b.distance));
        let tie_limit = candidates.first().map_or(0.0, |closest| closest.distance * (1.0 + TIE_BAND));
        Candidates { by_distance: candidates, tie_limit, prefers_local }
    }

    /// The least busy replica within this distance whose known position serves the read.
    fn least_busy_fresh(&self, required: RequiredPosition, distance: f64) -> Option<HostId> {
        let load = |candidate: &Candidate| (self.prefers_local && !candidate.local, candidate.in_flight);
        self.by_distance
            .iter()
            .filter(|candidate| candidate.distance <= distance && required.is_met_by(candidate.position))
            .min_by(|a, b| load(a).cmp(&load(b)).then(a.traffic.total_cmp(&b.traffic)))
            .map(|candidate| candidate.host)
    }

    /// The replica for long reads, the same for all routers as long as it has capacity.
    fn for_long_reads(&self) -> Option<HostId> {
        let limit = LONG_READ_DISTANCE * self.tie_limit;
        self.by_distance
            .iter()
            .filter(|candidate| candidate.distance <= limit)
            .map(|candidate| candidate.host)
            .min()
    }

    /// The replica whose position is worth probing for: among those that may have caught up, the one with the
    /// least traffic that is close, or else the closest.
    fn to_probe(&self, required: RequiredPosition, now: Micros) -> Option<HostId> {
        let may_serve = |candidate: &&Candidate| candidate.may_have_reached(required, now);
        let close = self
            .by_distance
            .iter()
            .filter(|candidate| candidate.distance <= self.tie_limit)
            .filter(may_serve)
            .min_by(|a, b| a.traffic.total_cmp(&b.traffic));
        close.or_else(|| self.by_distance.iter().find(may_serve)).map(|candidate| candidate.host)
    }
}

impl Router {
    /// The log position that a request needs.
    pub(super) fn required_position(&self, pending: &PendingRequest) -> RequiredPosition {
        let request = &pending.request;
        RequiredPosition(match self.settings.classes[request.class.0].consistency {
            Consistency::Any => None,
            Consistency::BoundedStaleness(bound) => Some(self.now - bound),
            Consistency::Session if self.settings.sessions_carry_tokens => {
                request.last_write_age.map(|age| pending.arrived_at.saturating_sub(age))
            }
            Consistency::Session => self.session_commits.required_by(request.session),
            Consistency::Strong | Consistency::Write => Some(pending.arrived_at),
        })
    }

    /// The member that a read is sent to now; `None` if it is to wait.
    pub(super) fn choose_for_read(&mut self, id: RequestId, group: GroupId) -> Option<HostId> {
        if let Some(host) = self.choose_trial(id, group) {
            self.record_trial(host, group);
            return Some(host);
        }
        self.renew_suspect_reports(group);
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
        // Another member that is known or likely to be fresh enough spares the primary.
        candidates
            .least_busy_fresh(required, f64::MAX)
            .or_else(|| self.choose_likely_fresh(pending, &candidates, required))
            .or_else(|| self.choose_primary_for_spillover(id, group))
    }

    /// A suspect on trial. It gets single reads at long intervals, since only an answer clears it.
    fn choose_trial(&self, id: RequestId, group: GroupId) -> Option<HostId> {
        let pending = self.pending.get(&id)?;
        let (host, member) = self.due_trial(group, &pending.excluded)?;
        let is_primary = self.primary(group) == Some(host);
        let is_fresh = self.required_position(pending).is_met_by(member.position.newest);
        (self.members_reject_stale_reads() || is_primary || is_fresh).then_some(host)
    }

    fn members_reject_stale_reads(&self) -> bool {
        self.settings.stale_reads == StaleReadPolicy::Reject
    }

    /// Keeps the load reports of suspects young: one whose position advances works again.
    fn renew_suspect_reports(&mut self, group: GroupId) {
        let interval = SUSPECT_REPORT_INTERVAL * Micros::from(self.settings.routers.max(LEAST_ROUTERS));
        let is_due =
            |member: &Member| member.faults.is_suspected() && self.now - member.queue.reported_at >= interval;
        let due = self.group_members(group).filter(|(_, member)| is_due(member));
        let hosts: Vec<HostId> = due.map(|(host, _)| host).collect();
        for host in hosts {
            self.probe(host, ProbePurpose::SuspectRecovery);
        }
    }

    /// The replicas of the group that may take the read now, whatever their position.
    fn read_candidates(&self, pending: &PendingRequest, group: GroupId) -> Candidates {
        let primary = self.primary(group);
        let can_serve = |host: HostId, member: &Member| {
            Some(host) != primary
                && !pending.excluded.contains(&host)
                && member.has_capacity(self.now)
                && self.zone_admits(pending.request.id, member.zone)
                && member.is_usable()
                && self.slow_start_admits(member)
        };
        let candidates = self
            .group_members(group)
            .filter(|(host, member)| can_serve(*host, member))
            .map(|(host, member)| self.candidate(host, member))
            .filter(|candidate| candidate.distance.is_finite())
            .collect();
        // Where the fleet decides on zones in common, a local member comes before remote ones while it can
        // serve.
        Candidates::new(candidates, self.zone_read_shares.is_some())
    }

    fn candidate(&self, host: HostId, member: &Member) -> Candidate {
        let distance = self.distance(member) * self.latency_factors.get(&host).unwrap_or(&1.0);
        let lead = OWN_ORDER_LEAD / AVERAGING_SPAN * unit_interval(self.settings.seed, host.0.into());
        let weight = if member.local { LOCAL_TRAFFIC_WEIGHT } else { 1.0 };
        Candidate {
            host,
            distance,
            traffic: (member.answer_rate.at(self.now) * weight + lead) * distance,
            local: member.local,
            in_flight: member.in_flight.len(),
            position: member.position.newest,
            position_seen_at: member.position.seen_at,
            lag: member.position.lag,
        }
    }

    /// The latency to expect of the member, as a multiple of the usual one. Silence counts before it has
    /// ended.
    fn distance(&self, member: &Member) -> f64 {
        let latency = member.latency.expected(self.now).max(self.fault_score(member) / 2.0);
        latency + member.queue.expected_wait(self.now)
    }

    /// A replica that is close and known to be fresh enough.
    fn choose_close_replica(
        &self,
        pending: &PendingRequest,
        candidates: &Candidates,
        required: RequiredPosition,
    ) -> Option<HostId> {
        // A replica may apply nothing while it serves a long read. Long reads that need no position go to the
        // same replica from all routers, so that the others stay fresh for the reads that do.
        if required.minimum().is_none() && self.is_long(pending) {
            if let Some(host) = candidates.for_long_reads() {
                return Some(host);
            }
        }
        candidates.least_busy_fresh(required, candidates.tie_limit)
    }

    /// Whether the request's class takes much longer than the shortest one.
    fn is_long(&self, pending: &PendingRequest) -> bool {
        let shortest = self.usual_latency.iter().copied().fold(f64::MAX, f64::min);
        self.usual_latency[pending.request.class.0] > LONG_CLASS_MULTIPLE * shortest
    }

    /// Probes the member for its position on behalf of the read.
    fn probe_position(&mut self, id: RequestId, host: HostId) {
        self.probe(host, ProbePurpose::ReadPosition);
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.position_probe = Some(PositionProbe { host, sent_at: self.now });
        }
    }

    /// Whether the read still waits for its position probe.
    fn is_awaiting_probe(&self, pending: &PendingRequest) -> bool {
        let is_out =
            |host: &HostId| self.members.get(host).is_some_and(|member| member.probe_sent_at.is_some());
        pending
            .position_probe
            .is_some_and(|probe| self.now - probe.sent_at < PROBE_WAIT && is_out(&probe.host))
    }

    /// Where members reject reads that they are too far behind for, one that was fresh enough a short time
    /// ago, or one whose probe brought no position: probes can fail at members that serve.
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
