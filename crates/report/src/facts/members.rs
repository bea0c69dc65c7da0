//! The facts of each member, by bin.

use serde::Serialize;
use wharfplank_incidents::evidence::MemberObservation;
use wharfplank_incidents::{Evidence, Micros};

/// Positions that were seen longer ago than this are not used for the replication lag.
const MAX_POSITION_AGE: Micros = 4_000_000;
/// µs in a millisecond.
const MILLISECOND: Micros = 1_000;

/// The facts of a member; the series have an element for each bin.
#[derive(Debug, Serialize)]
pub struct MemberFacts {
    /// The member's name.
    pub name: String,
    /// The member's group.
    pub group: u64,
    /// The member's zone, where it is known.
    pub zone: Option<String>,
    /// The replication lag, in ms, when a proxy last saw the member's position; absent if no proxy saw it
    /// recently.
    #[serde(rename = "behind_ms")]
    pub lag_ms: Vec<Option<i64>>,
    /// Whether most proxies that observed the member considered it the primary; absent if none observed it.
    pub primary: Vec<Option<bool>>,
    /// The number of proxies that suspected the member.
    pub suspected: Vec<u32>,
    /// Requests of all proxies in flight at the member, as last observed; absent if no proxy observed it.
    pub in_flight: Vec<Option<u32>>,
}

/// The observations of one member by all proxies in one bin.
#[derive(Clone, Default)]
struct MemberBin {
    observations: u32,
    as_primary: u32,
    suspected: u32,
    in_flight: u32,
    newest_lag: Option<Lag>,
}

/// The replication lag at the time when a position was seen.
#[derive(Clone, Copy)]
struct Lag {
    seen_at: Micros,
    lag_ms: i64,
}

impl MemberBin {
    fn add(&mut self, observation: &MemberObservation) {
        self.observations += 1;
        self.as_primary += u32::from(observation.primary);
        self.suspected += u32::from(observation.suspected);
        self.in_flight += observation.in_flight;
        if let Some(lag) = current_lag(observation) {
            if self.newest_lag.is_none_or(|newest| lag.seen_at > newest.seen_at) {
                self.newest_lag = Some(lag);
            }
        }
    }

    fn is_observed(&self) -> bool {
        self.observations > 0
    }

    fn lag_ms(&self) -> Option<i64> {
        self.newest_lag.map(|lag| lag.lag_ms.max(0))
    }

    fn is_primary(&self) -> Option<bool> {
        self.is_observed().then_some(self.as_primary * 2 > self.observations)
    }

    fn in_flight(&self) -> Option<u32> {
        self.is_observed().then_some(self.in_flight)
    }
}

/// Returns the lag that an observation shows, unless the position is unknown or old.
fn current_lag(observation: &MemberObservation) -> Option<Lag> {
    let seen_at = observation.position_seen_at;
    let is_current = seen_at > 0 && observation.at - seen_at <= MAX_POSITION_AGE;
    is_current.then(|| Lag { seen_at, lag_ms: (seen_at - observation.position) / MILLISECOND })
}

/// Returns the facts of all members, by name.
pub(super) fn member_facts(evidence: &Evidence) -> Vec<MemberFacts> {
    evidence.members().into_iter().map(|name| facts_of(evidence, name)).collect()
}

fn facts_of(evidence: &Evidence, name: &str) -> MemberFacts {
    let mut bins = vec![MemberBin::default(); evidence.bins().count()];
    let mut group = 0;
    for observation in evidence.observations_of(name) {
        group = observation.group;
        if let Some(bin) = bin_index(evidence, observation.at).and_then(|index| bins.get_mut(index)) {
            bin.add(observation);
        }
    }
    MemberFacts {
        name: name.to_string(),
        group,
        zone: evidence.zones.get(name).cloned(),
        lag_ms: bins.iter().map(MemberBin::lag_ms).collect(),
        primary: bins.iter().map(MemberBin::is_primary).collect(),
        suspected: bins.iter().map(|bin| bin.suspected).collect(),
        in_flight: bins.iter().map(MemberBin::in_flight).collect(),
    }
}

/// Returns the index of the bin that contains a time, unless the time is before the span.
fn bin_index(evidence: &Evidence, at: Micros) -> Option<usize> {
    let since_first_bin = at - evidence.bin_of(evidence.from);
    usize::try_from(since_first_bin / evidence.bin).ok()
}
