//! The timing of leases.

use crate::Micros;

const MILLION: i64 = 1_000_000;

/// The timing of leases, which must be the same at all proxies of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// The validity of a lease, counted by the allocator from the arrival of the request.
    pub duration: Micros,
    /// The maximum difference in rate between two clocks, in parts per million.
    pub max_drift_ppm: i64,
    /// The interval between the regular requests of a holder to each allocator. At a third of `duration`,
    /// two lost messages in a row do no harm.
    pub request_interval: Micros,
    /// The time after a lease's expiry for which its holder may keep units open that it acquired under the
    /// lease, such as connections in use.
    pub release_grace: Micros,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        LeaseTerms {
            duration: 3_000_000,
            max_drift_ppm: 10_000,
            request_interval: 1_000_000,
            release_grace: 5_000_000,
        }
    }
}

impl LeaseTerms {
    /// Returns how long a holder may use a lease, counted from when it sent the request:
    /// [`LeaseTerms::duration`] less the maximum clock drift over it.
    pub fn holder_duration(&self) -> Micros {
        self.duration - self.max_drift(self.duration)
    }

    /// Returns how long after a lease's expiry an allocator counts the units that may still be held open
    /// under it.
    pub fn allocator_release_grace(&self) -> Micros {
        self.release_grace + self.max_drift(self.release_grace)
    }

    /// Returns how long a newly started allocator waits before it grants leases. Any lease of its
    /// predecessor has expired by then.
    pub fn startup_delay(&self) -> Micros {
        self.duration + self.max_drift(self.duration)
    }

    /// Returns how far two clocks may drift apart over a span.
    fn max_drift(&self, span: Micros) -> Micros {
        span * self.max_drift_ppm / MILLION
    }
}
