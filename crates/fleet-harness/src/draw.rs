//! Draws the faults of a scenario from a seed.

use crate::scenario::{Fault, Scenario};
use crate::schedule::ZONES;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Seconds of load after the last fault of a drawn schedule: long enough for the last count of agreement, and some calm.
const AFTER_LAST_S: u64 = 7;
/// How long a zone is lost in most scenarios.
const ZONE_LOSS_S: u64 = 5;
const SLOW_S: u64 = 12;
const SLOW_PERCENT: u64 = 300;

/// The faults of a run, and how long its load lasts with them.
pub(crate) struct Drawn {
    pub seconds: u64,
    pub faults: Vec<Fault>,
}

/// Draws the faults of a scenario for so many proxies in a run with so many groups.
pub(crate) fn draw(scenario: Scenario, proxies: usize, groups: usize, seed: u64) -> Drawn {
    Drawing::new(proxies, groups, seed).draw(scenario)
}

struct Drawing {
    rng: SmallRng,
    proxies: usize,
    groups: usize,
    /// The zone that is lost or cut.
    zone: String,
    /// When that begins.
    lost_at_s: u64,
}

impl Drawing {
    fn new(proxies: usize, groups: usize, seed: u64) -> Drawing {
        let mut rng = SmallRng::seed_from_u64(seed);
        let zone = ZONES[rng.random_range(0..ZONES.len())].to_string();
        let lost_at_s = rng.random_range(4..7);
        Drawing { rng, proxies, groups, zone, lost_at_s }
    }

    fn draw(self, scenario: Scenario) -> Drawn {
        match scenario {
            Scenario::ZoneLoss | Scenario::Skew | Scenario::Burst => self.zone_loss(),
            Scenario::ZoneCut => self.zone_cut(),
            Scenario::ZoneFlap => self.zone_flap(),
            Scenario::Minority => self.minority(),
            Scenario::Pause => self.pause(),
            Scenario::Kill70 => self.kill_most(),
            Scenario::Lossy => self.lossy(),
            Scenario::Liar => self.replay(),
            Scenario::Restart => self.restart_one(4_000),
            Scenario::OldSnapshot => self.restart_one(1_000),
            Scenario::Heal => self.heal(),
            Scenario::Doubts => self.lost_answers(),
            Scenario::Calm => self.load_for(ZONE_LOSS_S, vec![]),
            Scenario::SlowMember => self.slow_member(),
            Scenario::SlowLiar => self.slow_member_and_liar(),
        }
    }

    /// A run whose load goes on until `after_s` after the zone fault begins, and some calm.
    fn load_for(&self, after_s: u64, faults: Vec<Fault>) -> Drawn {
        Drawn { seconds: self.lost_at_s + after_s + AFTER_LAST_S, faults }
    }

    fn lose_zone(&self, at_s: u64, for_s: u64) -> Fault {
        Fault::Zone { at_s, for_s, zone: self.zone.clone(), lose: true }
    }

    /// The fault of most scenarios.
    fn lose_zone_once(&self) -> Fault {
        self.lose_zone(self.lost_at_s, ZONE_LOSS_S)
    }

    fn lost_at_ms(&self) -> u64 {
        ms(self.lost_at_s)
    }

    fn any_proxy(&mut self) -> usize {
        self.rng.random_range(0..self.proxies)
    }

    /// The proxies of the smaller side of a partition.
    fn third_of_proxies(&self) -> Vec<usize> {
        (0..self.proxies).filter(|proxy| proxy % 3 == 0).collect()
    }

    fn zone_loss(self) -> Drawn {
        self.load_for(ZONE_LOSS_S, vec![self.lose_zone_once()])
    }

    fn zone_cut(self) -> Drawn {
        let until_ms = ms(self.lost_at_s + 6);
        let cut = Fault::Cut { at_ms: self.lost_at_ms(), until_ms, zone: self.zone.clone() };
        self.load_for(ZONE_LOSS_S, vec![cut])
    }

