//! What goes wrong in a run, and when: drawn from a seed for a scenario, written out, and read back to play a run
//! again exactly as it was.

use crate::draw::{draw, Drawn};
pub use crate::scenario::{Fault, Scenario};
use serde::{Deserialize, Serialize};

/// The zones of the stand-ins, as the laboratory names them.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// The most proxies of a run: every run is bounded in count and time.
pub const MAX_PROXIES: usize = 200;
/// The longest run, in seconds.
pub const MAX_SECONDS: u64 = 600;
const MIN_PROXIES: usize = 3;
const GROUPS: usize = 3;
/// Requests a second for each proxy: some tens.
const RATE_PER_PROXY: u64 = 40;
/// The most requests a second, which the stand-ins of the groups serve with capacity to spare.
const MAX_RATE: u64 = 400;
/// What the clocks of the proxies are ahead in [`Scenario::Skew`], by turn, in milliseconds.
const SKEWS_MS: [i64; 3] = [0, 500, -500];
/// Bytes a second of the replicated state in [`Scenario::Burst`].
const BURST_REPLICA_BYTES: u64 = 1024;

/// Why a schedule cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScheduleError {
    /// It is not the JSON of a schedule.
    #[error("not a schedule: {0}")]
    Malformed(String),
    /// It has too few or too many proxies, or takes too long.
    #[error("{MIN_PROXIES} to {MAX_PROXIES} proxies and {MAX_SECONDS} s at most")]
    TooLarge,
    /// A fault names what the run does not have.
    #[error("a fault names a proxy or zone that the run does not have, or a part outside 0 to 1")]
    UnknownTarget,
}

/// A run: its size, its load, whether proxies talk, and its faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// What it plays.
    pub scenario: Scenario,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// Proxies.
    pub proxies: usize,
    /// The load's length.
    pub seconds: u64,
    /// Requests a second, to all proxies together.
    pub rate: u64,
    /// Groups of members, four members each.
    pub groups: usize,
    /// Whether the proxies talk to each other; without, each decides alone.
    pub peers: bool,
    /// The faults.
    pub faults: Vec<Fault>,
    /// What each proxy's clock of the talk is ahead; those not named read the true time.
    #[serde(default)]
    pub skew_ms: Vec<i64>,
    /// Bytes a second that a proxy may send of the replicated state.
    #[serde(default = "replica_bytes")]
    pub replica_bytes: u64,
    /// Killed proxies come back with a snapshot an hour old.
    #[serde(default)]
    pub old_snapshot: bool,
}

fn replica_bytes() -> u64 {
    16_384
}

impl Schedule {
    /// A run of a scenario drawn from a seed.
    pub fn draw(scenario: Scenario, proxies: usize, seed: u64, peers: bool) -> Schedule {
        let proxies = proxies.clamp(MIN_PROXIES, MAX_PROXIES);
        let Drawn { seconds, faults } = draw(scenario, proxies, GROUPS, seed);
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

    /// Reads a schedule that a run wrote out; bounded as a drawn one is.
    pub fn read(text: &str) -> Result<Schedule, ScheduleError> {
        let schedule: Schedule =
            serde_json::from_str(text).map_err(|error| ScheduleError::Malformed(error.to_string()))?;
        if !(MIN_PROXIES..=MAX_PROXIES).contains(&schedule.proxies) || schedule.seconds > MAX_SECONDS {
            return Err(ScheduleError::TooLarge);
        }
        if !schedule.faults.iter().all(|fault| schedule.can_have(fault)) {
            return Err(ScheduleError::UnknownTarget);
        }
        Ok(schedule)
    }

    /// Whether the run has what a fault names.
    fn can_have(&self, fault: &Fault) -> bool {
        let has_proxy = |proxy: &usize| *proxy < self.proxies;
        let is_part = |part: &f64| (0.0..=1.0).contains(part);
        match fault {
            Fault::Split { side, .. } => side.iter().all(has_proxy),
            Fault::Pause { proxy, .. } | Fault::Replay { proxy, .. } | Fault::Lie { proxy, .. } => {
                has_proxy(proxy)
            }
            Fault::Slow { .. } => true,
            Fault::Kill { proxies, .. } => proxies.iter().all(has_proxy),
            Fault::Zone { zone, .. } | Fault::Cut { zone, .. } => ZONES.contains(&zone.as_str()),
            Fault::Answers { part, .. } => is_part(part),
            Fault::Wire { loss, duplicate, .. } => is_part(loss) && is_part(duplicate),
        }
    }

    /// The zone faults' spans in ms from the load's start: when each began and ended, and which zone.
    pub fn zone_spans(&self) -> Vec<(u64, u64, String)> {
        let spans = self.faults.iter().filter_map(|f| match f {
            Fault::Zone { at_s, for_s, zone, .. } => Some((at_s * 1000, (at_s + for_s) * 1000, zone.clone())),
            Fault::Cut { at_ms, until_ms, zone } => Some((*at_ms, *until_ms, zone.clone())),
            _ => None,
        });
        spans.collect()
    }
}
