//! Leader election: the proxy with the least rank among those heard from lately leads. Two that lead at once, in a
//! network partition or after a pause, do no harm: they order twice what is followed once.

use crate::Micros;
use std::collections::BTreeMap;

/// The number of proxies that are remembered; past that those with the greatest ranks are dropped, which lead last.
const MAX_PROXIES: usize = 1024;
/// Below every proxy's rank: stands for a proxy of lesser rank that may exist and was not heard from yet.
const UNKNOWN_PEER: u64 = 0;

/// One proxy's view of who leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderElection {
    rank: u64,
    timeout: Micros,
    last_heard: BTreeMap<u64, Micros>,
    last_check_at: Micros,
}

impl LeaderElection {
    /// Creates the view of a proxy that has heard from nobody. It leads once the others had time to be heard from.
    pub fn new(rank: u64, timeout: Micros, now: Micros) -> LeaderElection {
        LeaderElection {
            rank,
            timeout,
            last_heard: BTreeMap::from([(UNKNOWN_PEER, now)]),
            last_check_at: now,
        }
    }

    /// Notes that another proxy was heard from.
    pub fn on_heartbeat(&mut self, now: Micros, rank: u64) {
        self.last_heard.insert(rank, now);
        while self.last_heard.len() > MAX_PROXIES {
            self.last_heard.pop_last();
        }
    }

    /// Checks whether this proxy leads now; called often. One that stood still waits for the others as if it had just
    /// started.
    pub fn check_leadership(&mut self, now: Micros) -> bool {
        let last_check_at = std::mem::replace(&mut self.last_check_at, now);
        if now - last_check_at >= self.timeout {
            self.last_heard = BTreeMap::from([(UNKNOWN_PEER, now)]);
        }
        self.last_heard.retain(|_, at| now - *at < self.timeout);
        self.last_heard.keys().next().is_none_or(|least| self.rank < *least)
    }
}
