//! Probes, which request load reports from members: role, log position and queue.

use super::{
    Action, EndpointStatus, HostId, Micros, ProbePurpose, ProbeResult, Role, Router, LISTED_ROLE_AGE,
};

/// A probe that was not answered within this time may be sent again.
const PROBE_TIMEOUT: Micros = 300_000;
/// The load pressure shown by a report with an empty queue, in latency objectives.
const IDLE_PRESSURE: f64 = 0.2;
/// The load pressure that each typical latency of waiting in the reported queue adds.
const QUEUE_PRESSURE: f64 = 0.25;
/// The load pressure shown by a rejection for overload; also the maximum for a load report.
pub(super) const OVERLOADED_PRESSURE: f64 = 1.5;

impl Router {
    /// Probes the member, unless a probe is already in flight.
    pub(super) fn probe(&mut self, host: HostId, purpose: ProbePurpose) {
        let Some(member) = self.members.get_mut(&host) else { return };
        let is_in_flight = member.probe_sent_at.is_some_and(|sent_at| self.now - sent_at < PROBE_TIMEOUT);
        if self.settings.may_probe && !is_in_flight && member.status == EndpointStatus::Up {
            member.probe_sent_at = Some(self.now);
            self.actions.push(Action::Probe { host, purpose });
        }
    }

    /// Handles the end of a probe.
    pub(super) fn on_probe_finished(&mut self, result: &ProbeResult) {
        let Some(member) = self.members.get_mut(&result.host) else { return };
        member.probe_sent_at = None;
        member.queue.reported_at = self.now;
        let group = member.group;
        if result.answered {
            self.record_load_report(result);
        }
        self.record_reported_pressure(result);
        self.dispatch_queued(group);
    }

    /// Updates the member's state from its load report.
    fn record_load_report(&mut self, report: &ProbeResult) {
        let now = self.now;
        self.member_clock.observe(report.position, now);
        let Some(member) = self.members.get_mut(&report.host) else { return };
        member.position.observe(report.position, now);
        member.queue.length = report.queued.unwrap_or(0.0);
        // A primary's position is its current time, so it tells when the report was made.
        let reported_at = report.position.unwrap_or(now - LISTED_ROLE_AGE).min(now);
        member.roles.observe(report.role, reported_at);
        let is_primary = report.role == Some(Role::Primary);
        member.faults.observe_progress(reported_at, is_primary, now);
    }

    /// Adapts the shed level of the member's role to the reported queue.
    fn record_reported_pressure(&mut self, report: &ProbeResult) {
        let now = self.now;
        let Some(member) = self.members.get(&report.host).filter(|_| report.queued.is_some()) else { return };
        let (group, wait) = (member.group, member.queue.expected_wait(now));
        let role = self.role_of(report.host, group);
        let group_answers = self.group_answers(group);
        if let Some(group) = self.groups.get_mut(&group) {
            let load_pressure = (IDLE_PRESSURE + QUEUE_PRESSURE * wait).min(OVERLOADED_PRESSURE);
            group.shedder_mut(role).observe(load_pressure, 0, group_answers, now);
        }
    }
}
