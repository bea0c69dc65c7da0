//! What the records say, by bins of time.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wharfplank_records::reader::Gap;
pub use wharfplank_records::Micros;
use wharfplank_records::Outcome;

/// A member's state as one proxy saw it at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// When.
    pub at: Micros,
    /// Its group.
    pub group: u64,
    /// Whether the proxy took it for the primary.
    pub primary: bool,
    /// Whether the list had it take work.
    pub active: bool,
    /// The newest position known, and when it was heard; 0 where none was.
    pub position: Micros,
    /// When it was heard.
    pub heard: Micros,
    /// Whether it was suspected.
    pub suspected: bool,
    /// The proxy's requests in flight there.
    pub in_flight: u32,
}

/// Answers of one kind in one bin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// How many.
    pub count: u64,
    /// Their attempts together.
    pub attempts: u64,
    /// Their times together.
    pub took: Micros,
}

impl Count {
    /// Adds one answer.
    pub fn add(&mut self, attempts: u64, took: Micros) {
        self.count += 1;
        self.attempts += attempts;
        self.took += took;
    }
}

/// A read that was refused as too stale.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StaleRead {
    /// When it was refused.
    pub at: Micros,
    /// The proxy.
    pub proxy: String,
    /// Its class.
    pub class: String,
    /// Its group.
    pub group: u64,
    /// The position that it needed.
    pub needed: Micros,
    /// The newest position of a replica that was known.
    pub known: Micros,
}

/// What one proxy's records say.
#[derive(Clone, Debug, Default)]
pub struct Proxy {
    /// Its zone, where it is known.
    pub zone: Option<String>,
    /// Spans in which its process is known to have lived.
    pub alive: Vec<(Micros, Micros)>,
    /// Spans of which its records say nothing, or not all.
    pub gaps: Vec<Gap>,
    /// Answers by bin, class and outcome.
    pub answers: BTreeMap<(Micros, String, Outcome), Count>,
    /// Served answers by bin, member and class.
    pub served: BTreeMap<(Micros, Arc<str>, Arc<str>), Count>,
    /// Refusals, failures and late answers by bin, group and outcome.
    pub troubled: BTreeMap<(Micros, u64, Outcome), u64>,
    /// States of members, in time.
    pub states: BTreeMap<String, Vec<State>>,
    /// What the list told of members: when, and their health.
    pub listed: BTreeMap<String, Vec<(Micros, String)>>,
}

/// What the records of several proxies say.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The span that was asked for.
    pub from: Micros,
    /// Its end.
    pub to: Micros,
    /// The length of a bin.
    pub bin: Micros,
    /// By name.
    pub proxies: BTreeMap<String, Proxy>,
    /// The zones of members, by name.
    pub zones: BTreeMap<String, String>,
    /// Reads refused as too stale; the first of them, see [`Evidence::STALE_MOST`].
    pub stale: Vec<StaleRead>,
    /// All of them.
    pub stale_count: u64,
    /// What could not be read.
    pub problems: Vec<String>,
}

impl Evidence {
    /// Reads refused as too stale that are kept one by one.
    pub const STALE_MOST: usize = 10_000;

    /// The bin of a time.
    pub fn bin_of(&self, at: Micros) -> Micros {
        at - at.rem_euclid(self.bin)
    }

    /// All bins of the span.
    pub fn bins(&self) -> impl Iterator<Item = Micros> {
        let (bin, first, to) = (self.bin, self.bin_of(self.from), self.to);
        (0..).map(move |i| first + i * bin).take_while(move |at| *at <= to)
    }

    /// The names of all members.
    pub fn members(&self) -> BTreeSet<&str> {
        self.proxies.values().flat_map(|p| p.states.keys()).map(String::as_str).collect()
    }

    /// Whether a proxy's records cover a span: it lived all through and nothing was lost.
    pub fn covers(&self, proxy: &Proxy, from: Micros, to: Micros) -> bool {
        proxy.alive.iter().any(|(a, b)| *a <= from + self.bin && to <= *b + self.bin)
            && !proxy.gaps.iter().any(|gap| gap.from < to && from < gap.to)
    }

    /// Proxies whose records cover a span, and all.
    pub fn coverage(&self, from: Micros, to: Micros) -> (usize, usize) {
        (self.proxies.values().filter(|p| self.covers(p, from, to)).count(), self.proxies.len())
    }
}
