//! Attempts and probes: a statement goes out on a connection, and what comes back is told.

use super::connection::{Connection, IN_USE, MALFORMED, OUT_OF_MEMORY, STALLED};
use super::{Member, Report, Stage};
use crate::flow::{Flow, Source};
use crate::{within, Statement};
use futures_lite::AsyncWriteExt;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_admin::Figures;
use wharfplank_protocol::member_request;
use wharfplank_protocol::member_response::{MemberResponse, ResponseEvent, ResponseKind};
use wharfplank_routing::Ending;

/// A value that passes through has come to its end by then, however slowly it is given and taken.
const PASS_MOST: Duration = Duration::from_secs(60);

impl Member {
    /// Sends a statement and waits for its answer until `deadline`, which is told to the member as what is left of
    /// it. The reason for the send holds until `holds`: what is not written by then is ended as never sent, and so is
    /// what is not `wanted` just before its first byte. Both are points in time and count from the decision, however
    /// late the attempt starts or finds a connection.
    ///
    /// Of a long value the report tells as soon as it has begun: the deadline covers its first bytes, and the
    /// [`Stream`] is to be passed on after the report.
    pub async fn attempt(
        self: Rc<Self>,
        statement: Rc<Statement>,
        stage: Rc<Cell<Stage>>,
        deadline: Instant,
        holds: Option<Instant>,
        wanted: impl Fn() -> bool,
    ) -> (Report, Option<Stream>) {
        let write = |out: &mut Vec<u8>| {
            let left = deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
            statement.write(out, left as i64);
        };
        self.ask(write, &stage, deadline, holds, Some((&self.shared.figures, &wanted))).await
    }

    /// Asks for the load report.
    pub async fn probe(self: Rc<Self>, timeout: Duration) -> Option<String> {
        let stage = Cell::default();
        let show = |out: &mut Vec<u8>| out.extend_from_slice(b"SHOW load");
        let (report, _) = self.ask(show, &stage, Instant::now() + timeout, None, None).await;
        let answer = report.answer.filter(|answer| answer.kind == ResponseKind::Row)?;
        String::from_utf8(answer.messages.get(answer.value)?.to_vec()).ok()
    }

    async fn ask(
        self: &Rc<Self>,
        write: impl FnOnce(&mut Vec<u8>),
        stage: &Cell<Stage>,
        deadline: Instant,
        holds: Option<Instant>,
        client: Option<(&Figures, &dyn Fn() -> bool)>,
    ) -> (Report, Option<Stream>) {
        let start = Instant::now();
        let until = holds.map_or(deadline, |at| deadline.min(at));
        let mut connection = match self.have(start, until).await {
            Ok(connection) => connection,
            Err(ending) => return bare(ending),
        };
        if client.is_some_and(|(_, wanted)| !wanted()) {
            self.put(connection);
            return bare(Ending::Moot);
        }
        stage.set(Stage::Begun);
        connection.reason = IN_USE;
        connection.requests += 1;
        let idle = connection.used.elapsed();
        let message = member_request::query_message(write);
        match within(until, connection.stream.write_all(&message)).await {
            Some(Ok(())) => {
                stage.set(Stage::Written);
                client.into_iter().for_each(|(figures, _)| figures.dispatched());
            }
            // ProtocolError before the last byte: it never ran. Cut off by the clock: it was never whole.
            Some(Err(_)) => {
                connection.reason = "reset";
                return bare(Ending::ConnectFailed);
            }
            None => return bare(Ending::Moot),
        }
        drop(message);
        match within(deadline, connection.step()).await {
            Some(Ok(ResponseEvent::Complete(answer))) => (connection.over(answer), None),
            Some(Ok(ResponseEvent::StreamStarted { bytes: first, remaining: left })) => {
                self.heard.set(Instant::now());
                let (flow, source) = Flow::new(first, left, &self.shared.memory);
                let report = Report { ending: Ending::Ok, answer: None, flow: Some(flow) };
                (report, Some(Stream { connection, source }))
            }
            // Nothing passes through that has not begun.
            Some(Ok(ResponseEvent::StreamChunk(_))) => bare(Ending::Error),
            Some(Err(reason)) => {
                connection.reason = reason;
                if !connection.client.has_partial_response() {
                    self.shared.died(idle);
                }
                bare(failed(reason))
            }
            None => {
                connection.reason = "timeout";
                // A member that said nothing at all since then may be cut off: what stands idle would
                // be reset with the next request on it, which a new connection shows without harm.
                if self.heard.get() < start {
                    self.close_idle("silent", |_| true);
                }
                bare(Ending::Timeout)
            }
        }
    }

