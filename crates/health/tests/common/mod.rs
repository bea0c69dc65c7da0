//! A simulated fleet of proxies with outlier detection, in virtual time. Latencies are random with a fixed
//! seed, and published observations reach the other proxies after a delay or are lost.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use wharfplank_health::{
    HealthMonitor, HealthObservation, MemberSummary, Micros, Outcome, Proxy, ReportedObservation, Verdict,
};

pub const SECOND: Micros = 1_000_000;
const STEP: Micros = 50_000;
/// The baseline latencies of reads, reports and writes, by class.
const LATENCIES: [f64; 3] = [20_000.0, 300_000.0, 20_000.0];
/// The fraction of requests that are reports.
const REPORT_FRACTION: f64 = 0.05;
const WRITE_CLASS: usize = 2;
/// The number of members of a group; the first one is the primary.
const GROUP_SIZE: usize = 4;

/// A proxy that publishes false observations.
#[derive(Clone, Copy)]
pub struct FaultyReporter {
    /// The member that it reports falsely on; none stands for all members.
    pub about: Option<u64>,
    /// The log ratio that it claims, with the greatest weight.
    pub log_ratio: i16,
}

/// An observation in transit to a proxy.
struct InFlight {
    at: Micros,
    to: usize,
    report: ReportedObservation,
}

pub struct Fleet {
    pub now: Micros,
    pub proxies: Vec<HealthMonitor>,
    pub members: usize,
    /// Requests a second at each proxy.
    pub rate: f64,
    pub loss: f64,
    /// The factors by which each member's latencies are multiplied. A member with an infinite factor does not
    /// answer.
    pub member_latency_factors: Vec<f64>,
    /// The factors by which each proxy's link multiplies the latencies.
    pub link_factors: Vec<f64>,
    pub faulty_reporters: BTreeMap<usize, FaultyReporter>,
    pub incarnation_ms: i64,
    /// Whether proxies send no reads to members that have a latency factor.
    pub avoids_outliers: bool,
    /// The fraction of requests that are writes, which go to primaries.
    pub write_fraction: f64,
    /// A member to which no reads are sent, independent of its verdict.
    pub avoided_by_reads: Option<usize>,
    /// The time that the network adds to each latency.
    pub network_latency: Micros,
    received: Vec<BTreeMap<(u64, u64), HealthObservation>>,
    in_flight: Vec<InFlight>,
    rng: SmallRng,
}

