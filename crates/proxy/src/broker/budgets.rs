//! Applies the fleet's budgets to requests, retries, health checks and connections. Denials are reported to
//! the router, which decides how to proceed.

use super::attempt_table::AttemptKey;
use super::Broker;
use std::collections::VecDeque;
use wharfplank_routing::{self as routing, Action, AttemptOutcome, GroupId, HostId, Micros};
use wharfplank_transport::member_pool::AttemptReport;

/// The denials that have to be reported to the router.
#[derive(Default)]
pub(super) struct BudgetDenials {
    /// Whether the router was last notified that retries are denied.
    retries: bool,
    /// Members whose health check was denied, to be reported to the router after the current event.
    health_checks: VecDeque<HostId>,
}

impl BudgetDenials {
    pub(super) fn push_health_check(&mut self, host: HostId) {
        self.health_checks.push_back(host);
    }
}

impl Broker {
    /// Charges a request of this group to the budgets; returns true if they have no capacity for it.
    pub(super) fn is_over_budget(&mut self, group: GroupId) -> bool {
        let is_denied =
            self.pools.budgets.as_ref().is_some_and(|budgets| !budgets.try_spend_request(group.0));
        if is_denied {
            self.counts.increment("budget", "denied", "");
        }
        is_denied
    }

    /// Notifies the router if the permission to send retries has changed.
    pub(super) fn update_retry_permission(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let is_denied = self.pools.budgets.as_ref().is_some_and(|budgets| !budgets.can_retry());
        if is_denied != self.budget_denials.retries {
            self.budget_denials.retries = is_denied;
            self.router.handle(now, routing::Event::RetriesAllowed(!is_denied), actions);
        }
    }

    /// Reports denied health checks to the router. It decides without their results and does not treat the
    /// members as faulty.
    pub(super) fn report_denied_health_checks(&mut self) {
        while let Some(host) = self.budget_denials.health_checks.pop_front() {
            self.counts.increment("probed", "denied", "");
            let result =
                routing::ProbeResult { host, answered: false, role: None, position: None, queued: None };
            self.route(self.clock.now(), routing::Event::ProbeFinished(result));
        }
    }

    /// Cancels attempts, oldest first, whose connections exceed the fleet's budget. Idle connections over the
    /// budget are closed by the maintenance of the pools.
    pub(super) fn cancel_attempts_over_budget(&mut self) {
        for (host, overdue) in self.overdue_connections() {
            for key in self.oldest_started_attempts(host, overdue) {
                self.cancel_over_budget(key);
            }
        }
        self.report_finished_attempts();
    }

    /// Returns the members with connections in use that must be closed now, and the number of these
    /// connections.
    fn overdue_connections(&self) -> Vec<(HostId, usize)> {
        let excess =
            self.endpoints.members.iter().map(|(host, member)| (*host, member.excess().overdue as usize));
        excess.filter(|(_, overdue)| *overdue > 0).collect()
    }

    fn oldest_started_attempts(&self, host: HostId, count: usize) -> Vec<AttemptKey> {
        let mut started: Vec<(Micros, AttemptKey)> = self.attempts.started_at_member(host).collect();
        started.extend(self.streaming.sent_to(host));
        started.sort_unstable();
        started.into_iter().take(count).map(|(_, key)| key).collect()
    }

    fn cancel_over_budget(&mut self, key: AttemptKey) {
        self.counts.increment("budget", "broken_off", "");
        if self.streaming.contains(key) {
            self.on_stream_finished(key, AttemptReport::without_response(AttemptOutcome::Cancelled));
        } else {
            self.end_attempt(key, AttemptOutcome::Cancelled);
        }
    }
}
