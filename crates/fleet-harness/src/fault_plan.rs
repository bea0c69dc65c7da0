//! Generates the faults of a scenario from a seed.

use crate::scenario::{Fault, Scenario};
use crate::schedule::ZONES;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Seconds of load after the last fault of a schedule: enough for the last agreement check at 5 s, and some
/// time without faults.
const TAIL_S: u64 = 7;
/// The duration of a zone loss in most scenarios.
const ZONE_LOSS_S: u64 = 5;
const SLOW_S: u64 = 12;
const SLOW_PERCENT: u64 = 300;

/// The faults of a run and the duration of its load.
pub(crate) struct FaultPlan {
    pub seconds: u64,
    pub faults: Vec<Fault>,
}

/// Generates the faults of a scenario for a run with this number of proxies and groups.
pub(crate) fn generate(scenario: Scenario, proxies: usize, groups: usize, seed: u64) -> FaultPlan {
    Generator::new(proxies, groups, seed).generate(scenario)
}

struct Generator {
    rng: SmallRng,
    proxies: usize,
    groups: usize,
    /// The zone that is lost or cut off.
    zone: String,
    /// The start of the zone fault, in seconds of the load.
    lost_at_s: u64,
}

impl Generator {
    fn new(proxies: usize, groups: usize, seed: u64) -> Generator {
        let mut rng = SmallRng::seed_from_u64(seed);
        let zone = ZONES[rng.random_range(0..ZONES.len())].to_string();
        let lost_at_s = rng.random_range(4..7);
        Generator { rng, proxies, groups, zone, lost_at_s }
    }

    fn generate(self, scenario: Scenario) -> FaultPlan {
        match scenario {
            Scenario::ZoneLoss | Scenario::Skew | Scenario::Burst => self.zone_loss(),
            Scenario::ZoneCut => self.zone_cut(),
            Scenario::ZoneFlap => self.zone_flap(),
            Scenario::Minority => self.minority(),
            Scenario::Pause => self.pause(),
            Scenario::Kill70 => self.kill_most(),
            Scenario::Lossy => self.lossy(),
            Scenario::StaleReplay => self.stale_replay(),
            Scenario::Restart => self.restart(4_000),
            Scenario::OldSnapshot => self.restart(1_000),
            Scenario::Heal => self.heal(),
            Scenario::InDoubtWrites => self.lost_write_answers(),
            Scenario::Calm => self.with_load(ZONE_LOSS_S, vec![]),
            Scenario::SlowMember => self.slow_member(),
            Scenario::SlowMemberFalseHealth => self.false_health_reports(),
        }
    }

    /// Returns a run whose load lasts until [`TAIL_S`] after the time `fault_span_s` from the start of the
    /// zone fault.
    fn with_load(&self, fault_span_s: u64, faults: Vec<Fault>) -> FaultPlan {
        FaultPlan { seconds: self.lost_at_s + fault_span_s + TAIL_S, faults }
    }

    fn lose_zone(&self, at_s: u64, for_s: u64) -> Fault {
        Fault::Zone { at_s, for_s, zone: self.zone.clone(), lose: true }
    }

    /// Returns the zone loss of most scenarios.
    fn lose_zone_once(&self) -> Fault {
        self.lose_zone(self.lost_at_s, ZONE_LOSS_S)
    }

    fn lost_at_ms(&self) -> u64 {
        to_ms(self.lost_at_s)
    }

    fn random_proxy(&mut self) -> usize {
        self.rng.random_range(0..self.proxies)
    }

    /// Returns the proxies on the smaller side of a partition.
    fn third_of_proxies(&self) -> Vec<usize> {
        (0..self.proxies).filter(|proxy| proxy % 3 == 0).collect()
    }

    fn zone_loss(self) -> FaultPlan {
        self.with_load(ZONE_LOSS_S, vec![self.lose_zone_once()])
    }

    fn zone_cut(self) -> FaultPlan {
        let until_ms = to_ms(self.lost_at_s + 6);
        let cut = Fault::Cut { at_ms: self.lost_at_ms(), until_ms, zone: self.zone.clone() };
        self.with_load(ZONE_LOSS_S, vec![cut])
    }

    fn zone_flap(self) -> FaultPlan {
        let losses = (0..4).map(|i| self.lose_zone(self.lost_at_s + 4 * i, 2));
        self.with_load(14, losses.collect())
    }

