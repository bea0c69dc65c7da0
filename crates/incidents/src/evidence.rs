//! The evidence: what the records of several proxies show, by bins of time.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::AddAssign;
use std::sync::Arc;
use wharfplank_records::reader::Gap;
pub use wharfplank_records::Micros;
use wharfplank_records::Outcome;

/// A member as one proxy observed it at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberObservation {
    /// The time at which the observation was recorded.
    pub at: Micros,
    /// The member's group.
    pub group: u64,
    /// Whether the proxy took the member for the primary.
    pub primary: bool,
    /// Whether the member accepted requests according to the endpoint list.
    pub active: bool,
    /// The newest known log position; 0 if none is known.
    pub position: Micros,
    /// The time at which the position was seen; 0 if none is known.
    pub position_seen_at: Micros,
    /// Whether the proxy suspected the member of being down.
    pub suspected: bool,
    /// The proxy's requests in flight at the member.
    pub in_flight: u32,
}

/// The health that the endpoint list gave a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHealth {
    /// The time at which the proxy received it.
    pub at: Micros,
    /// The health, as listed.
    pub health: String,
}

/// Sums over answers of one kind in one bin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AnswerSums {
    /// The number of answers.
    pub count: u64,
    /// The attempts of all answers.
    pub attempts: u64,
    /// The latencies of all answers, in µs.
    pub took: Micros,
}

impl AnswerSums {
    /// Adds one answer.
    pub fn add(&mut self, attempts: u64, took: Micros) {
        *self += AnswerSums { count: 1, attempts, took };
    }
}

impl AddAssign for AnswerSums {
    fn add_assign(&mut self, other: AnswerSums) {
        self.count += other.count;
        self.attempts += other.attempts;
        self.took += other.took;
    }
}

/// A read that was rejected as too stale. The serialised field names belong to the JSON report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StaleRead {
    /// The time at which the read was rejected.
    pub at: Micros,
    /// The proxy.
    pub proxy: String,
    /// The request's class.
    pub class: String,
    /// The group that was to be read.
    pub group: u64,
    /// The log position that the read needed.
    pub needed: Micros,
    /// The newest known position of a replica.
    pub known: Micros,
}

/// The evidence in one proxy's records.
#[derive(Clone, Debug, Default)]
pub struct ProxyEvidence {
    /// The proxy's zone, where it is known.
    pub zone: Option<String>,
    /// Spans, from and to, in which the proxy's process is known to have been alive.
    pub alive: Vec<(Micros, Micros)>,
    /// Spans whose records are missing or incomplete.
    pub gaps: Vec<Gap>,
    /// Answers by bin, class and outcome.
    pub answers: BTreeMap<(Micros, String, Outcome), AnswerSums>,
    /// Answers that a member gave, by the bin of their request, member and class.
    pub served: BTreeMap<(Micros, Arc<str>, Arc<str>), AnswerSums>,
    /// Numbers of rejections, failures and late answers, by bin, group and outcome.
    pub not_served: BTreeMap<(Micros, u64, Outcome), u64>,
    /// Observations of each member, ordered by time.
    pub observations: BTreeMap<String, Vec<MemberObservation>>,
    /// The health of each member in the endpoint list, ordered by time.
    pub listed_health: BTreeMap<String, Vec<ListedHealth>>,
}

/// The number of proxies whose records cover a span, and of all proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// The number of proxies whose records cover the span.
    pub covering: usize,
    /// The number of all proxies.
    pub proxies: usize,
}

/// The evidence in the records of several proxies.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// The start of the span that was requested, in µs of Unix time.
    pub from: Micros,
    /// The end of the span that was requested.
    pub to: Micros,
    /// The length of a bin, in µs.
    pub bin: Micros,
    /// The evidence of each proxy, by the proxy's name.
    pub proxies: BTreeMap<String, ProxyEvidence>,
    /// The zones of members, by the member's name.
    pub zones: BTreeMap<String, String>,
    /// The first reads that were rejected as too stale, at most [`Evidence::MAX_STALE_READS`].
    pub stale_reads: Vec<StaleRead>,
    /// The number of all reads that were rejected as too stale.
    pub stale_read_count: u64,
    /// Records that could not be read or are missing, described in sentences for people.
    pub problems: Vec<String>,
}

impl Evidence {
    /// The bound on [`Evidence::stale_reads`].
    pub const MAX_STALE_READS: usize = 10_000;

    /// Returns the start of the bin that contains a time.
    pub fn bin_of(&self, at: Micros) -> Micros {
        at - at.rem_euclid(self.bin)
    }

    /// Returns the starts of all bins of the span.
    pub fn bins(&self) -> impl Iterator<Item = Micros> {
        let bin = self.bin;
        let first = self.bin_of(self.from);
        let to = self.to;
        (0..).map(move |i| first + i * bin).take_while(move |at| *at <= to)
    }

    /// Returns the names of all members that any proxy observed.
    pub fn members(&self) -> BTreeSet<&str> {
        let names = self.proxies.values().flat_map(|proxy| proxy.observations.keys());
        names.map(String::as_str).collect()
    }

    /// Returns all proxies' observations of a member, proxy by proxy.
    pub fn observations_of<'a>(&'a self, member: &'a str) -> impl Iterator<Item = &'a MemberObservation> {
        self.proxies.values().filter_map(move |proxy| proxy.observations.get(member)).flatten()
    }

    /// Returns whether a proxy's records cover a span: its process was alive throughout and no records are
    /// missing.
    pub fn covers(&self, proxy: &ProxyEvidence, from: Micros, to: Micros) -> bool {
        let is_alive = |(start, end): &(Micros, Micros)| *start <= from + self.bin && to <= *end + self.bin;
        let overlaps = |gap: &Gap| gap.from < to && from < gap.to;
        proxy.alive.iter().any(is_alive) && !proxy.gaps.iter().any(overlaps)
    }

    /// Returns the number of proxies whose records cover a span, and of all proxies.
    pub fn coverage(&self, from: Micros, to: Micros) -> Coverage {
        let covering = self.proxies.values().filter(|proxy| self.covers(proxy, from, to)).count();
        Coverage { covering, proxies: self.proxies.len() }
    }
}
