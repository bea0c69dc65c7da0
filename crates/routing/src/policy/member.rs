//! The state of a member: its role, log position, latency, reported queue and attempts in flight.

use super::concurrency_limit::ConcurrencyLimit;
use super::event_rate::EventRate;
use super::outliers::FaultRecord;
use super::slow_start::SlowStart;
use super::{
    AttemptNo, ClassId, EndpointStatus, GroupId, LearnedTraits, Micros, RequestId, Role, SessionKey,
};

/// The time constant, in µs, with which a latency that is not measured again decays to the typical one, so
/// that the member gets requests again.
const LATENCY_DECAY_TIME_CONSTANT: f64 = 8e6;
/// The age, in µs, at which the age of a latency sample is capped.
const MAX_SAMPLE_AGE: Micros = 1 << 40;
/// The weight of one answer in a member's relative latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// The assumed number of cores that process a member's queue.
const ASSUMED_CORES: f64 = 4.0;
/// The expected wait in the reported queue, in typical latencies, from which on a member gets no requests.
const MAX_QUEUE_WAIT: f64 = 3.0;
/// The time constant, in µs, with which a reported queue is assumed to drain.
const QUEUE_DECAY_TIME_CONSTANT: f64 = 1e6;
/// The age, in µs, at which the age of a load report is capped.
const MAX_REPORT_AGE: Micros = 1 << 30;

/// An attempt in flight at a member.
pub(super) struct AttemptInFlight {
    pub(super) id: RequestId,
    pub(super) attempt: AttemptNo,
    pub(super) class: ClassId,
    /// Copied from the request, since a commit counts for its session even if the client has disconnected.
    pub(super) session: Option<SessionKey>,
    pub(super) sent_at: Micros,
    /// The deadline of the request. The member is told no later one.
    pub(super) deadline: Micros,
    pub(super) cancelled: bool,
}

/// The times at which a member was last known to be the primary and a replica; 0 for never.
#[derive(Clone, Copy, Default)]
pub(super) struct RoleEvidence {
    pub(super) primary_at: Micros,
    pub(super) replica_at: Micros,
}

impl RoleEvidence {
    /// Records the member's role at this time.
    pub(super) fn observe(&mut self, role: Option<Role>, at: Micros) {
        match role {
            Some(Role::Primary) => self.primary_at = self.primary_at.max(at),
            Some(Role::Replica) => self.replica_at = self.replica_at.max(at),
            None => {}
        }
    }

    /// Whether the newest evidence shows the member as primary.
    pub(super) fn claims_primary(self) -> bool {
        self.primary_at > self.replica_at
    }
}

/// The known log position of a member.
#[derive(Default)]
pub(super) struct LogPosition {
    /// The newest known position, a lower bound of the current one.
    pub(super) newest: Micros,
    /// When the member itself last reported a position; 0 for never.
    pub(super) seen_at: Micros,
    /// The member's lag behind the router's clock at that time.
    pub(super) lag: Micros,
    /// The newest position that other routers reported. They may be wrong, so it serves no read: it only
    /// shows which member is worth a probe.
    pub(super) reported_by_peers: Micros,
}

impl LogPosition {
    /// Records a position that the member itself reported.
    pub(super) fn observe(&mut self, position: Option<Micros>, now: Micros) {
        let Some(position) = position else { return };
        self.lag = now - position;
        self.seen_at = now;
        self.raise_to(position, now);
    }

    /// Records a position that another router reported.
    pub(super) fn observe_peer_report(&mut self, position: Micros) {
        self.reported_by_peers = self.reported_by_peers.max(position);
    }

    /// Raises the newest position to a known lower bound. A bound in the future counts as `now`.
    pub(super) fn raise_to(&mut self, position: Micros, now: Micros) {
        self.newest = self.newest.max(position.min(now));
    }
}

/// The moving average of a member's latencies, each as a multiple of its class's typical latency.
pub(super) struct RelativeLatency {
    multiple: f64,
    sampled_at: Micros,
}

impl Default for RelativeLatency {
    fn default() -> Self {
        RelativeLatency { multiple: 1.0, sampled_at: 0 }
    }
}