    fn minority(self) -> FaultPlan {
        let partition = Fault::Partition {
            at_ms: to_ms(self.lost_at_s - 3),
            until_ms: to_ms(self.lost_at_s + 9),
            side: self.third_of_proxies(),
        };
        self.with_load(9, vec![partition, self.lose_zone_once()])
    }

    fn pause(mut self) -> FaultPlan {
        let proxy = self.random_proxy();
        let pause = Fault::Pause { at_ms: to_ms(self.lost_at_s - 2), for_ms: 10_000, proxy };
        self.with_load(8, vec![pause, self.lose_zone_once()])
    }

    fn kill_most(mut self) -> FaultPlan {
        let proxies = self.seven_in_ten();
        let kill = Fault::Kill { at_ms: self.lost_at_ms(), back_ms: 1_000, proxies };
        let loss = self.lose_zone(self.lost_at_s + 4, ZONE_LOSS_S);
        self.with_load(9, vec![kill, loss])
    }

    fn seven_in_ten(&mut self) -> Vec<usize> {
        let mut shuffled: Vec<usize> = (0..self.proxies).collect();
        for i in (1..shuffled.len()).rev() {
            shuffled.swap(i, self.rng.random_range(0..=i));
        }
        shuffled.truncate((self.proxies * 7).div_ceil(10).min(self.proxies - 1));
        shuffled.sort_unstable();
        shuffled
    }

    fn lossy(self) -> FaultPlan {
        let mut plan = self.zone_loss();
        let until_ms = to_ms(plan.seconds);
        let lossy_network =
            Fault::LossyNetwork { at_ms: 0, until_ms, loss: 0.2, duplicate: 0.1, jitter_ms: 20 };
        plan.faults.insert(0, lossy_network);
        plan
    }

    fn stale_replay(mut self) -> FaultPlan {
        let proxy = self.random_proxy();
        let at_ms = to_ms(self.lost_at_s - 2);
        let mut plan = self.zone_loss();
        plan.faults.insert(0, Fault::Replay { at_ms, until_ms: to_ms(plan.seconds), proxy });
        plan
    }

    fn restart(mut self, back_ms: u64) -> FaultPlan {
        let proxies = vec![self.random_proxy()];
        let kill = Fault::Kill { at_ms: self.lost_at_ms(), back_ms, proxies };
        self.with_load(ZONE_LOSS_S, vec![kill])
    }

    fn heal(self) -> FaultPlan {
        let until_ms = to_ms(self.lost_at_s + 10);
        let partition =
            Fault::Partition { at_ms: self.lost_at_ms(), until_ms, side: self.third_of_proxies() };
        self.with_load(10, vec![partition])
    }

    fn lost_write_answers(self) -> FaultPlan {
        let mut plan = self.with_load(ZONE_LOSS_S, vec![]);
        let until_ms = to_ms(plan.seconds - 2);
        plan.faults.push(Fault::LostAnswers { at_ms: 0, until_ms, fraction: 0.05 });
        plan
    }

    fn slow_member(mut self) -> FaultPlan {
        let group = self.rng.random_range(0..self.groups);
        self.with_load(SLOW_S, vec![self.slow_primary(group)])
    }

    fn false_health_reports(mut self) -> FaultPlan {
        let group = self.rng.random_range(0..self.groups);
        let proxy = self.random_proxy();
        let mut plan = self.with_load(SLOW_S, vec![]);
        let false_health = Fault::FalseHealth {
            at_ms: to_ms(self.lost_at_s - 2),
            until_ms: to_ms(plan.seconds - 3),
            proxy,
            healthy: primary(group),
            failed: replica(group),
        };
        plan.faults = vec![false_health, self.slow_primary(group)];
        plan
    }

    /// Returns the slowdown of a group's primary, which writes must use however slow it is.
    fn slow_primary(&self, group: usize) -> Fault {
        let member = primary(group);
        Fault::Slow { at_s: self.lost_at_s, for_s: SLOW_S, member, percent: SLOW_PERCENT }
    }
}

fn to_ms(seconds: u64) -> u64 {
    seconds * 1000
}

fn primary(group: usize) -> String {
    format!("g{group}m0")
}

fn replica(group: usize) -> String {
    format!("g{group}m1")
}
