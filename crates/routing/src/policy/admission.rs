//! Admission: which requests are shed under load, and which reads a zone's share admits.

use super::random::{salted_hash, unit_interval};
use super::{PendingRequest, RequestId, Role, Router};

/// Weight of one arrival in the usual value density.
const DENSITY_WEIGHT: f64 = 0.05;
/// Bounds of how much more or less a request is shed than one of the usual value density.
const LEAST_SHED_FACTOR: f64 = 0.1;
const MOST_SHED_FACTOR: f64 = 4.0;
/// The least value density that is divided by.
const LEAST_DENSITY: f64 = 1e-12;

/// The usual value of requests for a microsecond of work: their priority weight divided by their usual
/// latency.
#[derive(Default)]
pub(super) struct ValueDensity {
    /// The mean over recent arrivals; 0 before the first.
    usual: f64,
}

impl ValueDensity {
    /// Counts an arrival with this value density.
    pub(super) fn observe(&mut self, density: f64) {
        let weight = if self.usual == 0.0 { 1.0 } else { DENSITY_WEIGHT };
        self.usual += weight * (density - self.usual);
    }

    /// How much more than the usual a request of this value density is shed.
    fn shed_factor(&self, density: f64) -> f64 {
        (self.usual / density.max(LEAST_DENSITY)).clamp(LEAST_SHED_FACTOR, MOST_SHED_FACTOR)
    }
}

impl Router {
    /// Whether the next attempt of the request is admitted at members of this role, or shed. Requests of
    /// little value for their work are shed first, and retries before first attempts. A larger `shed_weight`
    /// sheds more.
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
        let density = self.settings.classes[class.0].priority_weight / self.usual_latency[class.0];
        let shed_factor = self.value_density.shed_factor(density);
        let failed_members = pending.excluded.len() as u64;
        let exponent = -level * shed_factor * (1 + failed_members) as f64 * shed_weight;
        self.draw(id, failed_members) <= exponent.exp()
    }

    /// Whether the zone's share of the reads includes this one.
    pub(super) fn zone_admits(&self, id: RequestId, zone: u32) -> bool {
        let shares = self.zone_read_shares.as_ref();
        let share = shares.and_then(|shares| shares.get(&zone));
        share.is_none_or(|share| self.draw(id, zone.into()) < *share)
    }

    /// A random number from 0 to 1 that is the request's own for each salt: queueing it does not draw again.
    fn draw(&self, id: RequestId, salt: u64) -> f64 {
        unit_interval(self.settings.seed, salted_hash(salt, &id.0))
    }
}
