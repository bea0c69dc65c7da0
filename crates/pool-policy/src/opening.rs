//! The first connection of a proxy.

use fastrand::Rng;
use std::collections::BTreeSet;
use wharfplank_routing::{HostId, Micros};

/// A proxy that just started shows that it reaches members by connecting to one of them; the next is tried after
/// this time. Which one comes first is the proxy's own: proxies that start together must not all knock at one door.
#[derive(Clone, Debug)]
pub struct Opening {
    seed: u64,
    pause: Micros,
    next_at: Micros,
    tried: BTreeSet<HostId>,
}

impl Opening {
    /// Nothing is tried yet. `pause` is how long a connection may take to come up, in microseconds.
    pub fn new(seed: u64, pause: Micros) -> Self {
        Opening { seed, pause: pause.max(1), next_at: 0, tried: BTreeSet::new() }
    }

    /// The member to connect to now, if it is time for one. Once all are tried it begins anew.
    pub fn next(&mut self, now: Micros, members: impl Iterator<Item = HostId>) -> Option<HostId> {
        if now < self.next_at {
            return None;
        }
        let members: Vec<HostId> = members.collect();
        if members.iter().all(|m| self.tried.contains(m)) {
            self.tried.clear();
        }
        let next = members
            .into_iter()
            .filter(|m| !self.tried.contains(m))
            .min_by_key(|m| (Rng::with_seed(self.seed ^ u64::from(m.0)).u64(..), *m))?;
        self.tried.insert(next);
        self.next_at = now + self.pause;
        Some(next)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MEMBERS: u32 = 48;

    fn members() -> impl Iterator<Item = HostId> {
        (0..MEMBERS).map(HostId)
    }

    #[test]
    fn each_is_tried_once_at_the_pause() {
        let mut opening = Opening::new(3, 250_000);
        let mut met = BTreeSet::new();
        for n in 0..Micros::from(MEMBERS) {
            assert!(met.insert(opening.next(n * 250_000, members()).unwrap()));
            assert_eq!(opening.next(n * 250_000 + 249_999, members()), None);
        }
        assert!(opening.next(60_000_000, members()).is_some());
        assert_eq!(Opening::new(3, 1).next(0, std::iter::empty()), None);
    }

    #[test]
    fn proxies_that_start_together_spread() {
        let mut counts = vec![0; MEMBERS as usize];
        for seed in 0..100 {
            let first = Opening::new(seed, 1).next(0, members()).unwrap();
            counts[first.0 as usize] += 1;
        }
        assert!(counts.iter().all(|n| *n <= 10), "{counts:?}");
    }
}
