//! Combines the observations of all reporters to a score and a verdict for each member.
//!
//! What bounds the influence of a report: a member's score is the median of its reporters' scores, weighted by their
//! samples, with no weight above the median weight. So a report that claims many samples weighs no more than most, and
//! moving the score past everything that the others report takes half of the weight, not one loud proxy nor a tenth of
//! them. Where only three to five of more reporters have seen enough to report, one that lies is a fifth or a third of
//! them: the worst of such few reports is dropped.

use crate::ejection::{EjectionLimit, Verdict, DEGRADED_LATENCY_FACTOR, OUT_LATENCY_FACTOR};
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

/// How often the driver evaluates: once in each window.
pub const EVALUATION_INTERVAL: Micros = WINDOW_LENGTH;
/// The number of members that are tracked; further ones have no verdict.
pub const MAX_MEMBERS: usize = 1024;
/// An observation counts while its newest window is no older than this.
const MAX_OBSERVATION_AGE: Micros = 3_000_000;
/// An observation counts if its newest window is no further ahead than this: clocks differ.
const MAX_CLOCK_SKEW: Micros = 2_000_000;
/// The greatest weight of one report, whatever the others are.
const MAX_WEIGHT: u64 = 64;
/// One in so many of the members may be ejected at once: more of them point to load or the network, not to members.
const EJECTED_ONE_IN: usize = 3;
/// A proxy that reports on at least so many members, and sees more than half of them bad, is not counted.
const MIN_ASSIGNMENTS: usize = 3;
/// At least so many proxies use a member on probation.
const MIN_PROBATION_PROXIES: usize = 2;

/// A reporter's observation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedObservation {
    /// The member.
    pub member: u64,
    /// The proxy that observed it.
    pub reporter: u64,
    /// What it observed.
    pub observation: HealthObservation,
}

/// [`MAX_MEMBERS`] members are tracked already.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("{MAX_MEMBERS} members are tracked already")]
pub struct TooManyMembers;

/// The score of a member, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberScore {
    /// The score; none if there were too few reports.
    pub score: Option<f64>,
    /// The number of reports that counted.
    pub reports: usize,
}

/// One proxy's verdicts on all members.
#[derive(Default)]
pub struct OutlierDetector {
    proxy: u64,
    proxies: BTreeSet<Proxy>,
    members: BTreeMap<u64, TrackedMember>,
    /// The number of members that each proxy reports on.
    assignments: BTreeMap<u64, usize>,
}

/// The observations that count, by member.
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

    /// Tracks a member as the endpoint list has it. Another incarnation of it is sound until there is evidence against
    /// it.
    ///
    /// # Errors
    ///
    /// If there is no room for it.
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

    /// Forgets the members that are no longer on the endpoint list.
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

    /// Whether this proxy reports on a member.
    pub fn is_reporter_of(&self, member: u64) -> bool {
        self.members.get(&member).is_some_and(|member| member.reporters.contains(&self.proxy))
    }

    /// Whether a reporter sees a member bad, or it is not sound: its reporters are to publish their observations.
    pub fn is_in_question(&self, member: u64) -> bool {
        self.members.get(&member).is_some_and(TrackedMember::is_in_question)
    }

    /// Evaluates the current observations. Returns whether a verdict or a step of a recovery ramp changed.
    pub fn evaluate(&mut self, now: Micros, observations: impl Iterator<Item = ReportedObservation>) -> bool {
        let reports = self.current_reports(now, observations);
        let unreliable = self.unreliable_reporters(&reports);
        let max_ejected = (self.members.len() / EJECTED_ONE_IN).max(1);
        let mut ejected = self.members.values().filter(|member| !member.ejection.is_sound()).count();
        let mut has_changed = false;
        for (id, member) in &mut self.members {
            let scores = reliable_scores(reports.get(id), &unreliable);
            let limit = if ejected < max_ejected { EjectionLimit::Available } else { EjectionLimit::Reached };
            let was_sound = member.ejection.is_sound();
            has_changed |= member.evaluate(now, scores, limit);
            if was_sound && !member.ejection.is_sound() {
                ejected += 1;
            }
        }
        has_changed
    }

    /// The observations that count.
    fn current_reports(
        &self,
        now: Micros,
        observations: impl Iterator<Item = ReportedObservation>,
    ) -> CurrentReports {
        let windows = current_windows(now);
        let mut reports = CurrentReports::new();
        for ReportedObservation { member, reporter, observation } in observations {
            if self.counts(member, reporter, &observation, &windows) {
                reports.entry(member).or_default().push((reporter, observation));
            }
        }
        reports
    }

    /// Whether an observation is of the current incarnation, recent, based on enough samples, and by one of the member's
    /// reporters.
    fn counts(
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

    /// The reporters that see most of their members bad: they see them over a bad link, or lie.
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

    /// The fleet's verdict on a member.
    pub fn verdict(&self, member: u64) -> Verdict {
        self.members.get(&member).map_or(Verdict::Sound, |member| member.ejection.verdict())
    }

    /// The score of a member at the last evaluation.
    pub fn score(&self, member: u64) -> MemberScore {
        match self.members.get(&member) {
            Some(member) => MemberScore { score: member.score, reports: member.reports },
            None => MemberScore { score: None, reports: 0 },
        }
    }

    /// The latency factor for each member that is not as good as the others at this proxy. A member on probation has none
    /// at the fraction of the proxies that its step of the recovery ramp gives, its reporters first of all.
    pub fn latency_factors(&self) -> Vec<(u64, f64)> {
        let mut factors = Vec::new();
        for (id, member) in &self.members {
            let factor = match member.ejection.verdict() {
                Verdict::Sound => continue,
                Verdict::Degraded => DEGRADED_LATENCY_FACTOR,
                Verdict::Out => OUT_LATENCY_FACTOR,
            };
            if !self.uses_on_probation(*id, member) {
                factors.push((*id, factor));
            }
        }
        factors
    }

    /// Whether this proxy is one of those that use a member on probation.
    fn uses_on_probation(&self, id: u64, member: &TrackedMember) -> bool {
        if !member.ejection.is_on_probation() {
            return false;
        }
        let proxies = (member.ejection.usage_fraction() * self.proxies.len() as f64).ceil() as usize;
        self.probation_position(id, member) < proxies.max(MIN_PROBATION_PROXIES)
    }

    /// This proxy's position in the order in which proxies use a member again: its reporters first, then the others.
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

/// The newest windows that an observation may have to count at a time.
fn current_windows(now: Micros) -> RangeInclusive<i64> {
    let oldest = MemberSummary::window_at(now - MAX_OBSERVATION_AGE);
    let newest = MemberSummary::window_at(now + MAX_CLOCK_SKEW) + 1;
    oldest..=newest
}

/// The scores of a member's reports, without those of unreliable reporters.
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
