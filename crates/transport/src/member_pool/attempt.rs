//! Attempts and probes: a statement goes out on a connection, and what comes back is told.

use super::connection::{Connection, IN_USE, MALFORMED, OUT_OF_MEMORY, STALLED};
use super::{AttemptReport, AttemptStage, MemberPool};
use crate::response_stream::{ResponseStream, ResponseStreamSender};
use crate::{with_deadline, Statement};
use futures_lite::AsyncWriteExt;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_admin::Metrics;
use wharfplank_protocol::client::{self, Answer, Step, Verdict};
use wharfplank_routing::AttemptOutcome;

/// A value that passes through has come to its end by then, however slowly it is given and taken.
const PASS_MOST: Duration = Duration::from_secs(60);

impl MemberPool {
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
        stage: Rc<Cell<AttemptStage>>,
        deadline: Instant,
        holds: Option<Instant>,
        wanted: impl Fn() -> bool,
    ) -> (AttemptReport, Option<Stream>) {
        let write = |out: &mut Vec<u8>| {
            let left = deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
            statement.write_with_timeout(out, left as i64);
        };
        self.ask(write, &stage, deadline, holds, Some((&self.shared.metrics, &wanted))).await
    }

    /// Asks for the load report.
    pub async fn probe(self: Rc<Self>, timeout: Duration) -> Option<String> {
        let stage = Cell::default();
        let show = |out: &mut Vec<u8>| out.extend_from_slice(b"SHOW load");
        let (report, _) = self.ask(show, &stage, Instant::now() + timeout, None, None).await;
        let answer = report.answer.filter(|answer| answer.verdict == Verdict::Row)?;
        String::from_utf8(answer.messages.get(answer.value)?.to_vec()).ok()
    }

    async fn ask(
        self: &Rc<Self>,
        write: impl FnOnce(&mut Vec<u8>),
        stage: &Cell<AttemptStage>,
        deadline: Instant,
        holds: Option<Instant>,
        client: Option<(&Metrics, &dyn Fn() -> bool)>,
    ) -> (AttemptReport, Option<Stream>) {
        let start = Instant::now();
        let until = holds.map_or(deadline, |at| deadline.min(at));
        let mut connection = match self.have(start, until).await {
            Ok(connection) => connection,
            Err(ending) => return bare(ending),
        };
        if client.is_some_and(|(_, wanted)| !wanted()) {
            self.put(connection);
            return bare(AttemptOutcome::NotSent);
        }
        stage.set(AttemptStage::Writing);
        connection.reason = IN_USE;
        connection.requests += 1;
        let idle = connection.used.elapsed();
        let message = client::query(write);
        match with_deadline(until, connection.stream.write_all(&message)).await {
            Some(Ok(())) => {
                stage.set(AttemptStage::Written);
                client.into_iter().for_each(|(metrics, _)| metrics.record_dispatch());
            }
            // Broken before the last byte: it never ran. Cut off by the clock: it was never whole.
            Some(Err(_)) => {
                connection.reason = "reset";
                return bare(AttemptOutcome::ConnectFailed);
            }
            None => return bare(AttemptOutcome::NotSent),
        }
        drop(message);
        match with_deadline(deadline, connection.step()).await {
            Some(Ok(Step::Whole(answer))) => (connection.over(answer), None),
            Some(Ok(Step::Begun(first, left))) => {
                self.heard.set(Instant::now());
                let (flow, source) = ResponseStream::new(first, left, &self.shared.memory_budget);
                let report = AttemptReport { outcome: AttemptOutcome::Ok, answer: None, stream: Some(flow) };
                (report, Some(Stream { connection, source }))
            }
            // Nothing passes through that has not begun.
            Some(Ok(Step::Piece(_))) => bare(AttemptOutcome::Error),
            Some(Err(reason)) => {
                connection.reason = reason;
                if !connection.client.begun() {
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
                bare(AttemptOutcome::Timeout)
            }
        }
    }

    /// A connection to send on at once, by `until`; or how the attempt ends without one.
    async fn have(self: &Rc<Self>, start: Instant, until: Instant) -> Result<Connection, AttemptOutcome> {
        let connect_by = start + self.shared.connect_timeout;
        if !self.open_for_work() {
            return Err(AttemptOutcome::NotSent);
        }
        let connection = match with_deadline(until.min(connect_by), self.take()).await {
            Some(Some(connection)) => connection,
            Some(None) if !self.open_for_work() => return Err(AttemptOutcome::NotSent),
            Some(None) => return Err(AttemptOutcome::ConnectFailed),
            None if connect_by <= until && self.opening.get() > 0 => {
                return Err(AttemptOutcome::ConnectFailed)
            }
            None => return Err(AttemptOutcome::NotSent),
        };
        // A pause between the decision and here ages the decision too, and what the list says may have changed.
        if Instant::now() >= until || !self.open_for_work() {
            self.put(connection);
            return Err(AttemptOutcome::NotSent);
        }
        Ok(connection)
    }
}