    fn zone_flap(self) -> Drawn {
        let losses = (0..4).map(|i| self.lose_zone(self.lost_at_s + 4 * i, 2));
        self.load_for(14, losses.collect())
    }

    fn minority(self) -> Drawn {
        let split = Fault::Split {
            at_ms: ms(self.lost_at_s - 3),
            until_ms: ms(self.lost_at_s + 9),
            side: self.third_of_proxies(),
        };
        self.load_for(9, vec![split, self.lose_zone_once()])
    }

    fn pause(mut self) -> Drawn {
        let proxy = self.any_proxy();
        let pause = Fault::Pause { at_ms: ms(self.lost_at_s - 2), for_ms: 10_000, proxy };
        self.load_for(8, vec![pause, self.lose_zone_once()])
    }

    fn kill_most(mut self) -> Drawn {
        let proxies = self.seven_in_ten();
        let kill = Fault::Kill { at_ms: self.lost_at_ms(), back_ms: 1_000, proxies };
        let loss = self.lose_zone(self.lost_at_s + 4, ZONE_LOSS_S);
        self.load_for(9, vec![kill, loss])
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

    fn lossy(self) -> Drawn {
        let mut drawn = self.zone_loss();
        let until_ms = ms(drawn.seconds);
        let wire = Fault::Wire { at_ms: 0, until_ms, loss: 0.2, duplicate: 0.1, jitter_ms: 20 };
        drawn.faults.insert(0, wire);
        drawn
    }

    fn replay(mut self) -> Drawn {
        let proxy = self.any_proxy();
        let at_ms = ms(self.lost_at_s - 2);
        let mut drawn = self.zone_loss();
        drawn.faults.insert(0, Fault::Replay { at_ms, until_ms: ms(drawn.seconds), proxy });
        drawn
    }

    fn restart_one(mut self, back_ms: u64) -> Drawn {
        let proxies = vec![self.any_proxy()];
        let kill = Fault::Kill { at_ms: self.lost_at_ms(), back_ms, proxies };
        self.load_for(ZONE_LOSS_S, vec![kill])
    }

    fn heal(self) -> Drawn {
        let until_ms = ms(self.lost_at_s + 10);
        let split = Fault::Split { at_ms: self.lost_at_ms(), until_ms, side: self.third_of_proxies() };
        self.load_for(10, vec![split])
    }

    fn lost_answers(self) -> Drawn {
        let mut drawn = self.load_for(ZONE_LOSS_S, vec![]);
        let until_ms = ms(drawn.seconds - 2);
        drawn.faults.push(Fault::Answers { at_ms: 0, until_ms, part: 0.05 });
        drawn
    }

    fn slow_member(mut self) -> Drawn {
        let group = self.rng.random_range(0..self.groups);
        self.load_for(SLOW_S, vec![self.slow_primary(group)])
    }

    fn slow_member_and_liar(mut self) -> Drawn {
        let group = self.rng.random_range(0..self.groups);
        let proxy = self.any_proxy();
        let mut drawn = self.load_for(SLOW_S, vec![]);
        let lie = Fault::Lie {
            at_ms: ms(self.lost_at_s - 2),
            until_ms: ms(drawn.seconds - 3),
            proxy,
            well: primary(group),
            out: replica(group),
        };
        drawn.faults = vec![lie, self.slow_primary(group)];
        drawn
    }

    /// A slow primary, which writes must use however slow it is.
    fn slow_primary(&self, group: usize) -> Fault {
        let member = primary(group);
        Fault::Slow { at_s: self.lost_at_s, for_s: SLOW_S, member, percent: SLOW_PERCENT }
    }
}

fn ms(seconds: u64) -> u64 {
    seconds * 1000
}

fn primary(group: usize) -> String {
    format!("g{group}m0")
}

fn replica(group: usize) -> String {
    format!("g{group}m1")
}
