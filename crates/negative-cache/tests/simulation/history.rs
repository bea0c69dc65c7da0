//! The true history of the database, and how keys are drawn.

use rand::{rngs::SmallRng, Rng};
use std::collections::BTreeMap;
use wharfplank_negative_cache::Micros;

/// Every commit of one group, stamped by its primary's clock.
pub struct History {
    off: Micros,
    last: Micros,
    pub primary: u32,
    /// Whether the key had a row from then on.
    keys: BTreeMap<u64, BTreeMap<Micros, bool>>,
}

impl History {
    pub fn new(off: Micros) -> History {
        History { off, last: 0, primary: 1, keys: BTreeMap::new() }
    }

    /// The primary's clock.
    pub fn clock(&self, now: Micros) -> Micros {
        now + self.off
    }

    /// A write makes a missing key present, or takes a present one away. Returns the commit.
    pub fn toggle(&mut self, key: u64, now: Micros) -> Micros {
        self.last = self.clock(now).max(self.last + 1);
        let was = self.present(key, Micros::MAX);
        self.keys.entry(key).or_default().insert(self.last, !was);
        self.last
    }

    /// Whether the key has a row in the state that holds every commit up to there.
    pub fn present(&self, key: u64, position: Micros) -> bool {
        self.keys
            .get(&key)
            .and_then(|k| k.range(..=position).next_back())
            .is_some_and(|(_, present)| *present)
    }

    /// Whether the key had no row at that position, or at any after it until now.
    pub fn absent_since(&self, key: u64, position: Micros, now: Micros) -> bool {
        !self.present(key, position)
            || self.keys[&key]
                .range(position + 1..=self.clock(now).max(position + 1))
                .any(|(_, present)| !present)
    }

    /// Another member is primary, and commits of the last span are lost with the old one.
    pub fn fail_over(&mut self, now: Micros, lost: Micros) {
        self.primary += 1;
        let from = self.clock(now) - lost;
        self.keys.values_mut().for_each(|k| k.retain(|at, _| *at <= from));
    }
}

/// Keys by Zipf's law with exponent 1.
pub struct Zipf {
    sums: Vec<f64>,
}

impl Zipf {
    pub fn new(keys: usize) -> Zipf {
        let mut sum = 0.0;
        let sums = (1..=keys).map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        });
        Zipf { sums: sums.collect() }
    }

    pub fn draw(&self, rng: &mut SmallRng) -> u64 {
        let at = rng.random_range(0.0..self.sums[self.sums.len() - 1]);
        self.sums.partition_point(|sum| *sum <= at) as u64
    }
}
