//! The fleet's budgets, applied to requests, retries, health checks and connections. What a budget denies is reported
//! to the router, which decides what follows.

use super::attempt_table::AttemptKey;
use super::Broker;
use std::collections::VecDeque;
use wharfplank_routing::{self as routing, Action, AttemptOutcome, GroupId, HostId, Micros};
use wharfplank_transport::member_pool::AttemptReport;

/// What the budgets have denied.
#[derive(Default)]
pub(super) struct BudgetDenials {
    /// Whether the router was told that no retries may be sent.
    retries: bool,
    /// Members whose health check was denied; the router hears of them after the event in hand.
    health_checks: VecDeque<HostId>,
}

impl BudgetDenials {
    pub(super) fn push_health_check(&mut self, host: HostId) {
        self.health_checks.push_back(host);
    }
}

impl Broker {
    /// Takes one more request of this group from the budgets; true where they have no capacity for it.
    pub(super) fn is_over_budget(&mut self, group: GroupId) -> bool {
        let is_denied =
            self.pools.budgets.as_ref().is_some_and(|budgets| !budgets.try_spend_request(group.0));
        if is_denied {
            self.counts.increment("budget", "denied", "");
        }
        is_denied
    }

    /// Tells the router whether retries may be sent, where that has changed.
    pub(super) fn update_retry_permission(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let is_denied = self.pools.budgets.as_ref().is_some_and(|budgets| !budgets.can_retry());
        if is_denied != self.budget_denials.retries {
            self.budget_denials.retries = is_denied;
            self.router.handle(now, routing::Event::RetriesAllowed(!is_denied), actions);
        }
    }

    /// Tells the router of health checks that a budget denied: it decides without their results, and no member is
    /// taken for faulty.
    pub(super) fn report_denied_health_checks(&mut self) {
        while let Some(host) = self.budget_denials.health_checks.pop_front() {
            self.counts.increment("probed", "denied", "");
            let result =
                routing::ProbeResult { host, answered: false, role: None, position: None, queued: None };
            self.route(self.clock.now(), routing::Event::ProbeFinished(result));
        }
    }

    /// Cancels attempts, the oldest first, whose connections the fleet's budget no longer allows. Idle connections
    /// over the budget are closed as the pools are maintained.
    pub(super) fn cancel_attempts_over_budget(&mut self) {
        for (host, overdue) in self.overdue_connections() {
            for key in self.oldest_begun_attempts(host, overdue) {
                self.cancel_over_budget(key);
            }
        }
        self.report_finished_attempts();
    }

    /// The members with connections that must close now even though they are in use, and the number of these.
    fn overdue_connections(&self) -> Vec<(HostId, usize)> {
        let excess =
            self.endpoints.members.iter().map(|(host, member)| (*host, member.excess().overdue as usize));
        excess.filter(|(_, overdue)| *overdue > 0).collect()
    }

    fn oldest_begun_attempts(&self, host: HostId, count: usize) -> Vec<AttemptKey> {
        let mut begun: Vec<(Micros, AttemptKey)> = self.attempts.begun_at(host).collect();
        begun.extend(self.streaming.sent_to(host));
        begun.sort_unstable();
        begun.into_iter().take(count).map(|(_, key)| key).collect()
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
