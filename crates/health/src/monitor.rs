//! Outlier detection at one proxy: its own observations, their publication, and the verdicts.

use crate::detector::{OutlierDetector, ReportedObservation};
use crate::observation::{HealthObservation, Outcome};
use crate::observation_log::ObservationLog;
use crate::reporters::Proxy;
use crate::window::LOG_RATIO_SCALE;
use crate::{Micros, Verdict};
use std::collections::BTreeMap;

/// The change of the log ratio from which an observation is published again before the refresh interval has
/// passed.
const SIGNIFICANT_CHANGE: f64 = 0.05;
/// The minimum interval between two published observations of a member.
const MIN_PUBLISH_INTERVAL: Micros = 250_000;
/// The interval at which an observation is published while its member is in question, so that it does not
/// expire at other proxies.
const REFRESH_INTERVAL: Micros = 1_000_000;

/// The last published observation of a member.
struct Published {
    at: Micros,
    log_ratio: i16,
}

/// Outlier detection at one proxy.
pub struct HealthMonitor {
    log: ObservationLog,
    detector: OutlierDetector,
    published: BTreeMap<u64, Published>,
    /// This proxy's own observations, as last computed.
    own_observations: BTreeMap<u64, HealthObservation>,
}

impl HealthMonitor {
    /// Creates the monitor of the proxy with this id.
    pub fn new(proxy: u64) -> HealthMonitor {
        HealthMonitor {
            log: ObservationLog::default(),
            detector: OutlierDetector::new(proxy),
            published: BTreeMap::new(),
            own_observations: BTreeMap::new(),
        }
    }

    /// Sets the proxies that are alive, this one among them.
    pub fn set_proxies(&mut self, proxies: impl Iterator<Item = Proxy>) {
        self.detector.set_proxies(proxies);
    }

    /// Tracks a member with the zone and incarnation from the endpoint list.
    pub fn track_member(&mut self, member: u64, zone: u64, incarnation_ms: i64) {
        if self.detector.track_member(member, zone, incarnation_ms).is_ok() {
            self.log.track_member(member, incarnation_ms);
        }
    }

    /// Removes the members that are no longer on the endpoint list.
    pub fn retain(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.log.retain(&is_listed);
        self.detector.retain(&is_listed);
        self.published.retain(|member, _| is_listed(*member));
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: Micros, member: u64, outcome: Outcome) {
        self.log.record(now, member, outcome);
    }

    /// Records a member's replication lag.
    pub fn record_lag(&mut self, now: Micros, member: u64, lag: Micros) {
        self.log.record_lag(now, member, lag);
    }

    /// Returns the observations to publish now: those of members that this proxy reports on, if it or another
    /// reporter observed them as bad. Nothing is published about members without evidence against them.
    pub fn take_observations(&mut self, now: Micros) -> Vec<(u64, HealthObservation)> {
        let mut due = Vec::new();
        let observations = self.log.observations(now);
        for (&member, &observation) in &observations {
            let is_of_interest = observation.is_questionable() || self.detector.is_in_question(member);
            if !is_of_interest || !self.detector.is_reporter_of(member) {
                continue;
            }
            if self.is_due(now, member, &observation) {
                let log_ratio = observation.log_ratio;
                self.published.insert(member, Published { at: now, log_ratio });
                due.push((member, observation));
            }
        }
        self.own_observations = observations;
        due
    }

    fn is_due(&self, now: Micros, member: u64, observation: &HealthObservation) -> bool {
        let Some(last) = self.published.get(&member) else { return true };
        let change = f64::from(observation.log_ratio - last.log_ratio).abs() / LOG_RATIO_SCALE;
        let interval = if change >= SIGNIFICANT_CHANGE { MIN_PUBLISH_INTERVAL } else { REFRESH_INTERVAL };
        now - last.at >= interval
    }

    /// Evaluates all current observations, including this proxy's own. Returns whether a verdict or a step of
    /// a recovery ramp changed.
    pub fn evaluate(&mut self, now: Micros, observations: impl Iterator<Item = ReportedObservation>) -> bool {
        self.detector.evaluate(now, observations)
    }

    /// Returns the fleet's verdict on a member.
    pub fn verdict(&self, member: u64) -> Verdict {
        self.detector.verdict(member)
    }

    /// Returns the latency factors of outliers, see [`OutlierDetector::latency_factors`].
    pub fn latency_factors(&self) -> Vec<(u64, f64)> {
        self.detector.latency_factors()
    }

    /// Returns this proxy's own observations, as of the last [`HealthMonitor::take_observations`].
    pub fn own_observations(&self) -> &BTreeMap<u64, HealthObservation> {
        &self.own_observations
    }

    /// Returns this proxy's own summaries of the members.
    pub fn log(&self) -> &ObservationLog {
        &self.log
    }

    /// Returns the detector, which holds the verdicts.
    pub fn detector(&self) -> &OutlierDetector {
        &self.detector
    }
}
