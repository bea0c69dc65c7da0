//! Health checks of members: starts them and reads the load reports.

use super::{Broker, MAX_POSITION_AHEAD};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_protocol::load_report::{self, ReportValue};
use wharfplank_routing::{self as routing, AttemptOutcome, HostId, Micros, ProbeResult, Role};
use wharfplank_transport::ProxyEvent;

const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// The minimum value of a report's role column that denotes the primary.
const PRIMARY_THRESHOLD: f64 = 0.5;

impl Broker {
    /// Starts a health check of a member, unless a budget denies it.
    pub(super) fn start_health_check(&mut self, host: HostId) {
        let Some(member) = self.endpoints.members.get(&host) else { return };
        let budgets = self.pools.budgets.as_ref();
        if budgets.is_some_and(|budgets| !budgets.try_spend_health_check(member.name())) {
            return self.budget_denials.push_health_check(host);
        }
        let member = Rc::clone(member);
        let events = self.events.clone();
        let task = async move {
            let report = member.probe(HEALTH_CHECK_TIMEOUT).await;
            let _ = events.send(ProxyEvent::ProbeFinished { host, report }).await;
        };
        self.pools.executor.spawn(task).detach();
    }

    /// Handles the end of a health check. Without a valid report the check has failed.
    pub(super) fn on_health_check_result(&mut self, host: HostId, report: Option<String>) {
        let result = self.read_load_report(host, report.as_deref());
        self.counts.increment("probed", if result.answered { "ok" } else { "failed" }, "");
        self.recorder.record_health_check(host, result.answered);
        let position = result.position.filter(|_| result.answered);
        self.report_position(host, position);
        let sent_at = self.clock.now() - HEALTH_CHECK_TIMEOUT.as_micros() as Micros;
        self.gossip.report_reachability(
            host,
            sent_at,
            if result.answered { AttemptOutcome::Ok } else { AttemptOutcome::Timeout },
        );
        self.notify_router(routing::Event::ProbeFinished(result));
    }

    /// Reads the columns of a load report. An unreadable report, or one whose position is ahead of the clock,
    /// counts as a failed check.
    fn read_load_report(&self, host: HostId, report: Option<&str>) -> ProbeResult {
        let columns = report.and_then(|text| load_report::parse(text, &self.parameters.report_columns));
        let mut result =
            ProbeResult { host, answered: columns.is_some(), role: None, position: None, queued: None };
        for ReportValue { name, value } in columns.unwrap_or_default() {
            match name {
                "x0" => {
                    let position = load_report::seconds_to_micros(value);
                    let latest = self.clock.now() + MAX_POSITION_AHEAD;
                    result.answered &= position.is_some_and(|position| position <= latest);
                    result.position = position.filter(|position| *position > 0);
                }
                "x1" => result.role = value.parse().ok().map(|v: f64| role(v >= PRIMARY_THRESHOLD)),
                "q" | "queue" => result.queued = value.parse().ok(),
                _ => {}
            }
        }
        result
    }
}

/// Converts a member's statement of whether it is the primary to a role.
pub(super) fn role(is_primary: bool) -> Role {
    if is_primary {
        Role::Primary
    } else {
        Role::Replica
    }
}
