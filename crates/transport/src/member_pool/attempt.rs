//! Attempts and health checks: sending a query on a connection and reading the response.

use super::connection::MemberConnection;
use super::end_reason::{EndReason, ReadError};
use super::forwarder::StreamForwarder;
use super::{AttemptCompletion, AttemptLimits, AttemptReport, AttemptStage, MemberPool};
use crate::response_stream;
use crate::{with_deadline, Statement};
use futures_lite::AsyncWriteExt;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::member_request;
use wharfplank_protocol::member_response::{ResponseEvent, ResponseKind, StatedState};
use wharfplank_routing::AttemptOutcome;

/// The query for a member's load report.
const LOAD_REPORT_QUERY: &[u8] = b"SHOW load";

/// The reason why a query was not written completely, in which case it is never executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum SendError {
    /// The connection was reset.
    #[error("connection reset before the query was written completely")]
    Reset,
    /// The time limit for writing passed.
    #[error("query was not written within the time limit")]
    Expired,
}

impl SendError {
    fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            SendError::Reset => AttemptOutcome::ConnectFailed,
            SendError::Expired => AttemptOutcome::NotSent,
        }
    }
}

/// The origin of a query.
#[derive(Clone, Copy)]
enum Origin<'a> {
    /// A client request. Its attempts are counted, and it is not sent if the client no longer waits for it.
    Client { is_awaited: &'a dyn Fn() -> bool },
    /// A health check of this proxy.
    HealthCheck,
}

impl MemberPool {
    /// Sends a statement and waits for its response. The statement carries the time left until the deadline.
    ///
    /// The attempt ends as not sent if it is not written by `send_by`, or if `is_awaited` returns false just
    /// before the first byte. A long response is reported as soon as it starts; the caller has to run the
    /// forwarder in the result after the report.
    pub async fn attempt(
        self: Rc<Self>,
        statement: Rc<Statement>,
        stage: Rc<Cell<AttemptStage>>,
        limits: AttemptLimits,
        is_awaited: impl Fn() -> bool,
    ) -> AttemptCompletion {
        let write_query = |out: &mut Vec<u8>| {
            let remaining = limits.deadline.saturating_duration_since(Instant::now());
            statement.write_with_timeout(out, remaining.as_millis().max(1) as i64);
        };
        let origin = Origin::Client { is_awaited: &is_awaited };
        self.exchange(write_query, &stage, limits, origin).await
    }

    /// Requests the member's load report. Returns `None` if it does not arrive within `timeout`.
    pub async fn probe(self: Rc<Self>, timeout: Duration) -> Option<String> {
        let write_query = |out: &mut Vec<u8>| out.extend_from_slice(LOAD_REPORT_QUERY);
        let limits = AttemptLimits { deadline: Instant::now() + timeout, send_by: None };
        let stage = Cell::default();
        let completion = self.exchange(write_query, &stage, limits, Origin::HealthCheck).await;
        let response = completion.report.response.filter(|response| response.kind == ResponseKind::Row)?;
        String::from_utf8(response.messages.get(response.value)?.to_vec()).ok()
    }

