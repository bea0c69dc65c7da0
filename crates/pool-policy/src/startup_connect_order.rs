//! The order in which a starting proxy connects to members.

use fastrand::Rng;
use std::collections::BTreeSet;
use wharfplank_routing::{HostId, Micros};

/// Chooses the member that a starting proxy connects to first, to verify that it can reach one. If that
/// fails, it tries the next one after the connect timeout.
///
/// The order is a permutation determined by the seed, so that proxies that start together do not all connect
/// to the same member.
#[derive(Clone, Debug)]
pub struct StartupConnectOrder {
    seed: u64,
    connect_timeout: Micros,
    next_attempt_at: Micros,
    tried: BTreeSet<HostId>,
}

impl StartupConnectOrder {
    /// Creates an order in which no member has been tried. `connect_timeout` is the time limit for opening a
    /// connection, in microseconds.
    pub fn new(seed: u64, connect_timeout: Micros) -> Self {
        StartupConnectOrder {
            seed,
            connect_timeout: connect_timeout.max(1),
            next_attempt_at: 0,
            tried: BTreeSet::new(),
        }
    }

    /// Returns which of `members` to connect to at `now`, or `None` until the connect timeout of the last
    /// attempt has passed. Once all members have been tried, the order starts over.
    pub fn next_member(&mut self, now: Micros, members: impl Iterator<Item = HostId>) -> Option<HostId> {
        if now < self.next_attempt_at {
            return None;
        }
        let members: Vec<HostId> = members.collect();
        if members.iter().all(|member| self.tried.contains(member)) {
            self.tried.clear();
        }
        let untried = members.into_iter().filter(|member| !self.tried.contains(member));
        let next = untried.min_by_key(|member| (self.rank(*member), *member))?;
        self.tried.insert(next);
        self.next_attempt_at = now + self.connect_timeout;
        Some(next)
    }

    /// Returns the member's pseudorandom rank in the order.
    fn rank(&self, member: HostId) -> u64 {
        Rng::with_seed(self.seed ^ u64::from(member.0)).u64(..)
    }
}
