//! Leader election: the proxy with the lowest rank among those heard from recently leads. Two leaders at
//! the same time, in a network partition or after a pause, do no harm: a member follows an order only
//! once, even if both send it.

use crate::Micros;
use std::collections::BTreeMap;

/// The number of proxies that are remembered. Beyond that, those with the highest ranks are dropped,
/// since they would lead last.
const MAX_PROXIES: usize = 1024;
/// A placeholder below every proxy's rank. It stands for a proxy with a lower rank that may exist but has
/// not been heard from yet.
const UNKNOWN_PEER: u64 = 0;

/// One proxy's view of which proxy leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderElection {
    rank: u64,
    timeout: Micros,
    last_heard: BTreeMap<u64, Micros>,
    last_check_at: Micros,
}

impl LeaderElection {
    /// Creates the view of a proxy that has not heard from any other. It can lead only after the others
    /// had time to be heard from.
    pub fn new(rank: u64, timeout: Micros, now: Micros) -> LeaderElection {
        LeaderElection {
            rank,
            timeout,
            last_heard: BTreeMap::from([(UNKNOWN_PEER, now)]),
            last_check_at: now,
        }
    }

    /// Records that another proxy was heard from.
    pub fn on_heartbeat(&mut self, now: Micros, rank: u64) {
        self.last_heard.insert(rank, now);
        while self.last_heard.len() > MAX_PROXIES {
            self.last_heard.pop_last();
        }
    }

    /// Returns whether this proxy leads now. It has to be called often: after a pause of at least the
    /// timeout, the proxy waits for the others as if it had just started.
    pub fn check_leadership(&mut self, now: Micros) -> bool {
        let last_check_at = std::mem::replace(&mut self.last_check_at, now);
        if now - last_check_at >= self.timeout {
            self.last_heard = BTreeMap::from([(UNKNOWN_PEER, now)]);
        }
        self.last_heard.retain(|_, at| now - *at < self.timeout);
        self.last_heard.keys().next().is_none_or(|lowest| self.rank < *lowest)
    }
}