impl RelativeLatency {
    /// Creates a relative latency from one that another router measured.
    pub(super) fn learned(multiple: f64, now: Micros) -> Self {
        RelativeLatency { multiple, sampled_at: now }
    }

    /// The average at the last sample.
    pub(super) fn multiple(&self) -> f64 {
        self.multiple
    }

    /// The expected relative latency at `now`.
    pub(super) fn expected(&self, now: Micros) -> f64 {
        let age = (now - self.sampled_at).min(MAX_SAMPLE_AGE) as f64;
        1.0 + (self.multiple - 1.0) * (-age / LATENCY_DECAY_TIME_CONSTANT).exp()
    }

    /// Adds a sample to the average.
    pub(super) fn observe(&mut self, multiple: f64, now: Micros) {
        self.multiple += LATENCY_WEIGHT * (multiple - self.multiple);
        self.sampled_at = now;
    }

    /// Resets the average to the typical latency.
    pub(super) fn reset(&mut self) {
        self.multiple = 1.0;
    }
}

/// The queue of a member according to its last load report.
#[derive(Default)]
pub(super) struct ReportedQueue {
    /// The number of queued requests, those of other routers included.
    pub(super) length: f64,
    /// When a probe of the member last ended, with or without a report.
    pub(super) reported_at: Micros,
}

impl ReportedQueue {
    /// The expected wait in what is left of the queue, in typical latencies.
    pub(super) fn expected_wait(&self, now: Micros) -> f64 {
        let age = (now - self.reported_at).clamp(0, MAX_REPORT_AGE) as f64;
        self.length / ASSUMED_CORES * (-age / QUEUE_DECAY_TIME_CONSTANT).exp()
    }
}

/// A member of a group.
#[derive(Default)]
pub(super) struct Member {
    pub(super) group: GroupId,
    pub(super) status: EndpointStatus,
    /// Whether it is in the router's own zone.
    pub(super) local: bool,
    pub(super) zone: u32,
    /// When its process started, according to the endpoint list.
    pub(super) listed_start: Option<Micros>,
    /// Whether the endpoint list names it as the primary.
    pub(super) listed_primary: bool,
    /// When the endpoint list first reported it as removed; 0 while it is listed.
    pub(super) removed_at: Micros,
    pub(super) roles: RoleEvidence,
    pub(super) position: LogPosition,
    pub(super) latency: RelativeLatency,
    pub(super) answer_rate: EventRate,
    pub(super) concurrency_limit: ConcurrencyLimit,
    pub(super) queue: ReportedQueue,
    pub(super) slow_start: SlowStart,
    pub(super) faults: FaultRecord,
    pub(super) in_flight: Vec<AttemptInFlight>,
    /// When the probe in flight was sent, if there is one.
    pub(super) probe_sent_at: Option<Micros>,
}

impl Member {
    /// Whether it may be sent regular requests. Suspects get only trials.
    pub(super) fn is_usable(&self) -> bool {
        self.status == EndpointStatus::Up && !self.faults.is_suspected()
    }

    /// Whether its concurrency limit and its reported queue admit another request.
    pub(super) fn has_capacity(&self, now: Micros) -> bool {
        self.concurrency_limit.admits(self.in_flight.len()) && self.queue.expected_wait(now) < MAX_QUEUE_WAIT
    }

    /// Removes an attempt from those in flight and returns it.
    pub(super) fn take_in_flight(&mut self, id: RequestId, attempt: AttemptNo) -> Option<AttemptInFlight> {
        let is_match = |candidate: &AttemptInFlight| candidate.id == id && candidate.attempt == attempt;
        let index = self.in_flight.iter().position(is_match)?;
        Some(self.in_flight.remove(index))
    }

    /// The traits that a successor of this router starts from.
    pub(super) fn learned_traits(&self, now: Micros) -> LearnedTraits {
        LearnedTraits {
            concurrency_limit: self.concurrency_limit.value(),
            relative_latency: self.latency.multiple(),
            answer_rate: self.answer_rate.at(now),
            primary_at: self.roles.primary_at,
            replica_at: self.roles.replica_at,
        }
    }
}
