//! The timing of leases.

use crate::Micros;

const MILLION: i64 = 1_000_000;

/// The timing of leases. All proxies of a fleet use the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long a lease is valid, counted by the allocator from when the request arrived.
    pub duration: Micros,
    /// How much faster or slower than another a clock may run, in millionths.
    pub max_drift_ppm: i64,
    /// How often a holder sends a request to each allocator while all is well; a third of `duration` survives two
    /// lost messages.
    pub request_interval: Micros,
    /// How long after a lease's expiry its holder may still keep open what it acquired by it, as connections in use.
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
    /// How long a holder relies on a lease, counted from when it sent the request: shorter than
    /// [`LeaseTerms::duration`] by what clocks may drift apart over it.
    pub fn holder_duration(&self) -> Micros {
        self.duration - self.max_drift(self.duration)
    }

    /// How long past a lease's expiry an allocator counts what may still be held open by it.
    pub fn allocator_release_grace(&self) -> Micros {
        self.release_grace + self.max_drift(self.release_grace)
    }

    /// How long an allocator that has started waits before it grants leases: any lease of its predecessor has expired
    /// by then.
    pub fn startup_delay(&self) -> Micros {
        self.duration + self.max_drift(self.duration)
    }

    /// How far two clocks may drift apart over a span.
    fn max_drift(&self, span: Micros) -> Micros {
        span * self.max_drift_ppm / MILLION
    }
}