    /// A connection to send on at once, by `until`; or how the attempt ends without one.
    async fn have(self: &Rc<Self>, start: Instant, until: Instant) -> Result<Connection, Ending> {
        let connect_by = start + self.shared.connect_timeout;
        if !self.open_for_work() {
            return Err(Ending::Moot);
        }
        let connection = match within(until.min(connect_by), self.take()).await {
            Some(Some(connection)) => connection,
            Some(None) if !self.open_for_work() => return Err(Ending::Moot),
            Some(None) => return Err(Ending::ConnectFailed),
            None if connect_by <= until && self.opening.get() > 0 => return Err(Ending::ConnectFailed),
            None => return Err(Ending::Moot),
        };
        // A pause between the decision and here ages the decision too, and what the list says may have changed.
        if Instant::now() >= until || !self.open_for_work() {
            self.put(connection);
            return Err(Ending::Moot);
        }
        Ok(connection)
    }
}

fn bare(ending: Ending) -> (Report, Option<Stream>) {
    (Report::bare(ending), None)
}

/// How an attempt ended whose connection ended for this reason.
fn failed(reason: &str) -> Ending {
    match reason {
        // What cannot be read is an answer all the same: the member works, and the request may have run.
        MALFORMED | STALLED | OUT_OF_MEMORY => Ending::Error,
        _ => Ending::Reset,
    }
}

impl Connection {
    /// Takes a whole answer's meaning, and gives the connection back.
    fn over(mut self, answer: MemberResponse) -> Report {
        let now = Instant::now();
        self.member.heard.set(now);
        self.used = now;
        let ending = match answer.kind {
            ResponseKind::Row | ResponseKind::NoRow => Ending::Ok,
            ResponseKind::Miss => Ending::Miss,
            ResponseKind::Overloaded => Ending::Full,
            ResponseKind::NotReady | ResponseKind::Done | ResponseKind::Error => Ending::Error,
        };
        if self.reason == IN_USE {
            self.client.buffer.release_memory();
            self.memory.hold(0);
            let member = Rc::clone(&self.member);
            member.rest(self);
        }
        Report { ending, answer: Some(answer), flow: None }
    }
}

/// A long value that a member has begun to give.
pub struct Stream {
    connection: Connection,
    source: Source,
}

impl Stream {
    /// Passes it on as it comes and as the client takes it, to its end, which is told. Without a whole end the
    /// client's connection sees the flow end early.
    pub async fn pass(mut self) -> Report {
        let until = Instant::now() + PASS_MOST;
        loop {
            let step = match within(until, self.connection.step()).await {
                Some(step) => step,
                None => Err(STALLED),
            };
            let answer = match step {
                Ok(ResponseEvent::StreamChunk(bytes)) => {
                    self.connection.member.heard.set(Instant::now());
                    match self.source.give(bytes).await {
                        true => continue,
                        // The client has gone.
                        false => return Report::bare(Ending::Cancelled),
                    }
                }
                Ok(ResponseEvent::Complete(answer)) => answer,
                Ok(ResponseEvent::StreamStarted { .. }) => return Report::bare(Ending::Error),
                Err(reason) => {
                    self.connection.reason = reason;
                    return Report::bare(failed(reason));
                }
            };
            let mut report = self.connection.over(answer);
            let rest = report.answer.as_mut().map(|a| std::mem::take(&mut a.messages));
            if report.ending == Ending::Ok {
                self.source.end(rest.unwrap_or_default()).await;
            } else {
                report.ending = Ending::Error;
            }
            return report;
        }
    }
}