fn exponential(rng: &mut SmallRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

fn new_monitor(index: usize, proxies: usize, members: usize) -> HealthMonitor {
    let mut monitor = HealthMonitor::new(index as u64);
    monitor.set_proxies((0..proxies as u64).map(|id| Proxy { id, zone: id % 3 }));
    (0..members as u64).for_each(|member| monitor.track_member(member, member % 3, 1));
    monitor
}

impl Fleet {
    pub fn new(proxies: usize, members: usize, seed: u64) -> Fleet {
        Fleet {
            now: 1_000 * SECOND,
            proxies: (0..proxies).map(|index| new_monitor(index, proxies, members)).collect(),
            members,
            rate: 30.0,
            loss: 0.0,
            member_latency_factors: vec![1.0; members],
            link_factors: vec![1.0; proxies],
            faulty_reporters: BTreeMap::new(),
            incarnation_ms: 1,
            avoids_outliers: false,
            write_fraction: 0.0,
            avoided_by_reads: None,
            network_latency: 0,
            received: vec![BTreeMap::new(); proxies],
            in_flight: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Runs the simulation for a time and calls `after_step` after each step.
    pub fn run(&mut self, span: Micros, mut after_step: impl FnMut(&Fleet)) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            (0..self.proxies.len()).for_each(|proxy| self.serve(proxy));
            self.exchange();
            if self.now % 250_000 == 0 {
                self.evaluate();
            }
            after_step(self);
        }
    }

    fn evaluate(&mut self) {
        for (monitor, received) in self.proxies.iter_mut().zip(&self.received) {
            let reports = received.iter().map(|((member, reporter), observation)| ReportedObservation {
                member: *member,
                reporter: *reporter,
                observation: *observation,
            });
            monitor.evaluate(self.now, reports);
        }
    }

    /// Sends the requests of a proxy for one step.
    fn serve(&mut self, proxy: usize) {
        let outliers = self.proxies[proxy].latency_factors();
        let mut next = exponential(&mut self.rng) / self.rate;
        while next < STEP as f64 / 1e6 {
            next += exponential(&mut self.rng) / self.rate;
            let mut member = self.rng.random_range(0..self.members);
            let mut class = usize::from(self.rng.random::<f64>() < REPORT_FRACTION);
            let is_write = self.write_fraction > 0.0 && self.rng.random::<f64>() < self.write_fraction;
            if is_write {
                member = member / GROUP_SIZE * GROUP_SIZE;
                class = WRITE_CLASS;
            }
            let processing_time = LATENCIES[class]
                * (0.3 + 0.7 * exponential(&mut self.rng))
                * self.member_latency_factors[member]
                * self.link_factors[proxy];
            let is_outlier = self.avoids_outliers && outliers.iter().any(|(id, _)| *id == member as u64);
            if is_write || !(is_outlier || self.avoided_by_reads == Some(member)) {
                let outcome = if self.member_latency_factors[member].is_infinite() {
                    Outcome::Unreachable
                } else {
                    Outcome::Answered { class, latency: processing_time as Micros + self.network_latency }
                };
                self.proxies[proxy].record(self.now, member as u64, outcome);
            }
        }
    }

    /// Publishes the proxies' observations and delivers those that are due.
    fn exchange(&mut self) {
        for reporter in 0..self.proxies.len() {
            for (member, observation) in self.published_by(reporter) {
                let report = ReportedObservation { member, reporter: reporter as u64, observation };
                self.publish(reporter, report);
            }
        }
        let now = self.now;
        for InFlight { to, report, .. } in self.in_flight.extract_if(.., |message| message.at <= now) {
            let ReportedObservation { member, reporter, observation } = report;
            let newest = self.received[to].entry((member, reporter)).or_insert(observation);
            *newest = observation.max(*newest);
        }
    }

    fn published_by(&mut self, proxy: usize) -> Vec<(u64, HealthObservation)> {
        match self.faulty_reporters.get(&proxy) {
            Some(faulty_reporter) if self.now % 500_000 == 0 => self.false_observations(*faulty_reporter),
            Some(_) => Vec::new(),
            None => self.proxies[proxy].take_observations(self.now),
        }
    }

    fn false_observations(&self, faulty_reporter: FaultyReporter) -> Vec<(u64, HealthObservation)> {
        let false_observation = HealthObservation {
            incarnation_ms: self.incarnation_ms,
            newest_window: MemberSummary::window_at(self.now),
            log_ratio: faulty_reporter.log_ratio,
            samples: u16::MAX,
            ..HealthObservation::default()
        };
        let members =
            (0..self.members as u64).filter(|id| faulty_reporter.about.is_none_or(|about| about == *id));
        members.map(|member| (member, false_observation)).collect()
    }

    /// Sends an observation to all proxies.
    fn publish(&mut self, from: usize, report: ReportedObservation) {
        for to in 0..self.proxies.len() {
            let is_lost = to != from && self.rng.random::<f64>() < self.loss;
            let delay = if to == from { 0 } else { self.rng.random_range(100_000..600_000) };
            if !is_lost {
                self.in_flight.push(InFlight { at: self.now + delay, to, report });
            }
        }
    }

    /// Returns the number of proxies whose verdict on a member is not healthy.
    pub fn flagging_proxies(&self, member: u64) -> usize {
        self.proxies.iter().filter(|proxy| proxy.verdict(member) != Verdict::Healthy).count()
    }

    /// Returns the number of members, except this one, on which the verdict of any proxy is not healthy.
    pub fn wrongly_flagged_members(&self, except: Option<u64>) -> usize {
        (0..self.members as u64).filter(|id| Some(*id) != except && self.flagging_proxies(*id) > 0).count()
    }
}
