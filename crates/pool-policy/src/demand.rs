//! The uses of a member's connections.

use wharfplank_routing::Micros;

/// The most connections that stand by to one member.
pub const SPARES_MOST: usize = 2;
/// Microseconds over which uses are averaged.
const SPAN: f64 = 5e6;
/// One connection stands by for each use within this span: a spare that waits for longer than that is seldom there
/// when it is needed and is paid for all the same, by every proxy.
const AHEAD: f64 = 0.5e6;

/// How often requests take a connection to one member.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Uses per microsecond, as of `at`.
    rate: f64,
    at: Micros,
}

impl Demand {
    /// A request or a probe takes a connection.
    pub fn used(&mut self, now: Micros) {
        self.rate = self.rate(now) + 1.0 / SPAN;
        self.at = self.at.max(now);
    }

    fn rate(&self, now: Micros) -> f64 {
        self.rate * (-((now - self.at).max(0) as f64) / SPAN).exp()
    }

    /// Connections to keep ready beside those that requests wait for, from 0 to [`SPARES_MOST`].
    pub fn spares(&self, now: Micros) -> usize {
        ((self.rate(now) * AHEAD) as usize).min(SPARES_MOST)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The most spares that are wanted at any time while a member is used at a steady pace for a minute.
    fn most(pause: Micros) -> usize {
        let mut demand = Demand::default();
        let spares = |n: Micros| {
            demand.used(n * pause);
            demand.spares(n * pause)
        };
        (1..=60_000_000 / pause).map(spares).max().unwrap_or(0)
    }

    #[test]
    fn spares_follow_use() {
        // Three proxies before twelve members, and a hundred before sixty.
        assert_eq!(most(140_000), 2);
        assert_eq!(most(3_000_000), 0);
    }

    /// A hundred proxies that send each request to any of sixty members: all spares together stay below what each
    /// member holds for the requests themselves.
    #[test]
    fn a_fleet_that_meets_most_members_seldom_keeps_no_spares() {
        let (proxies, members) = (100_u64, 60_u64);
        let mut demands = vec![Demand::default(); (proxies * members) as usize];
        let mut state = 7_u64;
        for request in 0..14_000 {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            demands[((state >> 33) % (proxies * members)) as usize].used(request * 700);
        }
        let spares: usize = demands.iter().map(|d| d.spares(14_000 * 700)).sum();
        assert!(spares < 60, "{spares} spares for {members} members");
    }
}
