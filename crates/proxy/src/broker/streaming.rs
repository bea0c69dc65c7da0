//! Streaming responses, which are forwarded to the client while the rest is still being received.

use super::attempt_table::{AttemptKey, InFlightAttempt};
use super::request_log::Disposition;
use super::Broker;
use crate::activity_counts;
use std::collections::HashMap;
use wharfplank_protocol::pipeline::FinalResponse;
use wharfplank_routing::{
    self as routing, AttemptOutcome, AttemptResult, Class, ClassId, Consistency, HostId, Micros,
    PeerObservation, RequestId, Settings,
};
use wharfplank_transport::member_pool::AttemptReport;

/// An attempt whose response is being streamed.
struct StreamingAttempt {
    attempt: InFlightAttempt,
    /// The result to be reported to the router at the end of the stream, unless it was reported at the start.
    deferred_result: Option<AttemptResult>,
}

/// The attempts whose response is being streamed. Their requests stay open until the stream ends.
pub(super) struct StreamingAttempts {
    streams: HashMap<AttemptKey, StreamingAttempt>,
    /// For each class, whether the router must remember the commit positions of its writes for their
    /// sessions.
    remembers_commits: Vec<bool>,
}

impl StreamingAttempts {
    pub(super) fn new(settings: &Settings) -> Self {
        let remembers =
            |class: &Class| class.consistency == Consistency::Write && !settings.sessions_carry_tokens;
        StreamingAttempts {
            streams: HashMap::new(),
            remembers_commits: settings.classes.iter().map(remembers).collect(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.streams.len()
    }

    pub(super) fn contains(&self, key: AttemptKey) -> bool {
        self.streams.contains_key(&key)
    }

    /// Returns the streams from a member, with the time at which each attempt was sent.
    pub(super) fn sent_to(&self, host: HostId) -> impl Iterator<Item = (Micros, AttemptKey)> + '_ {
        let streams = self.streams.iter().filter(move |(_, stream)| stream.attempt.host == host);
        streams.map(|(key, stream)| (stream.attempt.sent_at, *key))
    }

    fn remembers_commit(&self, class: ClassId) -> bool {
        self.remembers_commits.get(class.0) == Some(&true)
    }
}

impl Broker {
    /// Handles the start of a streamed response. The member has done its work, so the result is reported to
    /// the router now, with the latency of the first bytes: the transfer of the rest, or a slow client, says
    /// nothing about the member's load. For a write whose commit position must be remembered for its session
    /// the result is deferred to the end of the stream, where the position is stated.
    pub(super) fn on_stream_started(&mut self, key: AttemptKey, mut report: AttemptReport) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        let request = self.requests.get(key.request);
        if let Some((request, flow)) = request.zip(report.stream.take()) {
            request.responses.begin_stream(request.number, flow);
        }
        let result = self.attempt_result(key, attempt.host, attempt.sent_at, &report);
        let request = self.requests.get(key.request);
        let is_deferred = request.is_some_and(|request| self.streaming.remembers_commit(request.class));
        let deferred_result = is_deferred.then(|| result.clone());
        self.streaming.streams.insert(key, StreamingAttempt { attempt, deferred_result });
        if !is_deferred {
            self.notify_router(routing::Event::AttemptFinished(result));
        }
    }

    /// Handles the end of a streamed response, complete or not.
    pub(super) fn on_stream_finished(&mut self, key: AttemptKey, report: AttemptReport) {
        let Some(stream) = self.streaming.streams.remove(&key) else { return };
        let StreamingAttempt { attempt, deferred_result } = stream;
        self.report_attempt_end(key, report.outcome);
        self.gossip.report_reachability(attempt.host, attempt.sent_at, report.outcome);
        self.counts.increment("attempt", activity_counts::outcome_name(report.outcome), "");
        // If the client has disconnected in the meantime, there is nothing to respond or count.
        if self.requests.contains(key.request) {
            self.finish_streamed_request(key.request, attempt.host, &report);
        }
        let final_result = self.attempt_result(key, attempt.host, attempt.sent_at, &report);
        self.gossip.report_position(self.clock.now(), attempt.host, final_result.position);
        match deferred_result {
            Some(deferred) => {
                let result =
                    AttemptResult { role: final_result.role, position: final_result.position, ..deferred };
                self.notify_router(routing::Event::AttemptFinished(result));
            }
            None => self.report_stream_position(attempt.host, final_result.position),
        }
    }

    /// Counts the end of a request whose response has already been written by the client connection.
    fn finish_streamed_request(&mut self, id: RequestId, host: HostId, report: &AttemptReport) {
        if report.outcome == AttemptOutcome::Ok {
            let primary = report.response.as_ref().and_then(|answer| answer.primary);
            self.record_served(id, host, primary);
            self.finish(id, &FinalResponse::Served(Vec::new()));
        } else {
            self.count_request_result(id, Disposition::Failed, "cut_off");
            self.finish(id, &FinalResponse::Failed);
        }
    }

    /// Reports to the router the log position that a member stated at the end of a stream. It says nothing
    /// about the member's load.
    fn report_stream_position(&mut self, host: HostId, position: Option<Micros>) {
        let observation = |position| PeerObservation { host, position, suspected_at: 0, traits: None };
        self.notify_router(routing::Event::PeerObservations(position.map(observation).into_iter().collect()));
    }
}
