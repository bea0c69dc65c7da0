//! Reports the results of requests to the counters, the debug log and the records.

use super::request_table::{AttemptOutcomeAt, OpenRequest};
use super::Broker;
use crate::log::UnservedRequest;
use crate::recording::{DecisionRecorder, RequestSummary};
use crate::{activity_counts, log};
use wharfplank_routing::{AttemptOutcome, HostId, RequestId};

/// The kind of a request's final response, as named by the counters.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Disposition {
    Served,
    Rejected,
    Failed,
}

impl Disposition {
    fn name(self) -> &'static str {
        match self {
            Disposition::Served => "served",
            Disposition::Rejected => "refused",
            Disposition::Failed => "failed",
        }
    }
}

impl Broker {
    /// Counts the result of an open request and its reason. A request that is not served is also logged with
    /// the client's id, by which it can be traced through the logs of all proxies.
    pub(super) fn count_request_result(
        &mut self,
        id: RequestId,
        disposition: Disposition,
        why: &'static str,
    ) {
        if !self.counts.is_enabled() {
            return;
        }
        let Some(request) = self.requests.get(id) else { return };
        if let Some(class) = self.parameters.class_names.get(request.class.0) {
            self.counts.increment(disposition.name(), why, class);
        }
        if disposition != Disposition::Served {
            self.log_unserved(request, disposition, why);
        }
    }

    fn log_unserved(&self, request: &OpenRequest, disposition: Disposition, why: &'static str) {
        let names = self.endpoints.names_by_id();
        let outcomes = request.attempt_outcomes.iter().map(|AttemptOutcomeAt { host, outcome }| {
            format!("{}:{}", names.get(host).unwrap_or(&"-"), activity_counts::outcome_name(*outcome))
        });
        let outcomes = outcomes.collect::<Vec<_>>().join(",");
        let took_ms = (self.clock.now() - request.arrived_at) / 1000;
        log::request_unserved(&UnservedRequest {
            id: &request.client_id,
            class: self.parameters.class_names.get(request.class.0).map_or("-", String::as_str),
            group: request.group.0,
            disposition: disposition.name(),
            reason: why,
            took_ms,
            outcomes: &outcomes,
        });
    }

    /// Stores the outcome of an attempt for the log line of a request that is not served.
    pub(super) fn store_attempt_outcome(&mut self, id: RequestId, host: HostId, outcome: AttemptOutcome) {
        if !self.counts.is_enabled() {
            return;
        }
        let max_outcomes = self.attempt_policy.max_attempts as usize;
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.attempt_outcomes.len() < max_outcomes {
            request.attempt_outcomes.push(AttemptOutcomeAt { host, outcome });
        }
    }

    /// Counts and records an open request that a member has served; `primary` is the role stated in the
    /// response.
    pub(super) fn record_served(&mut self, id: RequestId, host: HostId, primary: Option<bool>) {
        let role = if primary == Some(true) { "primary" } else { "replica" };
        self.count_request_result(id, Disposition::Served, role);
        self.record_request(id, |recorder, request| {
            recorder.record_served(RequestSummary { member: Some(host), ..request });
        });
    }

    /// Records the result of an open request if recording is enabled.
    pub(super) fn record_request(
        &self,
        id: RequestId,
        record: impl FnOnce(&DecisionRecorder, RequestSummary),
    ) {
        if !self.recorder.is_enabled() {
            return;
        }
        let Some(request) = self.requests.get(id) else { return };
        let summary = RequestSummary {
            class: request.class,
            group: request.group,
            member: None,
            attempts: request.attempts,
            took: self.clock.now() - request.arrived_at,
        };
        record(&self.recorder, summary);
    }
}
