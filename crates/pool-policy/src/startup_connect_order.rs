//! The order in which a starting proxy connects to members.

use fastrand::Rng;
use std::collections::BTreeSet;
use wharfplank_routing::{HostId, Micros};

/// Chooses which member a starting proxy connects to first, to show that it reaches one; where that fails, the next is
/// tried after the connect timeout.
///
/// The order is a permutation that the seed determines: proxies that start together must not all connect to the same
/// member.
#[derive(Clone, Debug)]
pub struct StartupConnectOrder {
    seed: u64,
    connect_timeout: Micros,
    next_attempt_at: Micros,
    tried: BTreeSet<HostId>,
}

impl StartupConnectOrder {
    /// Creates an order of which no member has been tried. `connect_timeout` is how long a connection may take to come
    /// up, in microseconds.
    pub fn new(seed: u64, connect_timeout: Micros) -> Self {
        StartupConnectOrder {
            seed,
            connect_timeout: connect_timeout.max(1),
            next_attempt_at: 0,
            tried: BTreeSet::new(),
        }
    }

    /// The member to connect to at `now`, out of `members`; `None` before the last one's connect timeout has passed.
    /// Once all members have been tried the order starts over.
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

    /// The member's random place in the order.
    fn rank(&self, member: HostId) -> u64 {
        Rng::with_seed(self.seed ^ u64::from(member.0)).u64(..)
    }
}
