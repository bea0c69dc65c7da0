//! One call to discovery, and the one beside it.

use super::connection::{Connection, Line};
use super::Parts;
use crate::with_deadline;
use async_io::Async;
use futures_lite::future;
use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_discovery::{PollKind, PollRequest, PollSchedule};
use wharfplank_protocol::endpoint_list::{self, EndpointList};
use wharfplank_protocol::http;
use wharfplank_routing::Micros;

/// An answer, and its connection where that can be used again.
type Answered = Option<(EndpointList, Option<Connection>)>;

fn span(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}

/// When a call is given up.
#[derive(Clone, Copy)]
pub(super) struct Limits {
    /// With no byte of its answer.
    pub(super) until: Instant,
    /// Once an answer has begun, so long after its last byte.
    pub(super) still: Duration,
    /// Whatever comes.
    pub(super) most: Instant,
}

impl Parts {
    /// One call, and a second beside it where the first stays silent. What answers first counts; a failure counts
    /// once both have failed.
    pub(super) async fn call(&self, kept: Option<Connection>, call: &PollRequest) -> Answered {
        let begun = Instant::now();
        let (connect, most) = (span(call.connect_timeout), begun + span(call.total_timeout));
        let still = span(call.response_timeout - call.wait);
        let done = {
            let limits = Limits { until: begun + span(call.response_timeout), still, most };
            let mut first = pin!(self.ask(kept, call.kind, call.wait, connect, limits));
            if let Some(done) = with_deadline(begun + span(call.hedge.after), first.as_mut()).await {
                return done;
            }
            if !self.may_call() {
                return first.await;
            }
            let limits = Limits { until: Instant::now() + span(call.hedge.timeout), ..limits };
            let mut second = pin!(self.ask(None, call.hedge.kind, call.hedge.wait, connect, limits));
            let race =
                future::or(async { (true, first.as_mut().await) }, async { (false, second.as_mut().await) });
            let (by_first, done) = match race.await {
                (true, None) => (false, second.await),
                (false, None) => (true, first.await),
                done => done,
            };
            // The reason of the other one, which is dropped here.
            self.dropped.set(if by_first { "superseded" } else { "timeout" });
            done
        };
        self.dropped.set("shutdown");
        done
    }

    /// Asks on a connection that was kept, or on a new one. A kept one that turns out to have ended meanwhile tells
    /// nothing of discovery, and the call is made on a new one.
    async fn ask(
        &self,
        kept: Option<Connection>,
        ask: PollKind,
        wait: Micros,
        connect: Duration,
        limits: Limits,
    ) -> Answered {
        let target = match ask {
            PollKind::FullList => "/catalog/members".to_string(),
            PollKind::Watch { version } => format!("/catalog/members?index={version}&wait={}", wait / 1000),
        };
        if let Some(connection) = kept {
            let begun = Instant::now();
            match self.ask_on(connection, &target, limits).await {
                Err(ended) if ended && begun.elapsed() < span(PollSchedule::MIN_TIMEOUT) => {}
                done => return done.ok(),
            }
        }
        let connection = self.connect(Instant::now() + connect).await?;
        self.ask_on(connection, &target, limits).await.ok()
    }

    /// Asks on a connection; `Err` says whether that ended with no byte of an answer.
    async fn ask_on(
        &self,
        mut connection: Connection,
        target: &str,
        limits: Limits,
    ) -> Result<(EndpointList, Option<Connection>), bool> {
        let host = self.address.to_string();
        let (reason, ended) = match connection.exchange(target, &host, limits).await {
            Err(reason) => (reason, matches!(reason, "reset" | "server_closed") && !connection.begun),
            Ok(answer) if answer.status != 200 => ("http_status", false),
            Ok(answer) => match endpoint_list::parse(&answer.body) {
                Err(_) => ("malformed_list", false),
                Ok(list) => {
                    connection.line.calls += 1;
                    if answer.keep_alive {
                        return Ok((list, Some(connection)));
                    }
                    connection.line.reason = Some("server_closed");
                    return Ok((list, None));
                }
            },
        };
        connection.line.reason = Some(reason);
        Err(ended)
    }

    async fn connect(&self, until: Instant) -> Option<Connection> {
        let (ends, peer, dropped) = (Rc::clone(&self.ends), self.address, Rc::clone(&self.dropped));
        let mut line = Line { ends, peer, since: Instant::now(), calls: 0, reason: None, dropped };
        match with_deadline(until, Async::<TcpStream>::connect(self.address)).await {
            Some(Ok(stream)) => {
                let _ = stream.get_ref().set_nodelay(true);
                Some(Connection { stream, reader: http::HttpResponseReader::default(), line, begun: false })
            }
            _ => {
                line.reason = Some("connect_failed");
                None
            }
        }
    }
}
