//! The replicas that may take a read, and the choice among them by distance, freshness and load.

use super::read_routing::SUSPECT_REPORT_INTERVAL;
use super::{HostId, Micros};

/// Replicas whose latency exceeds the closest one's by no more than this part count as equally close.
const TIE_BAND: f64 = 0.5;
/// Long reads may go to a replica that is this many times as far as those that count as equally close.
const LONG_READ_DISTANCE: f64 = 2.0;
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
pub(super) struct RequiredPosition(pub(super) Option<Micros>);

impl RequiredPosition {
    /// The least position that serves the read; `None` if any does.
    pub(super) fn minimum(self) -> Option<Micros> {
        self.0
    }

    pub(super) fn is_met_by(self, position: Micros) -> bool {
        self.0.is_none_or(|minimum| minimum <= position)
    }
}

/// A replica that may take the read.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub(super) host: HostId,
    /// Latency to expect, as a multiple of the usual one.
    pub(super) distance: f64,
    /// Its share of this router's recent traffic, with the router's own order of members.
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
}

impl Candidate {
    /// Whether the replica may have reached the required position by `now`. Not if it was seen so far behind
    /// that it cannot have caught up, nor, while its position is young, if it would still be short with all
    /// the time since.
    pub(super) fn may_have_reached(&self, required: RequiredPosition, now: Micros) -> bool {
        let age = (now - self.position_seen_at).min(LONGEST_POSITION_AGE);
        let gain = if age < YOUNG_POSITION_AGE { age } else { CATCH_UP_FACTOR * age };
        let Some(minimum) = required.minimum() else { return false };
        self.position_seen_at == 0 || self.position + gain >= minimum
    }

    /// Whether the replica had, a short time ago, a lag that would serve the read.
    pub(super) fn had_sufficient_lag(&self, required: RequiredPosition, now: Micros) -> bool {
        let is_recent = now - self.position_seen_at < LAG_LIFETIME;
        is_recent && required.minimum().is_some_and(|minimum| now - self.lag >= minimum)
    }
}

/// The replicas that may take a read, closest first.
pub(super) struct Candidates {
    pub(super) by_distance: Vec<Candidate>,
    /// Up to this distance they count as equally close.
    pub(super) tie_limit: f64,
    /// Whether members in other zones come after all local ones.
    prefers_local: bool,
}

impl Candidates {
    pub(super) fn new(mut candidates: Vec<Candidate>, prefers_local: bool) -> Self {
        candidates.sort_by(|a, b| a.distance.total_cmp(&b.distance));
        let tie_limit = candidates.first().map_or(0.0, |closest| closest.distance * (1.0 + TIE_BAND));
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

    /// The replica for long reads, the same for all routers as long as it has capacity. None that is warming
    /// up: few long reads are enough to overload it.
    pub(super) fn for_long_reads(&self) -> Option<HostId> {
        let limit = LONG_READ_DISTANCE * self.tie_limit;
        self.by_distance
            .iter()
            .filter(|candidate| candidate.distance <= limit && !candidate.warming_up)
            .map(|candidate| candidate.host)
            .min()
    }

    /// The replica whose position is worth probing for: among those that may have caught up, the one with the
    /// least traffic that is close, or else the closest.
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
