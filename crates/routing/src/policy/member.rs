//! The state of a member: its role, log position, latency and reported queue, and what it has in flight.

use super::concurrency_limit::ConcurrencyLimit;
use super::event_rate::EventRate;
use super::outliers::FaultRecord;
use super::slow_start::SlowStart;
use super::{
    AttemptNo, ClassId, EndpointStatus, GroupId, LearnedTraits, Micros, RequestId, Role, SessionKey,
};

/// The time constant, in µs, in which a latency that is not measured again drifts back to the usual one, so
/// that the member is tried again.
const LATENCY_DRIFT_SPAN: f64 = 8e6;
/// The largest age, in µs, of a latency that is counted.
const LONGEST_SAMPLE_AGE: Micros = 1 << 40;
/// Weight of one answer in a member's relative latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// The cores that are assumed to work a member's queue off.
const ASSUMED_CORES: f64 = 4.0;
/// The reported queue, in usual latencies of waiting, from which on a member gets nothing.
const LONGEST_QUEUE: f64 = 3.0;
/// The time constant, in µs, in which a reported queue is assumed to be worked off.
const QUEUE_DECAY_SPAN: f64 = 1e6;
/// The largest age, in µs, of a load report that is counted.
const LONGEST_REPORT_AGE: Micros = 1 << 30;

/// An attempt that is in flight at a member.
pub(super) struct AttemptInFlight {
    pub(super) id: RequestId,
    pub(super) attempt: AttemptNo,
    pub(super) class: ClassId,
    /// Copied from the request: a commit counts for its session even if the client has disconnected.
    pub(super) session: Option<SessionKey>,
    pub(super) sent_at: Micros,
    pub(super) cancelled: bool,
}

/// When a member was last known to be primary and replica; 0 for never.
#[derive(Clone, Copy, Default)]
pub(super) struct RoleEvidence {
    pub(super) primary_at: Micros,
    pub(super) replica_at: Micros,
}

impl RoleEvidence {
    /// Records the role that the member had at this time.
    pub(super) fn observe(&mut self, role: Option<Role>, at: Micros) {
        match role {
            Some(Role::Primary) => self.primary_at = self.primary_at.max(at),
            Some(Role::Replica) => self.replica_at = self.replica_at.max(at),
            None => {}
        }
    }

    /// Whether the newest evidence is for the primary.
    pub(super) fn claims_primary(self) -> bool {
        self.primary_at > self.replica_at
    }
}

/// What is known of a member's log position.
#[derive(Default)]
pub(super) struct LogPosition {
    /// The newest position known; a lower bound of the present one.
    pub(super) newest: Micros,
    /// When a position last came from the member itself; 0 for never.
    pub(super) seen_at: Micros,
    /// How far behind the present the member was then.
    pub(super) lag: Micros,
}

impl LogPosition {
    /// Takes a position that the member itself reported.
    pub(super) fn observe(&mut self, position: Option<Micros>, now: Micros) {
        let Some(position) = position else { return };
        self.lag = now - position;
        self.seen_at = now;
        self.raise_to(position, now);
    }

    /// Takes a lower bound of the position; one in the future counts as the present.
    pub(super) fn raise_to(&mut self, position: Micros, now: Micros) {
        self.newest = self.newest.max(position.min(now));
    }
}

/// The mean latency of a member's answers, as a multiple of the usual latency of their classes.
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
    /// The latency that another router learned.
    pub(super) fn learned(multiple: f64, now: Micros) -> Self {
        RelativeLatency { multiple, sampled_at: now }
    }

    /// The mean as it was last measured.
    pub(super) fn multiple(&self) -> f64 {
        self.multiple
    }

    /// The latency to expect at `now`.
    pub(super) fn expected(&self, now: Micros) -> f64 {
        let age = (now - self.sampled_at).min(LONGEST_SAMPLE_AGE) as f64;
        1.0 + (self.multiple - 1.0) * (-age / LATENCY_DRIFT_SPAN).exp()
    }

    /// Takes the latency of an answer into the mean.
    pub(super) fn observe(&mut self, multiple: f64, now: Micros) {
        self.multiple += LATENCY_WEIGHT * (multiple - self.multiple);
        self.sampled_at = now;
    }

    /// Assumes the usual latency again.
    pub(super) fn reset(&mut self) {
        self.multiple = 1.0;
    }
}

/// The queue of a member as its last load report had it.
#[derive(Default)]
pub(super) struct ReportedQueue {
    /// Queued requests of all routers.
    pub(super) length: f64,
    /// When a probe of the member last ended, with a report or without.
    pub(super) reported_at: Micros,
}

impl ReportedQueue {
    /// The usual latencies that a request would wait behind what is left of the queue.
    pub(super) fn expected_wait(&self, now: Micros) -> f64 {
        let age = (now - self.reported_at).clamp(0, LONGEST_REPORT_AGE) as f64;
        self.length / ASSUMED_CORES * (-age / QUEUE_DECAY_SPAN).exp()
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
    /// When its process started, as the endpoint list has it.
    pub(super) listed_start: Option<Micros>,
    /// Whether the endpoint list takes it for the primary.
    pub(super) listed_primary: bool,
    /// When the endpoint list first had it as removed; 0 while it is listed.
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
    /// When the probe was sent whose answer is awaited.
    pub(super) probe_sent_at: Option<Micros>,
}

impl Member {
    /// Whether it may be sent requests other than trials.
    pub(super) fn is_usable(&self) -> bool {
        self.status == EndpointStatus::Up && !self.faults.is_suspected()
    }

    /// Whether its concurrency limit and its reported queue leave room for another request.
    pub(super) fn has_capacity(&self, now: Micros) -> bool {
        self.concurrency_limit.admits(self.in_flight.len()) && self.queue.expected_wait(now) < LONGEST_QUEUE
    }

    /// Removes an attempt from those in flight.
    pub(super) fn take_in_flight(&mut self, id: RequestId, attempt: AttemptNo) -> Option<AttemptInFlight> {
        let is_wanted = |candidate: &AttemptInFlight| candidate.id == id && candidate.attempt == attempt;
        let index = self.in_flight.iter().position(is_wanted)?;
        Some(self.in_flight.remove(index))
    }

    /// What a successor of this router should start from.
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
