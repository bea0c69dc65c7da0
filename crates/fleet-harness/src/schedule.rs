//! Schedules of the faults of a run. A schedule is generated for a scenario from a seed, written to a file,
//! and read back to replay the run exactly.

use crate::fault_plan::{generate, FaultPlan};
pub use crate::scenario::{Fault, Scenario};
use serde::{Deserialize, Serialize};

/// The zones of the stand-in members, as the lab crate names them.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// The maximum number of proxies of a run. Every run is bounded in proxies and time.
pub const MAX_PROXIES: usize = 200;
/// The maximum duration of a run in seconds.
pub const MAX_SECONDS: u64 = 600;
const MIN_PROXIES: usize = 3;
const GROUPS: usize = 3;
/// The load for each proxy, in requests per second.
const RATE_PER_PROXY: u64 = 40;
/// The maximum load in requests per second, which the stand-in members serve with capacity to spare.
const MAX_RATE: u64 = 400;
/// The clock offsets in [`Scenario::Skew`] in milliseconds, assigned to the proxies in turn.
const SKEWS_MS: [i64; 3] = [0, 500, -500];
/// The byte rate for replicated state in [`Scenario::Burst`].
const BURST_REPLICA_BYTES: u64 = 1024;

/// An error that makes a schedule unusable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScheduleError {
    /// The text is not the JSON form of a schedule.
    #[error("malformed schedule: {0}")]
    Malformed(String),
    /// The schedule has too few or too many proxies, or takes too long.
    #[error("a schedule must have {MIN_PROXIES} to {MAX_PROXIES} proxies and last {MAX_SECONDS} s at most")]
    TooLarge,
    /// A fault names a proxy or zone that the run does not have, or a fraction outside 0 to 1.
    #[error("a fault names a proxy or zone that the run does not have, or a fraction outside 0 to 1")]
    UnknownTarget,
}

/// The size, the load and the faults of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The number of proxies.
    pub proxies: usize,
    /// The duration of the load in seconds.
    pub seconds: u64,
    /// The load on all proxies together, in requests per second.
    pub rate: u64,
    /// The number of groups, with four members each.
    pub groups: usize,
    /// Whether the proxies exchange gossip; if not, each decides alone.
    pub peers: bool,
    /// The faults.
    pub faults: Vec<Fault>,
    /// The offset of each proxy's gossip clock; zero for proxies beyond the end of the list.
    #[serde(default)]
    pub skew_ms: Vec<i64>,
    /// The byte rate at which a proxy may send replicated state.
    #[serde(default = "replica_bytes")]
    pub replica_bytes: u64,
    /// Whether killed proxies restart from a snapshot that is an hour old.
    #[serde(default)]
    pub old_snapshot: bool,
}

fn replica_bytes() -> u64 {
    16_384
}

impl Schedule {
    /// Generates a run of a scenario from a seed.
    pub fn from_seed(scenario: Scenario, proxies: usize, seed: u64, peers: bool) -> Schedule {
        let proxies = proxies.clamp(MIN_PROXIES, MAX_PROXIES);
        let FaultPlan { seconds, faults } = generate(scenario, proxies, GROUPS, seed);
        let skews = (0..proxies).map(|proxy| SKEWS_MS[proxy % SKEWS_MS.len()]);
        Schedule {
            scenario,
            seed,
            proxies,
            seconds,
            rate: (RATE_PER_PROXY * proxies as u64).min(MAX_RATE),
            groups: GROUPS,
            peers,
            faults,
            skew_ms: if scenario == Scenario::Skew { skews.collect() } else { Vec::new() },
            replica_bytes: if scenario == Scenario::Burst { BURST_REPLICA_BYTES } else { replica_bytes() },
            old_snapshot: scenario == Scenario::OldSnapshot,
        }
    }

    /// Parses a schedule that a run wrote, with the same bounds as a generated one.
    pub fn read(text: &str) -> Result<Schedule, ScheduleError> {
        let schedule: Schedule =
            serde_json::from_str(text).map_err(|error| ScheduleError::Malformed(error.to_string()))?;
        if !(MIN_PROXIES..=MAX_PROXIES).contains(&schedule.proxies) || schedule.seconds > MAX_SECONDS {
            return Err(ScheduleError::TooLarge);
        }
        if !schedule.faults.iter().all(|fault| schedule.has_targets_of(fault)) {
            return Err(ScheduleError::UnknownTarget);
        }
        Ok(schedule)
    }

    /// Returns whether the run has the proxies and zones that a fault names.
    fn has_targets_of(&self, fault: &Fault) -> bool {
        let has_proxy = |proxy: &usize| *proxy < self.proxies;
        let is_fraction = |value: &f64| (0.0..=1.0).contains(value);
        match fault {
            Fault::Partition { side, .. } => side.iter().all(has_proxy),
            Fault::Pause { proxy, .. } | Fault::Replay { proxy, .. } | Fault::FalseHealth { proxy, .. } => {
                has_proxy(proxy)
            }
            Fault::Slow { .. } => true,
            Fault::Kill { proxies, .. } => proxies.iter().all(has_proxy),
            Fault::Zone { zone, .. } | Fault::Cut { zone, .. } => ZONES.contains(&zone.as_str()),
            Fault::LostAnswers { fraction, .. } => is_fraction(fraction),
            Fault::LossyNetwork { loss, duplicate, .. } => is_fraction(loss) && is_fraction(duplicate),
        }
    }

    /// Returns the start, end and zone of each zone fault, in ms from the start of the load.
    pub fn zone_spans(&self) -> Vec<(u64, u64, String)> {
        let spans = self.faults.iter().filter_map(|f| match f {
            Fault::Zone { at_s, for_s, zone, .. } => Some((at_s * 1000, (at_s + for_s) * 1000, zone.clone())),
            Fault::Cut { at_ms, until_ms, zone } => Some((*at_ms, *until_ms, zone.clone())),
            _ => None,
        });
        spans.collect()
    }
}
