//! The true history of the database, and the distribution of keys.

use rand::{rngs::SmallRng, Rng};
use std::collections::BTreeMap;
use wharfplank_negative_cache::Micros;

/// Every commit of one group, stamped by the clock of its primary.
pub struct History {
    clock_offset: Micros,
    last_commit: Micros,
    pub primary: u32,
    /// For each key and commit, whether the key had a row from that commit on.
    keys: BTreeMap<u64, BTreeMap<Micros, bool>>,
}

impl History {
    pub fn new(clock_offset: Micros) -> History {
        History { clock_offset, last_commit: 0, primary: 1, keys: BTreeMap::new() }
    }

    /// Returns the time by the clock of the primary.
    pub fn clock(&self, now: Micros) -> Micros {
        now + self.clock_offset
    }

    /// Commits a write that inserts the key if it is missing and deletes it if it is present. Returns the
    /// position of the commit.
    pub fn toggle(&mut self, key: u64, now: Micros) -> Micros {
        self.last_commit = self.clock(now).max(self.last_commit + 1);
        let was_present = self.is_present(key, Micros::MAX);
        self.keys.entry(key).or_default().insert(self.last_commit, !was_present);
        self.last_commit
    }

    /// Returns whether the key has a row in the state that contains every commit up to `position`.
    pub fn is_present(&self, key: u64, position: Micros) -> bool {
        self.keys
            .get(&key)
            .and_then(|versions| versions.range(..=position).next_back())
            .is_some_and(|(_, present)| *present)
    }

    /// Returns whether the key had no row at `position` or at some later position up to `now`.
    pub fn is_absent_between(&self, key: u64, position: Micros, now: Micros) -> bool {
        !self.is_present(key, position)
            || self.keys[&key]
                .range(position + 1..=self.clock(now).max(position + 1))
                .any(|(_, present)| !present)
    }

    /// Makes another member the primary. The commits of the last `lost_span` are lost with the old primary.
    pub fn fail_over(&mut self, now: Micros, lost_span: Micros) {
        self.primary += 1;
        let from = self.clock(now) - lost_span;
        self.keys.values_mut().for_each(|versions| versions.retain(|at, _| *at <= from));
    }
}

/// A Zipf distribution of keys with exponent 1.
pub struct Zipf {
    cumulative_weights: Vec<f64>,
}

impl Zipf {
    pub fn new(keys: usize) -> Zipf {
        let mut sum = 0.0;
        let cumulative_weights = (1..=keys).map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        });
        Zipf { cumulative_weights: cumulative_weights.collect() }
    }

    pub fn sample(&self, rng: &mut SmallRng) -> u64 {
        let point = rng.random_range(0.0..self.cumulative_weights[self.cumulative_weights.len() - 1]);
        self.cumulative_weights.partition_point(|sum| *sum <= point) as u64
    }
}
