//! Polls of discovery, with hedging.

use super::connection::{CloseReason, Connection, LogEntry};
use super::Poller;
use crate::socket::open;
use crate::with_deadline;
use futures_lite::future;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_discovery::{PollKind, PollRequest, PollSchedule};
use wharfplank_protocol::endpoint_list::{self, EndpointList};
use wharfplank_protocol::http;
use wharfplank_routing::Micros;

const STATUS_OK: u16 = 200;

/// The response to a poll.
pub(super) struct Response {
    pub(super) list: EndpointList,
    /// The connection, if it can be reused.
    pub(super) connection: Option<Connection>,
}

type PollResult = Result<Response, CloseReason>;

/// The time limits of a poll.
#[derive(Clone, Copy)]
pub(super) struct Limits {
    /// The time by which the first byte of the response must arrive.
    pub(super) first_byte_by: Instant,
    /// The maximum gap between bytes of the response.
    pub(super) max_gap: Duration,
    /// The time by which the response must be complete.
    pub(super) complete_by: Instant,
}

/// A poll attempt on one connection.
#[derive(Clone, Copy)]
struct Attempt {
    kind: PollKind,
    wait: Micros,
    connect_timeout: Duration,
    limits: Limits,
}

/// A failed exchange on a connection.
struct ExchangeError {
    reason: CloseReason,
    /// Whether the connection was closed before the first byte of a response.
    closed_before_response: bool,
}

/// The poll of a hedged pair that determined the result: with the first response, or the last failure.
enum Winner {
    First,
    Hedge,
}

impl Attempt {
    /// Creates the first poll of a request that starts at `now`.
    fn first(request: &PollRequest, now: Instant) -> Self {
        let limits = Limits {
            first_byte_by: now + to_duration(request.response_timeout),
            max_gap: to_duration(request.response_timeout - request.wait),
            complete_by: now + to_duration(request.total_timeout),
        };
        Attempt {
            kind: request.kind,
            wait: request.wait,
            connect_timeout: to_duration(request.connect_timeout),
            limits,
        }
    }

    /// Creates the hedged poll for this one that starts at `now`.
    fn hedge(self, request: &PollRequest, now: Instant) -> Self {
        let limits = Limits { first_byte_by: now + to_duration(request.hedge.timeout), ..self.limits };
        Attempt { kind: request.hedge.kind, wait: request.hedge.wait, limits, ..self }
    }

    fn target(&self) -> String {
        match self.kind {
            PollKind::FullList => "/catalog/members".to_string(),
            PollKind::Watch { version } => {
                let wait_ms = self.wait / 1000;
                format!("/catalog/members?index={version}&wait={wait_ms}")
            }
        }
    }
}

impl Poller {
    /// Sends a poll, and a hedged one if the first gets no response in time. Returns the first response, and
    /// fails only if both polls failed.
    pub(super) async fn poll(&self, idle: Option<Connection>, request: &PollRequest) -> PollResult {
        let started = Instant::now();
        let attempt = Attempt::first(request, started);
        let result = {
            let mut first = pin!(self.attempt(idle, attempt));
            let hedge_at = started + to_duration(request.hedge.after);
            if let Some(result) = with_deadline(hedge_at, first.as_mut()).await {
                return result;
            }
            if !self.try_spend_budget() {
                return first.await;
            }
            let mut hedge = pin!(self.attempt(None, attempt.hedge(request, Instant::now())));
            let (winner, result) = first_response(first.as_mut(), hedge.as_mut()).await;
            // The reason that is logged for the other poll's connection, which is dropped at the end of this
            // block.
            self.drop_reason.set(match winner {
                Winner::First => CloseReason::Superseded,
                Winner::Hedge => CloseReason::Timeout,
            });
            result
        };
        self.drop_reason.set(CloseReason::Shutdown);
        result
    }

