//! Permits to send to a member in slow start. They are issued at a rate and expire soon: what all routers
//! hold unused is bounded however many routers there are, and cannot be used all at once in a surge.

use super::Micros;

/// How fast permits are issued, and how long each is valid.
#[derive(Clone, Copy)]
pub(super) struct PermitSchedule {
    /// Permits per µs.
    pub(super) rate: f64,
    /// The lifetime of a permit, in µs.
    lifetime: f64,
}

impl PermitSchedule {
    /// The requests that are expected to arrive within a permit's lifetime: a router with little traffic
    /// keeps each permit for longer, until it has a request for it.
    const ARRIVALS_PER_LIFETIME: f64 = 1.5;
    /// The bounds of the lifetime, as parts of the span.
    const LIFETIME_PARTS: (f64, f64) = (0.1, 1.5);

    /// A schedule under which no more than `most` permits, in the mean, can be used within any `span`: those
    /// issued within it, and those issued before it that are still valid. `arrivals` are the requests per µs
    /// that may use them.
    pub(super) fn within(most: f64, span: f64, arrivals: f64) -> PermitSchedule {
        let (shortest, longest) = Self::LIFETIME_PARTS;
        let lifetime_part = (Self::ARRIVALS_PER_LIFETIME / (arrivals * span)).clamp(shortest, longest);
        PermitSchedule { rate: most / span / (1.0 + lifetime_part), lifetime: lifetime_part * span }
    }
}

/// The permits of one router for one member.
#[derive(Default)]
pub(super) struct SendPermits {
    /// The permits issued up to `updated_at`, with the part of the next one that is due.
    issued: f64,
    /// The number of the first permit that was not used, with the part of it that was.
    first_unused: f64,
    updated_at: Micros,
}

/// The permits that can be used at a moment.
#[derive(Clone, Copy)]
pub(super) struct ValidPermits {
    /// The permits issued so far, with the part of the next one.
    issued: f64,
    /// The number of the oldest valid permit.
    first: f64,
    /// How many there are.
    pub(super) count: f64,
}

impl ValidPermits {
    /// The number of the oldest valid permit.
    pub(super) fn number(&self) -> u64 {
        self.first as u64
    }
}

impl SendPermits {
    /// Begins anew; the first permit is issued once the part of it that is still missing has been earned.
    pub(super) fn restart(&mut self, issued_part: f64, now: Micros) {
        *self = SendPermits { issued: issued_part, first_unused: 0.0, updated_at: now };
    }

    /// The permits that are valid at `now` under this schedule.
    pub(super) fn valid(&self, schedule: PermitSchedule, now: Micros) -> ValidPermits {
        let elapsed = (now - self.updated_at).max(0) as f64;
        let issued = self.issued + schedule.rate * elapsed;
        let expired = (issued - schedule.rate * schedule.lifetime).floor();
        let first = self.first_unused.max(expired);
        ValidPermits { issued, first, count: (issued.floor() - first).max(0.0) }
    }

    /// Uses so many of the permits that were valid at `now`.
    pub(super) fn take(&mut self, valid: ValidPermits, count: f64, now: Micros) {
        self.issued = valid.issued;
        self.first_unused = valid.first + count;
        self.updated_at = now;
    }
}
