//! The rate at which connections to one member are used, and the resulting number of spare connections.

use wharfplank_routing::Micros;

/// The maximum number of spare connections to one member.
pub const MAX_SPARE_CONNECTIONS: usize = 2;

/// The time constant of the moving average of uses, in microseconds.
const AVERAGING_TIME: f64 = 5e6;

/// One spare connection is kept for each use expected within this time, in microseconds. A spare connection
/// that is used less often seldom helps, but still occupies a slot at the member for each proxy.
const LOOKAHEAD: f64 = 0.5e6;

/// A moving average of the rate at which requests and health checks take a connection to one member.
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

    /// Returns the number of spare connections to keep at `now` in addition to those that requests are queued
    /// for: at most [`MAX_SPARE_CONNECTIONS`].
    pub fn spare_connections(&self, now: Micros) -> usize {
        let expected_uses = self.rate_at(now) * LOOKAHEAD;
        (expected_uses as usize).min(MAX_SPARE_CONNECTIONS)
    }

    fn rate_at(&self, now: Micros) -> f64 {
        let elapsed = (now - self.updated_at).max(0) as f64;
        self.rate * (-elapsed / AVERAGING_TIME).exp()
    }
}
