//! The replicas that may serve a read, and the choice among them by expected latency, freshness and load.

use super::read_routing::SUSPECT_PROBE_INTERVAL;
use super::{HostId, Micros};

/// Replicas whose distance exceeds the closest one's by at most this fraction count as equally close.
const TIE_TOLERANCE: f64 = 0.5;
/// Long reads may go to a replica at up to this many times the distance of those that count as equally close.
const LONG_READ_DISTANCE_FACTOR: f64 = 2.0;
/// A log position counts as recent for this long. Until then the replica is not assumed to be catching up.
const RECENT_POSITION_AGE: Micros = 3 * SUSPECT_PROBE_INTERVAL;
/// The factor by which a lagging replica may apply the log faster than real time.
const CATCH_UP_FACTOR: Micros = 3;
/// The age at which the age of a log position is capped, so that the product with the catch-up factor does
/// not overflow.
const MAX_POSITION_AGE: Micros = 1 << 40;
/// The time for which a measured lag is relied on, where members reject reads that they are too far behind
/// for.
const LAG_VALIDITY: Micros = 2_000_000;

/// The log position that a read requires.
#[derive(Clone, Copy)]
pub(super) struct RequiredPosition(pub(super) Option<Micros>);

impl RequiredPosition {
    /// The minimum position that serves the read; `None` if any does.
    pub(super) fn minimum(self) -> Option<Micros> {
        self.0
    }

    pub(super) fn is_met_by(self, position: Micros) -> bool {
        self.0.is_none_or(|minimum| minimum <= position)
    }
}

/// A replica that may serve the read.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) host: HostId,
    /// The expected latency, as a multiple of the typical one.
    pub(super) distance: f64,
    /// Its weighted share of this router's recent traffic, with the router's own tie-break offset.
    pub(super) traffic: f64,
    /// Whether it is in the router's own zone.
    pub(super) local: bool,
    /// Whether it may be warming up.
    pub(super) warming_up: bool,
    pub(super) in_flight: usize,
    pub(super) position: Micros,
    /// When its position was last measured; 0 for never.
    pub(super) position_seen_at: Micros,
    pub(super) lag: Micros,
    /// The newest position that other routers reported.
    pub(super) position_reported_by_peers: Micros,
}

impl Candidate {
    /// Whether the replica may have reached the required position by `now`. The last measured position is
    /// assumed to have advanced in real time while it is recent, and at the catch-up factor later. Another
    /// router may have measured a newer one.
    pub(super) fn may_have_reached(&self, required: RequiredPosition, now: Micros) -> bool {
        let age = (now - self.position_seen_at).min(MAX_POSITION_AGE);
        let assumed_progress = if age < RECENT_POSITION_AGE { age } else { CATCH_UP_FACTOR * age };
        let Some(minimum) = required.minimum() else { return false };
        self.position_seen_at == 0
            || self.position + assumed_progress >= minimum
            || self.position_reported_by_peers >= minimum
    }

    /// Whether the replica's recently measured lag would serve the read.
    pub(super) fn had_sufficient_lag(&self, required: RequiredPosition, now: Micros) -> bool {
        let is_recent = now - self.position_seen_at < LAG_VALIDITY;
        is_recent && required.minimum().is_some_and(|minimum| now - self.lag >= minimum)
    }
}

/// The replicas that may serve a read, closest first.
pub(super) struct Candidates {
    pub(super) by_distance: Vec<Candidate>,
    /// The distance up to which replicas count as equally close.
    pub(super) tie_limit: f64,
    /// Whether local members are preferred to all those in other zones.
    prefers_local: bool,
}

impl Candidates {
    pub(super) fn new(mut candidates: Vec<Candidate>, prefers_local: bool) -> Self {
        candidates.sort_by(|a, b| a.distance.total_cmp(&b.distance));
        let tie_limit = candidates.first().map_or(0.0, |closest| closest.distance * (1.0 + TIE_TOLERANCE));
        Candidates { by_distance: candidates, tie_limit, prefers_local }
    }

    /// The least busy replica within this distance whose known position serves the read.
    pub(super) fn least_busy_fresh(&self, required: RequiredPosition, distance: f64) -> Option<HostId> {
        let load = |candidate: &Candidate| (self.prefers_local && !candidate.local, candidate.in_flight);
        self.by_distance
            .iter()
            .filter(|candidate| candidate.distance <= distance && required.is_met_by(candidate.position))
            .min_by(|a, b| load(a).cmp(&load(b)).then(a.traffic.total_cmp(&b.traffic)))
            .map(|candidate| candidate.host)
    }

    /// The replica for long reads: the one with the lowest id, so that all routers choose the same one while
    /// it has capacity. Replicas that are warming up are left out, since a few long reads overload them.
    pub(super) fn for_long_reads(&self) -> Option<HostId> {
        let limit = LONG_READ_DISTANCE_FACTOR * self.tie_limit;
        self.by_distance
            .iter()
            .filter(|candidate| candidate.distance <= limit && !candidate.warming_up)
            .map(|candidate| candidate.host)
            .min()
    }

    /// The replica to probe for its position: of those that may have caught up, the close one with the least
    /// traffic, or if none is close, the closest.
    pub(super) fn to_probe(&self, required: RequiredPosition, now: Micros) -> Option<HostId> {
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
