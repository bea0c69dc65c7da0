//! Rumours: what changed is passed on a few times by each proxy that learned it, on datagrams that go anyway, within a
//! budget of bytes a second. What the budget has no room for waits, and the newer word on a key takes the place of the
//! older; what is missed all the same comes by anti-entropy.

use crate::entry::{Entry, Key};
use crate::store::Store;
use crate::sync::size;
use crate::Micros;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A budget of bytes that refills with time, a second's worth at most.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    per_second: f64,
    left: f64,
    at: Micros,
}

impl Budget {
    /// A full budget.
    pub fn new(per_second: u64, now: Micros) -> Budget {
        Budget { per_second: per_second as f64, left: per_second as f64, at: now }
    }

    /// What may be spent now.
    pub fn left(&mut self, now: Micros) -> usize {
        let gained = (now - self.at).max(0) as f64 / 1e6 * self.per_second;
        self.left = (self.left + gained).min(self.per_second);
        self.at = self.at.max(now);
        self.left.max(0.0) as usize
    }

    /// Spends.
    pub fn spend(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}

/// The rumours that a proxy still passes on: at most one for each entry held.
#[derive(Clone, Debug)]
pub struct Spread {
    rumours: BTreeMap<Key, u8>,
    budget: Budget,
    /// Bytes of rumours sent.
    pub bytes: u64,
    /// Times that a rumour had to wait since the budget was spent.
    pub waited: u64,
}

/// How often each proxy passes a rumour on where so many are alive: enough that nearly all hear it.
pub fn transmissions(alive: usize) -> u8 {
    (2 + (alive + 1).ilog2()) as u8
}

impl Spread {
    /// No rumours yet.
    pub fn new(per_second: u64, now: Micros) -> Spread {
        Spread { rumours: BTreeMap::new(), budget: Budget::new(per_second, now), bytes: 0, waited: 0 }
    }

    /// Something changed: it is to be passed on.
    pub fn changed(&mut self, key: Key, alive: usize) {
        self.rumours.insert(key, transmissions(alive));
    }

    /// Another proxy had the same already: it needs to be passed on less.
    pub fn known(&mut self, key: &Key) {
        self.told(key);
    }

    fn told(&mut self, key: &Key) {
        if let Some(left) = self.rumours.get_mut(key) {
            *left = left.saturating_sub(1);
            if *left == 0 {
                self.rumours.remove(key);
            }
        }
    }

    /// What rides on a datagram with so much room: what matters most first, then what was passed on least.
    pub fn ride(&mut self, store: &Store, room: usize, now: Micros) -> Vec<(Key, Entry)> {
        if self.rumours.is_empty() {
            return Vec::new();
        }
        let room = room.min(self.budget.left(now));
        let mut order: Vec<(Reverse<u8>, Reverse<u8>, Key)> =
            self.rumours.iter().map(|(key, left)| (Reverse(key.rank()), Reverse(*left), *key)).collect();
        order.sort_unstable();
        let (mut out, mut bytes) = (Vec::new(), 0);
        for (_, _, key) in order {
            let Some(entry) = store.get(&key) else {
                self.rumours.remove(&key);
                continue;
            };
            let needs = size(&key, entry);
            if bytes + needs > room {
                self.waited += 1;
                break;
            }
            bytes += needs;
            out.push((key, *entry));
        }
        out.iter().for_each(|(key, _)| self.told(key));
        self.budget.spend(bytes);
        self.bytes += bytes as u64;
        out
    }

    /// How many rumours wait to be passed on.
    pub fn len(&self) -> usize {
        self.rumours.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }
}
