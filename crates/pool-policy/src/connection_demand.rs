//! How often the connections to one member are used, and how many spare ones that justifies.

use wharfplank_routing::Micros;

/// The most spare connections that are kept ready to one member.
pub const MAX_SPARE_CONNECTIONS: usize = 2;

/// The time constant of the moving average of uses, in microseconds.
const AVERAGING_TIME: f64 = 5e6;

/// One spare connection is kept for each use that is expected within this time, in microseconds. A spare that waits
/// longer is seldom there when it is needed, and every proxy pays for it all the same.
const LOOKAHEAD: f64 = 0.5e6;

/// A moving average of how often requests and health checks take a connection to one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionDemand {
    /// Uses per microsecond at `updated_at`.
    rate: f64,
    updated_at: Micros,
}

impl ConnectionDemand {
    /// Records that a request or a health check takes a connection at `now`.
    pub fn record_use(&mut self, now: Micros) {
        self.rate = self.rate_at(now) + 1.0 / AVERAGING_TIME;
        self.updated_at = self.updated_at.max(now);
    }

    /// The number of connections to keep ready at `now` beside those that requests are queued for: at most
    /// [`MAX_SPARE_CONNECTIONS`].
    pub fn spare_connections(&self, now: Micros) -> usize {
        let expected_uses = self.rate_at(now) * LOOKAHEAD;
        (expected_uses as usize).min(MAX_SPARE_CONNECTIONS)
    }

    fn rate_at(&self, now: Micros) -> f64 {
        let elapsed = (now - self.updated_at).max(0) as f64;
        self.rate * (-elapsed / AVERAGING_TIME).exp()
    }
}
