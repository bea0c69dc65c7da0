//! What goes wrong in a run, and when: drawn from a seed for a scenario, written out, and read back to play a run
//! again exactly as it was.

pub use crate::scenario::{Fault, Scenario};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// The zones of the stand-ins, as the laboratory names them.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// The most proxies of a run, and the longest run: every run is bounded in count and time.
pub const PROXIES_MOST: usize = 200;
/// See [`PROXIES_MOST`].
pub const SECONDS_MOST: u64 = 600;
/// Seconds of load after the last fault of a drawn schedule.
const AFTER_LAST: u64 = 7;

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
        let proxies = proxies.clamp(3, PROXIES_MOST);
        let mut rng = SmallRng::seed_from_u64(seed);
        let zone = ZONES[rng.random_range(0..ZONES.len())].to_string();
        let lost_at = rng.random_range(4..7);
        let ms = |s: u64| s * 1000;
        let lose = |at_s: u64, for_s: u64| Fault::Zone { at_s, for_s, zone: zone.clone(), lose: true };
        let mut faults = Vec::new();
        // Some tens of requests a second a proxy, and no more than the stand-ins of three groups serve with room.
        let (groups, rate) = (3, (40 * proxies as u64).min(400));
        // Long enough after the last zone fault for the last count of agreement, and some calm.
        let mut seconds = lost_at + 5 + AFTER_LAST;
        match scenario {
            Scenario::ZoneLoss => faults.push(lose(lost_at, 5)),
            Scenario::ZoneCut => {
                faults.push(Fault::Cut { at_ms: ms(lost_at), until_ms: ms(lost_at + 6), zone })
            }
            Scenario::ZoneFlap => {
                seconds = lost_at + 14 + AFTER_LAST;
                faults.extend((0..4).map(|i| lose(lost_at + 4 * i, 2)));
            }
            Scenario::Minority => {
                seconds = lost_at + 9 + AFTER_LAST;
                let side: Vec<usize> = (0..proxies).filter(|p| p % 3 == 0).collect();
                faults.push(Fault::Split { at_ms: ms(lost_at - 3), until_ms: ms(lost_at + 9), side });
                faults.push(lose(lost_at, 5));
            }
            Scenario::Pause => {
                seconds = lost_at + 8 + AFTER_LAST;
                let proxy = rng.random_range(0..proxies);
                faults.push(Fault::Pause { at_ms: ms(lost_at - 2), for_ms: 10_000, proxy });
                faults.push(lose(lost_at, 5));
            }
            Scenario::Kill70 => {
                let mut all: Vec<usize> = (0..proxies).collect();
                for i in (1..all.len()).rev() {
                    all.swap(i, rng.random_range(0..=i));
                }
                let killed = (proxies * 7).div_ceil(10).min(proxies - 1);
                let mut chosen: Vec<usize> = all[..killed].to_vec();
                chosen.sort_unstable();
                seconds = lost_at + 9 + AFTER_LAST;
                faults.push(Fault::Kill { at_ms: ms(lost_at), back_ms: 1_000, proxies: chosen });
                faults.push(lose(lost_at + 4, 5));
            }
            Scenario::Lossy => {
                faults.push(Fault::Wire {
                    at_ms: 0,
                    until_ms: ms(seconds),
                    loss: 0.2,
                    duplicate: 0.1,
                    jitter_ms: 20,
                });
                faults.push(lose(lost_at, 5));
            }
            Scenario::Liar => {
                let proxy = rng.random_range(0..proxies);
                faults.push(Fault::Replay { at_ms: ms(lost_at - 2), until_ms: ms(seconds), proxy });
                faults.push(lose(lost_at, 5));
            }
            Scenario::Restart => {
                let proxies = vec![rng.random_range(0..proxies)];
                faults.push(Fault::Kill { at_ms: ms(lost_at), back_ms: 4_000, proxies });
            }
            Scenario::OldSnapshot => {
                let proxies = vec![rng.random_range(0..proxies)];
                faults.push(Fault::Kill { at_ms: ms(lost_at), back_ms: 1_000, proxies });
            }
            Scenario::Heal => {
                seconds = lost_at + 10 + AFTER_LAST;
                let side: Vec<usize> = (0..proxies).filter(|p| p % 3 == 0).collect();
                faults.push(Fault::Split { at_ms: ms(lost_at), until_ms: ms(lost_at + 10), side });
            }
            Scenario::Skew | Scenario::Burst => faults.push(lose(lost_at, 5)),
            Scenario::Doubts => {
                faults.push(Fault::Answers { at_ms: 0, until_ms: ms(seconds - 2), part: 0.05 })
            }
            Scenario::Calm => {}
            Scenario::SlowMember | Scenario::SlowLiar => {
                seconds = lost_at + 12 + AFTER_LAST;
                // A primary, which writes must use however slow it is, and a replica of its group.
                let group = rng.random_range(0..groups);
                let (member, out) = (format!("g{group}m0"), format!("g{group}m1"));
                if scenario == Scenario::SlowLiar {
                    let (proxy, well) = (rng.random_range(0..proxies), member.clone());
                    faults.push(Fault::Lie {
                        at_ms: ms(lost_at - 2),
                        until_ms: ms(seconds - 3),
                        proxy,
                        well,
                        out,
                    });
                }
                faults.push(Fault::Slow { at_s: lost_at, for_s: 12, member, percent: 300 });
            }
        }
        let skewed = (0..proxies).map(|p| [0, 500, -500][p % 3]);
        let skew_ms = if scenario == Scenario::Skew { skewed.collect() } else { Vec::new() };
        let replica_bytes = if scenario == Scenario::Burst { 1024 } else { replica_bytes() };
        let old_snapshot = scenario == Scenario::OldSnapshot;
        Schedule {
            scenario,
            seed,
            proxies,
            seconds,
            rate,
            groups,
            peers,
            faults,
            skew_ms,
            replica_bytes,
            old_snapshot,
        }
    }

    /// Reads a schedule that a run wrote out; bounded as a drawn one is.
    pub fn read(text: &str) -> Result<Schedule, String> {
        let schedule: Schedule = serde_json::from_str(text).map_err(|e| format!("not a schedule: {e}"))?;
        if !(3..=PROXIES_MOST).contains(&schedule.proxies) || schedule.seconds > SECONDS_MOST {
            return Err(format!("3 to {PROXIES_MOST} proxies and {SECONDS_MOST} s at most"));
        }
        let named = |p: &usize| *p < schedule.proxies;
        let proxies_ok = schedule.faults.iter().all(|f| match f {
            Fault::Split { side, .. } => side.iter().all(named),
            Fault::Pause { proxy, .. } | Fault::Replay { proxy, .. } | Fault::Lie { proxy, .. } => {
                named(proxy)
            }
            Fault::Slow { .. } => true,
            Fault::Kill { proxies, .. } => proxies.iter().all(named),
            Fault::Zone { zone, .. } | Fault::Cut { zone, .. } => ZONES.contains(&zone.as_str()),
            Fault::Answers { part, .. } => (0.0..=1.0).contains(part),
            Fault::Wire { loss, duplicate, .. } => {
                (0.0..=1.0).contains(loss) && (0.0..=1.0).contains(duplicate)
            }
        });
        if !proxies_ok {
            return Err("a fault names a proxy or zone that the run does not have, or a part outside 0 to 1"
                .to_string());
        }
        Ok(schedule)
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
