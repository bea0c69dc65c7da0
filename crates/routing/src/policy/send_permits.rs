//! Permits to send to a member in slow start. They are issued at a limited rate and expire soon. This bounds
//! the number of unused permits of all routers together, however many routers there are, so that a surge
//! cannot use up a large stock of permits at once.

use super::Micros;

/// The rate at which permits are issued, and their lifetime.
#[derive(Clone, Copy)]
pub(super) struct PermitSchedule {
    /// Permits per µs.
    pub(super) rate: f64,
    /// The lifetime of a permit, in µs.
    lifetime: f64,
}

impl PermitSchedule {
    /// The number of requests expected to arrive within a permit's lifetime. On a router with little traffic
    /// permits live longer, so that they are still valid when a request arrives.
    const ARRIVALS_PER_LIFETIME: f64 = 1.5;
    /// The bounds of the lifetime, as fractions of the span.
    const LIFETIME_FRACTIONS: (f64, f64) = (0.1, 1.5);

    /// Creates a schedule under which on average no more than `max_permits` can be used within any `span`,
    /// counting both those issued within it and those issued earlier that are still valid. `arrivals` is the
    /// rate, per µs, of the requests that may use them.
    pub(super) fn within(max_permits: f64, span: f64, arrivals: f64) -> PermitSchedule {
        let (shortest, longest) = Self::LIFETIME_FRACTIONS;
        let lifetime_fraction = (Self::ARRIVALS_PER_LIFETIME / (arrivals * span)).clamp(shortest, longest);
        PermitSchedule {
            rate: max_permits / span / (1.0 + lifetime_fraction),
            lifetime: lifetime_fraction * span,
        }
    }
}

/// The permits of one router for one member.
#[derive(Default)]
pub(super) struct SendPermits {
    /// The number of permits issued up to `updated_at`; the fractional part is the progress towards the next
    /// one.
    issued: f64,
    /// The number of the first unused permit; the fractional part is how much of it was used.
    first_unused: f64,
    updated_at: Micros,
}

/// The permits that are valid at one moment.
#[derive(Clone, Copy)]
pub(super) struct ValidPermits {
    /// The number of permits issued so far; the fractional part is the progress towards the next one.
    issued: f64,
    /// The number of the oldest valid permit.
    first: f64,
    /// The number of valid permits.
    pub(super) count: f64,
}

impl ValidPermits {
    /// The number of the oldest valid permit.
    pub(super) fn number(&self) -> u64 {
        self.first as u64
    }
}

impl SendPermits {
    /// Discards all permits and starts with this fraction of the first one.
    pub(super) fn restart(&mut self, issued_fraction: f64, now: Micros) {
        *self = SendPermits { issued: issued_fraction, first_unused: 0.0, updated_at: now };
    }

    /// The permits that are valid at `now` under this schedule.
    pub(super) fn valid(&self, schedule: PermitSchedule, now: Micros) -> ValidPermits {
        let elapsed = (now - self.updated_at).max(0) as f64;
        let issued = self.issued + schedule.rate * elapsed;
        let expired = (issued - schedule.rate * schedule.lifetime).floor();
        let first = self.first_unused.max(expired);
        ValidPermits { issued, first, count: (issued.floor() - first).max(0.0) }
    }

    /// Uses `count` of the permits that were valid at `now`.
    pub(super) fn take(&mut self, valid: ValidPermits, count: f64, now: Micros) {
        self.issued = valid.issued;
        self.first_unused = valid.first + count;
        self.updated_at = now;
    }
}