    /// Sends a query on a connection of the pool and reads the response.
    async fn exchange(
        self: &Rc<Self>,
        write_query: impl FnOnce(&mut Vec<u8>),
        stage: &Cell<AttemptStage>,
        limits: AttemptLimits,
        origin: Origin<'_>,
    ) -> AttemptCompletion {
        let started = Instant::now();
        let send_until = limits.send_until();
        let mut connection = match self.acquire_until(started, send_until).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome.into(),
        };
        if matches!(origin, Origin::Client { is_awaited } if !is_awaited()) {
            self.release(connection);
            return AttemptOutcome::NotSent.into();
        }
        stage.set(AttemptStage::Writing);
        let idle_time = connection.begin_request();
        if let Err(error) =
            connection.send_query(member_request::query_message(write_query), send_until).await
        {
            return error.attempt_outcome().into();
        }
        stage.set(AttemptStage::Written);
        if let Origin::Client { .. } = origin {
            self.context.metrics.record_dispatch();
        }
        match with_deadline(limits.deadline, connection.read_event()).await {
            Some(Ok(ResponseEvent::Complete(response))) => connection.complete(response).into(),
            Some(Ok(ResponseEvent::StreamStarted { bytes: first, remaining, stated })) => {
                self.begin_stream(connection, first, remaining, stated)
            }
            // A chunk cannot precede the start of its stream.
            Some(Ok(ResponseEvent::StreamChunk(_))) => AttemptOutcome::Error.into(),
            Some(Err(error)) => self.on_read_failed(connection, error, idle_time),
            None => self.on_response_timeout(connection, started),
        }
    }

    /// Acquires a connection that is ready for sending, by `send_until`.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if no connection was acquired.
    async fn acquire_until(
        self: &Rc<Self>,
        started: Instant,
        send_until: Instant,
    ) -> Result<MemberConnection, AttemptOutcome> {
        if !self.accepts_sends() {
            return Err(AttemptOutcome::NotSent);
        }
        let connect_until = started + self.context.connect_timeout;
        let acquired = with_deadline(send_until.min(connect_until), self.acquire()).await;
        let connection = match acquired {
            Some(Ok(connection)) => connection,
            // A failure is not evidence against a member that no longer accepts work.
            Some(Err(_)) if !self.accepts_sends() => return Err(AttemptOutcome::NotSent),
            Some(Err(_)) => return Err(AttemptOutcome::ConnectFailed),
            None if connect_until <= send_until && self.opening.get() > 0 => {
                return Err(AttemptOutcome::ConnectFailed);
            }
            None => return Err(AttemptOutcome::NotSent),
        };
        // The process may have been suspended since the routing decision, so the limit may have passed and
        // the endpoint list may have changed.
        if Instant::now() >= send_until || !self.accepts_sends() {
            self.release(connection);
            return Err(AttemptOutcome::NotSent);
        }
        Ok(connection)
    }

    /// Reports the start of a long response and prepares the forwarding of the rest.
    fn begin_stream(
        &self,
        connection: MemberConnection,
        first: Vec<u8>,
        remaining: usize,
        stated: StatedState,
    ) -> AttemptCompletion {
        self.last_response.set(Instant::now());
        let (stream, sender) = response_stream::channel(first, remaining, &self.context.memory_budget);
        AttemptCompletion {
            report: AttemptReport {
                outcome: AttemptOutcome::Ok,
                response: None,
                stated,
                stream: Some(stream),
            },
            forwarder: Some(StreamForwarder::new(connection, sender)),
        }
    }

    fn on_read_failed(
        &self,
        mut connection: MemberConnection,
        error: ReadError,
        idle_time: Duration,
    ) -> AttemptCompletion {
        connection.end_reason = error.into();
        if !connection.reader.has_partial_response() {
            self.context.on_dead_connection(idle_time);
        }
        error.attempt_outcome().into()
    }

    fn on_response_timeout(&self, mut connection: MemberConnection, started: Instant) -> AttemptCompletion {
        connection.end_reason = EndReason::Timeout;
        // A member that has sent nothing since the attempt started may be unreachable. A request on an idle
        // connection could be lost to a reset, while a failure to open a new connection loses nothing.
        if self.last_response.get() < started {
            self.close_idle(EndReason::Unresponsive, |_| true);
        }
        AttemptOutcome::Timeout.into()
    }
}

impl MemberConnection {
    /// Counts a request that is about to be sent. Returns how long the connection was idle.
    fn begin_request(&mut self) -> Duration {
        self.end_reason = EndReason::Abandoned;
        self.requests += 1;
        self.last_used.elapsed()
    }

    /// Writes a query, with `send_until` as the time limit.
    async fn send_query(&mut self, message: Vec<u8>, send_until: Instant) -> Result<(), SendError> {
        match with_deadline(send_until, self.stream.write_all(&message)).await {
            Some(Ok(())) => Ok(()),
            Some(Err(_)) => {
                self.end_reason = EndReason::RESET;
                Err(SendError::Reset)
            }
            None => Err(SendError::Expired),
        }
    }
}
