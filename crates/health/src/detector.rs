//! Combines the observations of all reporters into a score and a verdict for each member.
//!
//! The influence of a single report is bounded. A member's score is the median of its reporters' scores,
//! weighted by their samples, with each weight capped at the median weight. A report that claims many samples
//! therefore weighs no more than most, and moving the score beyond all other reports takes half of the total
//! weight; one faulty proxy, or a tenth of them, is not enough. If only three to five of a larger set of
//! reporters have enough samples to report, a single false report would be a fifth to a third of them, so the
//! worst report is dropped.

use crate::ejection::{EjectionLimit, Verdict, DEGRADED_LATENCY_FACTOR, UNHEALTHY_LATENCY_FACTOR};
use crate::median::WeightedScore;
use crate::observation::HealthObservation;
use crate::observation_log::MIN_SAMPLES;
use crate::reporters::{rendezvous_hash, sample_reporters, Proxy};
use crate::tracked_member::TrackedMember;
use crate::window::{MemberSummary, WINDOW_LENGTH};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use thiserror::Error;

/// The interval at which the driver evaluates the observations: once per window.
pub const EVALUATION_INTERVAL: Micros = WINDOW_LENGTH;
/// The maximum number of tracked members; other members have no verdict.
pub const MAX_MEMBERS: usize = 1024;
/// The maximum age of the newest window of an observation that counts.
const MAX_OBSERVATION_AGE: Micros = 3_000_000;
/// The maximum time by which the newest window of an observation may be in the future, because clocks differ.
const MAX_CLOCK_SKEW: Micros = 2_000_000;
/// The maximum weight of one report, independent of the other reports.
const MAX_WEIGHT: u64 = 64;
/// At most `1 / MAX_EJECTED_DIVISOR` of the members may be ejected at once: more outliers indicate a problem
/// of load or the network rather than of members.
const MAX_EJECTED_DIVISOR: usize = 3;
/// A reporter of at least this many members is ignored if it reports more than half of them as bad.
const MIN_ASSIGNMENTS: usize = 3;
/// The minimum number of proxies that use a member on probation.
const MIN_PROBATION_PROXIES: usize = 2;

/// A reporter's observation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedObservation {
    /// The member.
    pub member: u64,
    /// The proxy that observed it.
    pub reporter: u64,
    /// The observation.
    pub observation: HealthObservation,
}

/// The error that [`MAX_MEMBERS`] members are already tracked.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the maximum of {MAX_MEMBERS} members is already tracked")]
pub struct TooManyMembers;

/// The score of a member, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberScore {
    /// The score, or none if there were too few reports.
    pub score: Option<f64>,
    /// The number of reports that counted.
    pub reports: usize,
}

/// Computes the verdicts on all members at one proxy.
#[derive(Default)]
pub struct OutlierDetector {
    proxy: u64,
    proxies: BTreeSet<Proxy>,
    members: BTreeMap<u64, TrackedMember>,
    /// The number of members that each proxy reports on.
    assignments: BTreeMap<u64, usize>,
}

/// The observations that count, by member, each with its reporter.
type CurrentReports = BTreeMap<u64, Vec<(u64, HealthObservation)>>;

impl OutlierDetector {
    /// Creates the detector of the proxy with this id.
    pub fn new(proxy: u64) -> OutlierDetector {
        OutlierDetector { proxy, ..OutlierDetector::default() }
    }

    /// Sets the proxies that are alive, this one among them.
    pub fn set_proxies(&mut self, proxies: impl Iterator<Item = Proxy>) {
        let proxies: BTreeSet<Proxy> = proxies.collect();
        if proxies == self.proxies {
            return;
        }
        self.proxies = proxies;
        for (id, member) in &mut self.members {
            member.reporters = sample_reporters(*id, member.zone, &self.proxies);
        }
        self.count_assignments();
    }

    /// Tracks a member with the zone and incarnation from the endpoint list. A new incarnation is healthy
    /// until there is evidence against it.
    ///
    /// # Errors
    ///
    /// Returns an error if [`MAX_MEMBERS`] other members are tracked.
    pub fn track_member(
        &mut self,
        member: u64,
        zone: u64,
        incarnation_ms: i64,
    ) -> Result<(), TooManyMembers> {
        let is_unchanged =
            |tracked: &TrackedMember| tracked.zone == zone && tracked.incarnation_ms == incarnation_ms;
        if self.members.get(&member).is_some_and(is_unchanged) {
            return Ok(());
        }
        if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(&member) {
            return Err(TooManyMembers);
        }
        let reporters = sample_reporters(member, zone, &self.proxies);
        self.members.insert(member, TrackedMember::new(zone, incarnation_ms, reporters));
        self.count_assignments();
        Ok(())
    }

    /// Removes the members that are no longer on the endpoint list.
    pub fn retain(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.members.retain(|member, _| is_listed(*member));
        self.count_assignments();
    }

    fn count_assignments(&mut self) {
        self.assignments.clear();
        for reporter in self.members.values().flat_map(|member| &member.reporters) {
            *self.assignments.entry(*reporter).or_default() += 1;
        }
    }

    /// Returns whether this proxy is a reporter of a member.
    pub fn is_reporter_of(&self, member: u64) -> bool {
        self.members.get(&member).is_some_and(|member| member.reporters.contains(&self.proxy))
    }

    /// Returns whether the reporters of a member should publish their observations: one of them reports it as
    /// bad, or its verdict is not healthy.
    pub fn is_in_question(&self, member: u64) -> bool {
        self.members.get(&member).is_some_and(TrackedMember::is_in_question)
    }