    /// Sends a poll on the idle connection, if any, or on a new one. If the idle connection turns out to be
    /// closed already, this is not a failure of discovery, and the poll is sent on a new connection.
    async fn attempt(&self, idle: Option<Connection>, attempt: Attempt) -> PollResult {
        let target = attempt.target();
        if let Some(connection) = idle {
            let started = Instant::now();
            match self.exchange(connection, &target, attempt.limits).await {
                Ok(response) => return Ok(response),
                Err(error) if error.closed_before_response && is_immediate(started) => {}
                Err(error) => return Err(error.reason),
            }
        }
        let connection = self.connect(Instant::now() + attempt.connect_timeout).await?;
        self.exchange(connection, &target, attempt.limits).await.map_err(|error| error.reason)
    }

    /// Sends a poll on this connection, and closes it if the poll fails.
    async fn exchange(
        &self,
        mut connection: Connection,
        target: &str,
        limits: Limits,
    ) -> Result<Response, ExchangeError> {
        let host = self.address.to_string();
        match connection.exchange(target, &host, limits).await.and_then(read_list) {
            Ok((list, can_reuse)) => {
                connection.log_entry.polls += 1;
                if can_reuse {
                    return Ok(Response { list, connection: Some(connection) });
                }
                connection.log_entry.reason = Some(CloseReason::ServerClosed);
                Ok(Response { list, connection: None })
            }
            Err(reason) => {
                connection.log_entry.reason = Some(reason);
                let is_closed = matches!(reason, CloseReason::Reset | CloseReason::ServerClosed);
                Err(ExchangeError {
                    reason,
                    closed_before_response: is_closed && !connection.response_started,
                })
            }
        }
    }

    async fn connect(&self, deadline: Instant) -> Result<Connection, CloseReason> {
        let mut log_entry = LogEntry {
            connection_end_observer: Rc::clone(&self.context.connection_end_observer),
            peer: self.address,
            opened_at: Instant::now(),
            polls: 0,
            reason: None,
            drop_reason: Rc::clone(&self.drop_reason),
        };
        match with_deadline(deadline, open::connect(self.address)).await {
            Some(Ok(stream)) => {
                // The option only affects latency, so errors are ignored.
                let _ = stream.get_ref().set_nodelay(true);
                Ok(Connection {
                    stream,
                    reader: http::HttpResponseReader::default(),
                    log_entry,
                    response_started: false,
                })
            }
            Some(Err(_)) | None => {
                log_entry.reason = Some(CloseReason::ConnectFailed);
                Err(CloseReason::ConnectFailed)
            }
        }
    }
}

/// Returns the first response of two polls, or the later failure.
async fn first_response<First, Hedge>(
    mut first: Pin<&mut First>,
    mut hedge: Pin<&mut Hedge>,
) -> (Winner, PollResult)
where
    First: Future<Output = PollResult>,
    Hedge: Future<Output = PollResult>,
{
    let first_done = async { (Winner::First, first.as_mut().await) };
    let hedge_done = async { (Winner::Hedge, hedge.as_mut().await) };
    match future::or(first_done, hedge_done).await {
        (Winner::First, Err(_)) => (Winner::Hedge, hedge.await),
        (Winner::Hedge, Err(_)) => (Winner::First, first.await),
        done => done,
    }
}

/// Returns the endpoint list of a response, and whether its connection can be reused.
fn read_list(response: http::HttpResponse) -> Result<(EndpointList, bool), CloseReason> {
    if response.status != STATUS_OK {
        return Err(CloseReason::HttpStatus);
    }
    let list = endpoint_list::parse(&response.body).map_err(|_| CloseReason::MalformedList)?;
    Ok((list, response.keep_alive))
}

/// Returns whether the failure came so soon that the idle connection must have been closed before it was
/// used.
fn is_immediate(started: Instant) -> bool {
    started.elapsed() < to_duration(PollSchedule::MIN_TIMEOUT)
}

fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}
