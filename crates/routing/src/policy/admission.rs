//! Admission control: load shedding, and the zones' shares of reads.

use super::random::{salted_hash, unit_interval};
use super::{PendingRequest, RequestId, Role, Router};

/// The weight of one arrival in the typical value density.
const DENSITY_WEIGHT: f64 = 0.05;
/// The bounds of the factor by which a request is shed more than one of the typical value density.
const MIN_SHED_FACTOR: f64 = 0.1;
const MAX_SHED_FACTOR: f64 = 4.0;
/// The minimum value density, to avoid a division by zero.
const MIN_DENSITY: f64 = 1e-12;

/// The typical value density of requests: their priority weight divided by their typical latency in µs.
#[derive(Default)]
pub(super) struct ValueDensity {
    /// The moving average over recent arrivals; 0 before the first.
    typical: f64,
}

impl ValueDensity {
    /// Adds an arrival with this value density to the average.
    pub(super) fn observe(&mut self, density: f64) {
        let weight = if self.typical == 0.0 { 1.0 } else { DENSITY_WEIGHT };
        self.typical += weight * (density - self.typical);
    }

    /// The factor by which a request of this value density is shed more than a typical one.
    fn shed_factor(&self, density: f64) -> f64 {
        (self.typical / density.max(MIN_DENSITY)).clamp(MIN_SHED_FACTOR, MAX_SHED_FACTOR)
    }
}

impl Router {
    /// Whether the request's next attempt is admitted at members of this role rather than shed. Requests of
    /// low value density are shed first, and retries before first attempts. A larger `shed_weight` sheds
    /// more.
    pub(super) fn admits(
        &self,
        id: RequestId,
        pending: &PendingRequest,
        role: Role,
        shed_weight: f64,
    ) -> bool {
        let class = pending.request.class;
        let group = self.groups.get(&pending.request.group);
        let level = group.map_or(0.0, |group| group.shed_level(role, self.now));
        let density = self.settings.classes[class.0].priority_weight / self.typical_latency[class.0];
        let shed_factor = self.value_density.shed_factor(density);
        let failed_members = pending.excluded.len() as u64;
        let exponent = -level * shed_factor * (1 + failed_members) as f64 * shed_weight;
        self.draw(id, failed_members) <= exponent.exp()
    }

    /// Whether the zone's share of reads includes this request.
    pub(super) fn zone_admits(&self, id: RequestId, zone: u32) -> bool {
        let shares = self.zone_read_shares.as_ref();
        let share = shares.and_then(|shares| shares.get(&zone));
        share.is_none_or(|share| self.draw(id, zone.into()) < *share)
    }

    /// A pseudo-random number from 0 to 1 that depends only on the request and the salt, so that a queued
    /// request is not drawn for repeatedly.
    fn draw(&self, id: RequestId, salt: u64) -> f64 {
        unit_interval(self.settings.seed, salted_hash(salt, &id.0))
    }
}
