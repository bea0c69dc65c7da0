//! The table of facts: bounded, with an end to each.

use crate::{Key, Mark, Micros};
use foldhash::fast::FixedState;
use hashbrown::HashMap;
use quick_cache::unsync::Cache;
use quick_cache::{OptionsBuilder, UnitWeighter};
use serde::{Deserialize, Serialize};

/// A member answered "no row" from a state that holds every commit up to `position`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Up to where it is so.
    pub position: Micros,
    /// When it ends, whatever was proved since.
    pub ends: Micros,
    /// The key, as writes mark it.
    pub mark: Mark,
    /// Which primary its group had, as the caller numbers them: positions of two are not compared.
    pub primary: u32,
    /// What the member answered, by the caller's number: a hash of it, equal on all proxies.
    pub answer: u32,
}

/// A fact as another proxy tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// The statement.
    pub key: Key,
    /// What is known of it.
    pub fact: Fact,
}

type Once = HashMap<Key, Fact, FixedState>;

/// Facts by their statement. What was asked for once waits in two ages of bounded size, the older of which is dropped
/// whole when the younger is full; only what is asked for again comes into the large table. There, a fact gives way by
/// CLOCK-Pro as the `quick_cache` crate has it: one not asked for again goes before one that was.
pub struct Facts {
    often: Cache<Key, Fact, UnitWeighter, FixedState>,
    young: Once,
    old: Once,
    once_most: usize,
}

impl Facts {
    /// An empty table.
    pub fn new(often_most: usize, once_most: usize) -> Facts {
        // Half of the table is for what was asked for again since it came in, which random keys cannot take. Those
        // that gave way are remembered, by hash, as many as the table holds: one asked for again is of that half.
        let options = OptionsBuilder::new()
            .estimated_items_capacity(often_most)
            .weight_capacity(often_most as u64)
            .hot_allocation(0.5)
            .ghost_allocation(1.0)
            .build()
            .expect("both capacities are given");
        let often = Cache::with_options(options, UnitWeighter, FixedState::default(), Default::default());
        Facts { often, young: Once::default(), old: Once::default(), once_most: once_most.max(1) }
    }

    /// A fact that is asked for, to be read and moved. That it was asked for again is counted by this call.
    pub fn ask<T>(&mut self, key: Key, then: impl FnOnce(&mut Fact) -> T) -> Option<T> {
        if let Some(mut fact) = self.often.get_mut(&key) {
            return Some(then(&mut fact));
        }
        let mut fact = self.young.remove(&key).or_else(|| self.old.remove(&key))?;
        let result = then(&mut fact);
        self.often.insert(key, fact);
        Some(result)
    }

    /// Takes a fact in. Of two of one statement the newer position stays, in whatever order they come; of equal ones
    /// one of them. True if it changed what is held.
    pub fn put(&mut self, key: Key, fact: Fact) -> bool {
        let newer = |held: &Fact| {
            (fact.position, fact.primary, fact.answer) > (held.position, held.primary, held.answer)
        };
        if let Some(mut held) = self.often.peek_mut(&key) {
            let newer = newer(&held);
            if newer {
                *held = fact;
            }
            return newer;
        }
        if self.young.get(&key).or_else(|| self.old.get(&key)).is_some_and(|held| !newer(held)) {
            return false;
        }
        if self.young.len() >= self.once_most {
            self.old = std::mem::take(&mut self.young);
        }
        self.old.remove(&key);
        self.young.insert(key, fact);
        true
    }

    /// Lets go of a fact: its key was found, or it has ended.
    pub fn forget(&mut self, key: Key) {
        if self.often.remove(&key).is_none() && self.young.remove(&key).is_none() {
            self.old.remove(&key);
        }
    }

    /// Lets go of all facts that have ended. Its cost grows with the table: not for the loop that serves.
    pub fn sweep(&mut self, now: Micros) {
        self.often.retain(|_, fact| fact.ends > now);
        self.young.retain(|_, fact| fact.ends > now);
        self.old.retain(|_, fact| fact.ends > now);
    }

    /// Facts held: asked for twice, and once.
    pub fn held(&self) -> (usize, usize) {
        (self.often.len(), self.young.len() + self.old.len())
    }
}
