//! Attempts and health checks: a query is sent on a connection, and the response is read.

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
use wharfplank_protocol::member_response::{ResponseEvent, ResponseKind};
use wharfplank_routing::AttemptOutcome;

/// The query for a member's load report.
const LOAD_REPORT_QUERY: &[u8] = b"SHOW load";

/// Why a query was not written completely. It never runs then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum SendError {
    /// The connection broke.
    #[error("the connection was reset before the last byte")]
    Reset,
    /// The time to write it was over.
    #[error("the query was not written in time")]
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

/// Whose query an exchange sends.
#[derive(Clone, Copy)]
enum Origin<'a> {
    /// A client's, whose attempts are counted. It is not sent if the client does not await it any more.
    Client { is_awaited: &'a dyn Fn() -> bool },
    /// A health check of this proxy.
    HealthCheck,
}

impl MemberPool {
    /// Sends a statement and waits for its response. The member is told how much time is left until the deadline.
    ///
    /// An attempt that is not written by `send_by`, or that `is_awaited` declines just before its first byte, ends as
    /// never sent. A long response is reported as soon as it has begun, and the forwarder in the result has to be run
    /// after the report.
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

    /// Requests the member's load report. Returns `None` if it does not come within `timeout`.
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
            Some(Ok(ResponseEvent::StreamStarted { bytes: first, remaining })) => {
                self.begin_stream(connection, first, remaining)
            }
            // Nothing is streamed that has not begun.
            Some(Ok(ResponseEvent::StreamChunk(_))) => AttemptOutcome::Error.into(),
            Some(Err(error)) => self.on_read_failed(connection, error, idle_time),
            None => self.on_response_timeout(connection, started),
        }
    }

    /// Takes a connection that can be sent on at once, by `send_until`.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ends without a connection.
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
            // A failure says nothing of a member that takes no work any more.
            Some(Err(_)) if !self.accepts_sends() => return Err(AttemptOutcome::NotSent),
            Some(Err(_)) => return Err(AttemptOutcome::ConnectFailed),
            None if connect_until <= send_until && self.opening.get() > 0 => {
                return Err(AttemptOutcome::ConnectFailed);
            }
            None => return Err(AttemptOutcome::NotSent),
        };
        // A pause of the process between the decision and here ages the decision too, and the endpoint list may have
        // changed.
        if Instant::now() >= send_until || !self.accepts_sends() {
            self.release(connection);
            return Err(AttemptOutcome::NotSent);
        }
        Ok(connection)
    }

    /// Reports a long response that has begun, and prepares the forwarding of the rest.
    fn begin_stream(
        &self,
        connection: MemberConnection,
        first: Vec<u8>,
        remaining: usize,
    ) -> AttemptCompletion {
        self.last_response.set(Instant::now());
        let (stream, sender) = response_stream::channel(first, remaining, &self.context.memory_budget);
        AttemptCompletion {
            report: AttemptReport { outcome: AttemptOutcome::Ok, response: None, stream: Some(stream) },
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
        // A member that has sent nothing at all since then may be cut off: idle connections would be reset with the
        // next request on them, while opening a new one shows it without harm.
        if self.last_response.get() < started {
            self.close_idle(EndReason::Silent, |_| true);
        }
        AttemptOutcome::Timeout.into()
    }
}

impl MemberConnection {
    /// Counts a request that is about to be sent. Returns for how long the connection was idle.
    fn begin_request(&mut self) -> Duration {
        self.end_reason = EndReason::Abandoned;
        self.requests += 1;
        self.last_used.elapsed()
    }

    /// Writes a query by `send_until`.
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
