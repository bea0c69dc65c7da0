//! Streaming responses: answers whose first bytes are passed on to the client while the rest still arrives.

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

/// An attempt whose answer is being streamed.
struct StreamingAttempt {
    attempt: InFlightAttempt,
    /// The result that the router gets when the stream ends, where it has not had it at the beginning.
    deferred_result: Option<AttemptResult>,
}

/// The attempts whose answer is being streamed; their requests stay open until the stream ends.
pub(super) struct StreamingAttempts {
    streams: HashMap<AttemptKey, StreamingAttempt>,
    /// By class: whether the router must remember the commit positions of its writes for their sessions.
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

    pub(super) fn contains(&self, key: AttemptKey) -> bool {
        self.streams.contains_key(&key)
    }

    /// The streams from a member, with the time when each attempt was sent.
    pub(super) fn sent_to(&self, host: HostId) -> impl Iterator<Item = (Micros, AttemptKey)> + '_ {
        let streams = self.streams.iter().filter(move |(_, stream)| stream.attempt.host == host);
        streams.map(|(key, stream)| (stream.attempt.sent_at, *key))
    }

    fn remembers_commit(&self, class: ClassId) -> bool {
        self.remembers_commits.get(class.0) == Some(&true)
    }
}

impl Broker {
    /// A long answer has begun, and is streamed from here on. Its member has done the work: the router hears of it
    /// now, with the latency of the first bytes, since neither the rest of them nor a client that reads slowly tells
    /// anything of the member's load. Only for a write whose commit sessions must remember the result is deferred to
    /// the end of the stream, where the commit position stands.
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

    /// A streamed answer has ended, completely or not.
    pub(super) fn on_stream_finished(&mut self, key: AttemptKey, report: AttemptReport) {
        let Some(stream) = self.streaming.streams.remove(&key) else { return };
        let StreamingAttempt { attempt, deferred_result } = stream;
        self.note_attempt_ended(key, report.outcome);
        self.gossip.report_reachability(attempt.host, attempt.sent_at, report.outcome);
        self.counts.increment("attempt", activity_counts::outcome_name(report.outcome), "");
        // Where the client left meanwhile, there is nothing more to answer or count.
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

    /// Counts the end of a request whose answer the client connection has already written.
    fn finish_streamed_request(&mut self, id: RequestId, host: HostId, report: &AttemptReport) {
        if report.outcome == AttemptOutcome::Ok {
            let primary = report.response.as_ref().and_then(|answer| answer.primary);
            self.record_served(id, host, primary);
            self.finish(id, &FinalResponse::Served(Vec::new()));
        } else {
            self.count_request(id, Disposition::Failed, "cut_off");
            self.finish(id, &FinalResponse::Failed);
        }
    }

    /// Tells the router the position that a member stated at the end of a stream. It is a position that the member has
    /// reached, and says nothing of its load.
    fn report_stream_position(&mut self, host: HostId, position: Option<Micros>) {
        let observation = |position| PeerObservation { host, position, suspected_at: 0, traits: None };
        self.notify_router(routing::Event::PeerObservations(position.map(observation).into_iter().collect()));
    }
}