    /// Evaluates the current observations. Returns whether a verdict or a step of a recovery ramp changed.
    pub fn evaluate(&mut self, now: Micros, observations: impl Iterator<Item = ReportedObservation>) -> bool {
        let reports = self.current_reports(now, observations);
        let unreliable = self.unreliable_reporters(&reports);
        let max_ejected = (self.members.len() / MAX_EJECTED_DIVISOR).max(1);
        let mut ejected = self.members.values().filter(|member| !member.ejection.is_healthy()).count();
        let mut has_changed = false;
        for (id, member) in &mut self.members {
            let scores = reliable_scores(reports.get(id), &unreliable);
            let limit = if ejected < max_ejected { EjectionLimit::Available } else { EjectionLimit::Reached };
            let was_healthy = member.ejection.is_healthy();
            has_changed |= member.evaluate(now, scores, limit);
            if was_healthy && !member.ejection.is_healthy() {
                ejected += 1;
            }
        }
        has_changed
    }

    /// Returns the observations that count.
    fn current_reports(
        &self,
        now: Micros,
        observations: impl Iterator<Item = ReportedObservation>,
    ) -> CurrentReports {
        let windows = current_windows(now);
        let mut reports = CurrentReports::new();
        for ReportedObservation { member, reporter, observation } in observations {
            if self.is_valid(member, reporter, &observation, &windows) {
                reports.entry(member).or_default().push((reporter, observation));
            }
        }
        reports
    }

    /// Returns whether an observation counts: it is of the current incarnation, recent, based on enough
    /// samples, and from one of the member's reporters.
    fn is_valid(
        &self,
        member: u64,
        reporter: u64,
        observation: &HealthObservation,
        current_windows: &RangeInclusive<i64>,
    ) -> bool {
        self.members.get(&member).is_some_and(|member| {
            current_windows.contains(&observation.newest_window)
                && observation.incarnation_ms == member.incarnation_ms
                && u32::from(observation.samples) >= MIN_SAMPLES
                && member.reporters.contains(&reporter)
        })
    }

    /// Returns the reporters that report most of their members as bad, because of a bad link or because they
    /// are faulty.
    fn unreliable_reporters(&self, reports: &CurrentReports) -> BTreeSet<u64> {
        let mut bad_reports: BTreeMap<u64, usize> = BTreeMap::new();
        for (reporter, observation) in reports.values().flatten() {
            if observation.is_questionable() {
                *bad_reports.entry(*reporter).or_default() += 1;
            }
        }
        let is_unreliable = |(reporter, bad): &(u64, usize)| {
            let assigned = self.assignments.get(reporter).copied().unwrap_or(0);
            assigned >= MIN_ASSIGNMENTS && bad * 2 > assigned
        };
        bad_reports.into_iter().filter(is_unreliable).map(|(reporter, _)| reporter).collect()
    }

    /// Returns the fleet's verdict on a member.
    pub fn verdict(&self, member: u64) -> Verdict {
        self.members.get(&member).map_or(Verdict::Healthy, |member| member.ejection.verdict())
    }

    /// Returns the score of a member at the last evaluation.
    pub fn score(&self, member: u64) -> MemberScore {
        match self.members.get(&member) {
            Some(member) => MemberScore { score: member.score, reports: member.reports },
            None => MemberScore { score: None, reports: 0 },
        }
    }

    /// Returns the latency factor of each member that is an outlier for this proxy. A member on probation has
    /// no factor at the fraction of the proxies given by its step of the recovery ramp; its reporters come
    /// first.
    pub fn latency_factors(&self) -> Vec<(u64, f64)> {
        let mut factors = Vec::new();
        for (id, member) in &self.members {
            let factor = match member.ejection.verdict() {
                Verdict::Healthy => continue,
                Verdict::Degraded => DEGRADED_LATENCY_FACTOR,
                Verdict::Unhealthy => UNHEALTHY_LATENCY_FACTOR,
            };
            if !self.uses_on_probation(*id, member) {
                factors.push((*id, factor));
            }
        }
        factors
    }

    /// Returns whether this proxy is one of those that use a member on probation.
    fn uses_on_probation(&self, id: u64, member: &TrackedMember) -> bool {
        if !member.ejection.is_on_probation() {
            return false;
        }
        let proxies = (member.ejection.usage_fraction() * self.proxies.len() as f64).ceil() as usize;
        self.probation_position(id, member) < proxies.max(MIN_PROBATION_PROXIES)
    }

    /// Returns this proxy's position in the order in which proxies resume using a member: its reporters
    /// first, then the others.
    fn probation_position(&self, id: u64, member: &TrackedMember) -> usize {
        if let Some(position) = member.reporters.iter().position(|reporter| *reporter == self.proxy) {
            return position;
        }
        let hash = rendezvous_hash(id, self.proxy);
        let is_before =
            |proxy: &&Proxy| rendezvous_hash(id, proxy.id) < hash && !member.reporters.contains(&proxy.id);
        member.reporters.len() + self.proxies.iter().filter(is_before).count()
    }
}

/// Returns the range in which the newest window of an observation must be for it to count.
fn current_windows(now: Micros) -> RangeInclusive<i64> {
    let oldest = MemberSummary::window_at(now - MAX_OBSERVATION_AGE);
    let newest = MemberSummary::window_at(now + MAX_CLOCK_SKEW) + 1;
    oldest..=newest
}

/// Returns the scores of a member's reports, without those of unreliable reporters.
fn reliable_scores(
    reports: Option<&Vec<(u64, HealthObservation)>>,
    unreliable: &BTreeSet<u64>,
) -> Vec<WeightedScore> {
    let reliable = reports.into_iter().flatten().filter(|(reporter, _)| !unreliable.contains(reporter));
    reliable
        .map(|(_, observation)| WeightedScore {
            score: observation.score(),
            weight: u64::from(observation.samples).min(MAX_WEIGHT),
        })
        .collect()
}