fn bare(ending: AttemptOutcome) -> (AttemptReport, Option<Stream>) {
    (AttemptReport::without_answer(ending), None)
}

/// How an attempt ended whose connection ended for this reason.
fn failed(reason: &str) -> AttemptOutcome {
    match reason {
        // What cannot be read is an answer all the same: the member works, and the request may have run.
        MALFORMED | STALLED | OUT_OF_MEMORY => AttemptOutcome::Error,
        _ => AttemptOutcome::Reset,
    }
}

impl Connection {
    /// Takes a whole answer's meaning, and gives the connection back.
    fn over(mut self, answer: Answer) -> AttemptReport {
        let now = Instant::now();
        self.member.heard.set(now);
        self.used = now;
        let outcome = match answer.verdict {
            Verdict::Row | Verdict::NoRow => AttemptOutcome::Ok,
            Verdict::Miss => AttemptOutcome::Misrouted,
            Verdict::Full => AttemptOutcome::Overloaded,
            Verdict::NotReady | Verdict::Done | Verdict::Error => AttemptOutcome::Error,
        };
        if self.reason == IN_USE {
            self.client.buffer.release();
            self.memory.resize(0);
            let member = Rc::clone(&self.member);
            member.rest(self);
        }
        AttemptReport { outcome, answer: Some(answer), stream: None }
    }
}

/// A long value that a member has begun to give.
pub struct Stream {
    connection: Connection,
    source: ResponseStreamSender,
}

impl Stream {
    /// Passes it on as it comes and as the client takes it, to its end, which is told. Without a whole end the
    /// client's connection sees the flow end early.
    pub async fn pass(mut self) -> AttemptReport {
        let until = Instant::now() + PASS_MOST;
        loop {
            let step = match with_deadline(until, self.connection.step()).await {
                Some(step) => step,
                None => Err(STALLED),
            };
            let answer = match step {
                Ok(Step::Piece(bytes)) => {
                    self.connection.member.heard.set(Instant::now());
                    match self.source.give(bytes).await {
                        true => continue,
                        // The client has gone.
                        false => return AttemptReport::without_answer(AttemptOutcome::Cancelled),
                    }
                }
                Ok(Step::Whole(answer)) => answer,
                Ok(Step::Begun(..)) => return AttemptReport::without_answer(AttemptOutcome::Error),
                Err(reason) => {
                    self.connection.reason = reason;
                    return AttemptReport::without_answer(failed(reason));
                }
            };
            let mut report = self.connection.over(answer);
            let rest = report.answer.as_mut().map(|a| std::mem::take(&mut a.messages));
            if report.outcome == AttemptOutcome::Ok {
                self.source.end(rest.unwrap_or_default()).await;
            } else {
                report.outcome = AttemptOutcome::Error;
            }
            return report;
        }
    }
}
