//! A request that has no final answer yet, and the state of its attempts.

use super::{AttemptInFlight, AttemptNo, HostId, Idempotency, Micros, Request, QUEUE_CHECK_INTERVAL};
use std::collections::BTreeSet;

/// A position probe that a read is waiting for.
#[derive(Clone, Copy)]
pub(super) struct PositionProbe {
    pub(super) host: HostId,
    pub(super) sent_at: Micros,
}

/// A request that has no final answer yet.
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) arrived_at: Micros,
    /// The time from which on an answer has no value.
    pub(super) useful_until: Micros,
    pub(super) attempts: u32,
    /// The member at which an attempt is in flight, if there is one.
    pub(super) in_flight_at: Option<HostId>,
    /// When the first attempt that may have run was sent.
    pub(super) may_have_run_since: Option<Micros>,
    /// The members at which attempts have failed.
    pub(super) excluded: BTreeSet<HostId>,
    pub(super) position_probe: Option<PositionProbe>,
    /// Whether an attempt has reached a member.
    pub(super) has_reached_member: bool,
}

impl PendingRequest {
    /// The time until which members recognise a repeat of the request; `None` if no attempt may have run, or
    /// if requests of this idempotency need no recognition.
    pub(super) fn repeat_recognised_until(&self, idempotency: Idempotency) -> Option<Micros> {
        let Idempotency::Keyed { window, .. } = idempotency else { return None };
        Some(self.may_have_run_since?.saturating_add(window) - QUEUE_CHECK_INTERVAL)
    }

    /// The fraction of the time from arrival to deadline that has passed.
    pub(super) fn waited_fraction(&self, now: Micros) -> f64 {
        let time_allowed = (self.request.deadline - self.arrived_at).max(1);
        (now - self.arrived_at) as f64 / time_allowed as f64
    }

    /// The attempt that is sent next, as in flight from `now` on.
    pub(super) fn next_attempt(&self, now: Micros) -> AttemptInFlight {
        AttemptInFlight {
            id: self.request.id,
            attempt: AttemptNo(self.attempts),
            class: self.request.class,
            session: self.request.session,
            sent_at: now,
            deadline: self.request.deadline,
            cancelled: false,
        }
    }
}
