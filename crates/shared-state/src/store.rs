//! The table of what is held: bounded, with an end for each entry, and a digest that is kept up with each change.

use crate::clock::AHEAD_MOST;
use crate::entry::{Entry, Key, RANK_MOST};
use crate::{Micros, LEAVES};
use std::collections::{BTreeMap, BTreeSet};

/// Entries held at most. A new one past it takes the place of the one longest not vouched for among the least in rank,
/// if that is less in rank, or as much and older; else it is dropped. Both are counted.
pub const ENTRIES_MOST: usize = 16_384;

/// What became of an entry that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It changed what is held.
    Taken,
    /// It was held already, or something newer.
    Known,
    /// It is past its life, or from further ahead than clocks differ, or no entry at all.
    Refused,
    /// There was no room.
    Full,
}

/// The table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Store {
    entries: BTreeMap<Key, Entry>,
    /// By rank and age: what ends and what gives way first.
    ages: BTreeSet<(u8, Micros, Key)>,
    /// The digest of each leaf, and its keys.
    leaves: Vec<u64>,
    keys: Vec<BTreeSet<Key>>,
    most: usize,
    /// Entries refused for their age, their stamp or their kind.
    pub refused: u64,
    /// Entries dropped for want of room, old or new.
    pub dropped: u64,
}

impl Default for Store {
    fn default() -> Self {
        Store::bounded(ENTRIES_MOST)
    }
}

impl Store {
    /// An empty table of at most so many entries.
    pub fn bounded(most: usize) -> Store {
        let (entries, ages, keys) = (BTreeMap::new(), BTreeSet::new(), vec![BTreeSet::new(); LEAVES]);
        Store { entries, ages, leaves: vec![0; LEAVES], keys, most: most.max(1), refused: 0, dropped: 0 }
    }

    /// Merges an entry in, by its rule.
    pub fn offer(&mut self, key: Key, entry: &Entry, now: Micros) -> Offer {
        let old = now - entry.wall() > key.life();
        let ahead = entry.wall() > now.saturating_add(AHEAD_MOST);
        if old || ahead || !key.fits(&entry.value()) {
            self.refused += 1;
            return Offer::Refused;
        }
        match self.entries.get(&key) {
            Some(held) => {
                let mut merged = *held;
                if !merged.join(entry) {
                    return Offer::Known;
                }
                self.remove(&key);
                self.insert(key, merged);
            }
            None => {
                if self.entries.len() >= self.most && !self.make_room(&key, entry.wall()) {
                    return Offer::Full;
                }
                self.insert(key, *entry);
            }
        }
        Offer::Taken
    }

    /// The older of the same rank gives way, so that what has gone is not taken back in place of what is newer.
    fn make_room(&mut self, key: &Key, wall: Micros) -> bool {
        self.dropped += 1;
        let less = |(rank, at, _): &(u8, Micros, Key)| (*rank, *at) < (key.rank(), wall);
        let first = self.ages.first().copied().filter(less);
        if let Some((_, _, least)) = first {
            self.remove(&least);
        }
        first.is_some()
    }

    fn insert(&mut self, key: Key, entry: Entry) {
        let leaf = key.leaf();
        self.leaves[leaf] ^= entry.hash(&key);
        self.keys[leaf].insert(key);
        self.ages.insert((key.rank(), entry.wall(), key));
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            let leaf = key.leaf();
            self.leaves[leaf] ^= entry.hash(key);
            self.keys[leaf].remove(key);
            self.ages.remove(&(key.rank(), entry.wall(), *key));
        }
    }

    /// Ends what is past its life.
    pub fn expire(&mut self, now: Micros) {
        for rank in 0..=RANK_MOST {
            let over = |age: &&(u8, Micros, Key)| age.0 == rank && now - age.1 > age.2.life();
            let from = self.ages.range((rank, Micros::MIN, Key::Position(0))..);
            let ended: Vec<Key> = from.take_while(over).map(|age| age.2).collect();
            ended.iter().for_each(|key| self.remove(key));
        }
    }

    /// What is held of a key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// All that is held.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.iter()
    }

    /// All that is held from a key on, in the order of keys.
    pub fn from(&self, key: Key) -> impl Iterator<Item = (&Key, &Entry)> {
        self.entries.range(key..)
    }

    /// What is held of a leaf from a key on, in the order of keys.
    pub fn leaf(&self, leaf: usize, from: Option<Key>) -> impl Iterator<Item = (&Key, &Entry)> {
        let keys = self
            .keys
            .get(leaf)
            .into_iter()
            .flat_map(move |keys| keys.range(from.unwrap_or(Key::Position(0))..));
        keys.filter_map(|key| self.entries.get_key_value(key))
    }

    /// The digests of the leaves: equal where the same is held.
    pub fn leaves(&self) -> &[u64] {
        &self.leaves
    }

    /// One digest of all.
    pub fn digest(&self) -> u64 {
        self.leaves.iter().fold(0, |all, leaf| (all ^ leaf).wrapping_mul(0x100_0000_01b3).rotate_left(7))
    }

    /// How many entries are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::entry::{Doubt, Value};

    fn position(member: u64, at: Micros, wall: Micros) -> (Key, Entry) {
        (Key::Position(member), Entry::new(Value::Position { epoch: 1, at }, wall))
    }

    #[test]
    fn what_is_held_is_bounded_and_writes_in_doubt_do_not_give_way_to_positions() {
        let mut store = Store::bounded(4);
        for id in 0..4 {
            let doubt = Entry::new(Value::Doubt(Doubt::Open), 10);
            assert_eq!(store.offer(Key::Doubt(id), &doubt, 10), Offer::Taken);
        }
        let (key, entry) = position(1, 5, 10);
        assert_eq!(store.offer(key, &entry, 10), Offer::Full, "a position took a doubt's place");
        let mut store = Store::bounded(4);
        for member in 0..100 {
            let (key, entry) = position(member, 5, 10 + member as Micros);
            store.offer(key, &entry, 10);
        }
        assert_eq!((store.len(), store.dropped), (4, 96));
        assert!(store.get(&Key::Position(99)).is_some(), "the oldest should have gone");
        assert_eq!(store.offer(Key::Doubt(1), &Entry::new(Value::Doubt(Doubt::Open), 10), 10), Offer::Taken);
    }

    #[test]
    fn what_is_past_its_life_ends_and_is_not_taken_back() {
        let mut store = Store::default();
        let empty = store.digest();
        let (key, entry) = position(1, 5, 0);
        store.offer(key, &entry, 0);
        assert_ne!(store.digest(), empty);
        store.expire(key.life());
        assert_eq!(store.len(), 1);
        store.expire(key.life() + 1);
        assert_eq!((store.len(), store.digest()), (0, empty));
        assert_eq!(store.offer(key, &entry, key.life() + 1), Offer::Refused);
        let ahead = Entry::new(Value::Position { epoch: 1, at: 5 }, AHEAD_MOST + 1);
        assert_eq!(store.offer(key, &ahead, 0), Offer::Refused, "from further ahead than clocks differ");
        let kind = Entry::new(Value::Count(1), 0);
        assert_eq!(store.offer(key, &kind, 0), Offer::Refused, "a count is no position");
        assert_eq!(store.refused, 3);
    }
}
