//! Probes of members: load reports with role, log position and queue.

use super::{
    Action, EndpointStatus, HostId, Micros, ProbePurpose, ProbeResult, Role, Router, LISTED_ROLE_AGE,
};

/// A probe without an answer may be sent again after this time.
const PROBE_TIMEOUT: Micros = 300_000;
/// The strain of a load report with nothing queued, in latency objectives.
const IDLE_STRAIN: f64 = 0.2;
/// The strain that each usual latency of waiting in the reported queue adds.
const QUEUE_STRAIN: f64 = 0.25;
/// The strain of a member that is at capacity, as of a rejection for overload.
pub(super) const OVERLOADED_STRAIN: f64 = 1.5;

impl Router {
    /// Probes the member, unless a probe is already out.
    pub(super) fn probe(&mut self, host: HostId, purpose: ProbePurpose) {
        let Some(member) = self.members.get_mut(&host) else { return };
        let is_out = member.probe_sent_at.is_some_and(|sent_at| self.now - sent_at < PROBE_TIMEOUT);
        if self.settings.may_probe && !is_out && member.status == EndpointStatus::Up {
            member.probe_sent_at = Some(self.now);
            self.actions.push(Action::Probe { host, purpose });
        }
    }

    /// A probe ended.
    pub(super) fn on_probe_finished(&mut self, result: &ProbeResult) {
        let Some(member) = self.members.get_mut(&result.host) else { return };
        member.probe_sent_at = None;
        member.queue.reported_at = self.now;
        let group = member.group;
        if result.answered {
            self.record_load_report(result);
        }
        self.record_reported_strain(result);
        self.dispatch_queued(group);
    }

    /// Learns from a load report about the member itself.
    fn record_load_report(&mut self, report: &ProbeResult) {
        let now = self.now;
        self.member_clock.observe(report.position, now);
        let Some(member) = self.members.get_mut(&report.host) else { return };
        member.position.observe(report.position, now);
        member.queue.length = report.queued.unwrap_or(0.0);
        // The position of a primary is the present: it dates the report.
        let reported_at = report.position.unwrap_or(now - LISTED_ROLE_AGE).min(now);
        member.roles.observe(report.role, reported_at);
        let is_primary = report.role == Some(Role::Primary);
        member.faults.observe_progress(reported_at, is_primary, now);
    }

    /// Learns from the reported queue how much load is to be shed.
    fn record_reported_strain(&mut self, report: &ProbeResult) {
        let now = self.now;
        let Some(member) = self.members.get(&report.host).filter(|_| report.queued.is_some()) else { return };
        let (group, wait) = (member.group, member.queue.expected_wait(now));
        let role = self.role_of(report.host, group);
        let group_answers = self.group_answers(group);
        if let Some(group) = self.groups.get_mut(&group) {
            let strain = (IDLE_STRAIN + QUEUE_STRAIN * wait).min(OVERLOADED_STRAIN);
            group.shedder_mut(role).observe(strain, 0, group_answers, now);
        }
    }
}
