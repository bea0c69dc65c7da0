//! Streaming responses, which are forwarded to the client while the rest is still being received.

use super::attempt_table::{AttemptKey, InFlightAttempt};
use super::health_checks::role;
use super::request_log::Disposition;
use super::Broker;
use crate::activity_counts;
use std::collections::HashMap;
use wharfplank_protocol::pipeline::FinalResponse;
use wharfplank_routing::{self as routing, AttemptOutcome, HostId, Micros, RequestId, StreamedState};
use wharfplank_transport::member_pool::AttemptReport;

/// An attempt whose response is being streamed.
struct StreamingAttempt {
    attempt: InFlightAttempt,
    /// When the response started.
    started_at: Micros,
}

/// The attempts whose response is being streamed. Their requests stay open until the stream ends.
#[derive(Default)]
pub(super) struct StreamingAttempts {
    streams: HashMap<AttemptKey, StreamingAttempt>,
}

impl StreamingAttempts {
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
}

impl Broker {
    /// Handles the start of a streamed response. The member has done its work, so the result is reported to
    /// the router now, with the latency of the first bytes: the transfer of the rest, or a slow client, says
    /// nothing about the member's load.
    pub(super) fn on_stream_started(&mut self, key: AttemptKey, mut report: AttemptReport) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        let request = self.requests.get(key.request);
        if let Some((request, flow)) = request.zip(report.stream.take()) {
            request.responses.begin_stream(request.number, flow);
        }
        let result = self.attempt_result(key, attempt.host, attempt.sent_at, &report);
        let started_at = self.clock.now();
        self.streaming.streams.insert(key, StreamingAttempt { attempt, started_at });
        self.notify_router(routing::Event::AttemptFinished(result));
    }

    /// Handles the end of a streamed response, complete or not.
    pub(super) fn on_stream_finished(&mut self, key: AttemptKey, report: AttemptReport) {
        let Some(stream) = self.streaming.streams.remove(&key) else { return };
        let attempt = &stream.attempt;
        self.report_attempt_end(key, report.outcome);
        self.gossip.report_reachability(attempt.host, attempt.sent_at, report.outcome);
        self.counts.increment("attempt", activity_counts::outcome_name(report.outcome), "");
        // If the client has disconnected in the meantime, there is nothing to respond or count.
        if self.requests.contains(key.request) {
            self.finish_streamed_request(key.request, attempt.host, &report);
        }
        let state = self.streamed_state(&stream, &report);
        self.report_position(state.host, state.position);
        self.notify_router(routing::Event::StreamFinished(state));
    }

    /// Returns what the member stated about itself up to the end of a streamed response.
    fn streamed_state(&self, stream: &StreamingAttempt, report: &AttemptReport) -> StreamedState {
        let attempt = &stream.attempt;
        StreamedState {
            host: attempt.host,
            class: attempt.class,
            session: attempt.session,
            sent_at: attempt.sent_at,
            started_at: stream.started_at,
            role: report.stated.primary.map(role),
            position: self.stated_position(report.stated),
        }
    }

    /// Counts the end of a request whose response has already been written by the client connection.
    fn finish_streamed_request(&mut self, id: RequestId, host: HostId, report: &AttemptReport) {
        if report.outcome == AttemptOutcome::Ok {
            self.record_served(id, host, report.stated.primary);
            self.finish(id, &FinalResponse::Served(Vec::new()));
        } else {
            self.count_request_result(id, Disposition::Failed, "cut_off");
            self.finish(id, &FinalResponse::Failed);
        }
    }
}
