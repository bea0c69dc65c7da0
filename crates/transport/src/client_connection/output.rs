//! What a connection writes: answers in the order of their commands, whole or as they pass through.

use super::{Connection, Reason, FLUSH_MOST, GATHER, LINGER, WRITE_WAIT};
use crate::client_listener::{ClientListener, Leaving};
use crate::response_stream::{ResponseStream, StreamPiece};
use crate::with_deadline;
use async_channel::{Receiver, TryRecvError};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Instant;
use wharfplank_protocol::client_session::ProtocolViolation;
use wharfplank_protocol::pipeline::{Closing, FinalResponse, NextWrite, RequestNumber};

/// The answer that passes through at present.
pub(super) struct Passing {
    flow: ResponseStream,
    /// Whether the client was given any of it.
    begun: bool,
    /// A piece that came while the connection waited.
    pub(super) next: Option<StreamPiece>,
}

/// What there was of an answer that passes through.
enum Passed {
    /// Something for the output, or its end.
    Some,
    /// Nothing yet.
    Nothing,
    /// It was cut off with so many bytes of its row missing, or before the client was given any of it.
    Cut(Option<usize>),
}

/// What a write waited for.
enum Woken {
    /// So many bytes were taken; 0: the connection broke.
    Taken(usize),
    /// So many were read; 0: the client's end.
    Heard(Result<usize, Reason>),
}

impl Passing {
    pub(super) fn pieces(&self) -> Receiver<StreamPiece> {
        self.flow.pieces()
    }
}

impl ClientListener {
    /// Writes what can be written in order; whether that was anything. The end of the connection is an error.
    pub(super) async fn write(&self, c: &mut Connection) -> Result<bool, Reason> {
        let mut wrote = false;
        loop {
            let ready = self.answers_empty(c);
            let next = c.lane.pipeline.borrow_mut().next_write(ready);
            match next {
                None => break,
                Some(NextWrite::Stream(ticket)) => match c.pass(ticket)? {
                    Passed::Some => {}
                    Passed::Nothing => break,
                    Passed::Cut(left) => c.cut(left).await?,
                },
                Some(NextWrite::EmptyQuery) => c.server.write_empty_query_response(),
                Some(NextWrite::Response(answer)) => c.server.write_response(answer),
                Some(NextWrite::Close(Closing { reason, violation })) => {
                    match violation {
                        Some(violation) => self.fatal(c, violation).await,
                        None => c.flush().await?,
                    }
                    return Err(reason);
                }
            }
            wrote = true;
            if c.server.output.len() >= GATHER {
                c.flush().await?;
            }
        }
        if !c.server.output.is_empty() {
            c.flush().await?;
        }
        if wrote {
            c.lane.update_reservation();
            c.peer.settled.set(c.peer.settled.get() || self.leaving.get() != Leaving::No);
        }
        Ok(wrote)
    }

    /// Tells the client why the connection ends, and waits a little until it has it, unless many wait.
    pub(crate) async fn fatal(&self, c: &mut Connection, violation: ProtocolViolation) {
        c.server.write_fatal(violation);
        let waits = self.may_linger();
        if c.flush().await.is_err() || c.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        if !waits {
            // What has come already, at least.
            future::poll_once(c.drain()).await;
            return;
        }
        self.lingering.set(self.lingering.get() + 1);
        c.drain().await;
        self.lingering.set(self.lingering.get() - 1);
    }
}

impl Connection {
    /// Puts the next part of the answer that passes through into the output.
    fn pass(&mut self, ticket: RequestNumber) -> Result<Passed, Reason> {
        let lane = &self.lane;
        let found = || lane.flow(ticket).map(|flow| Passing { flow, begun: false, next: None });
        let Some(passing) = self.passing.take().or_else(found) else { return Ok(Passed::Cut(None)) };
        let passing = self.passing.insert(passing);
        let out = &mut self.server.output;
        if !passing.begun {
            if passing.flow.is_cut_off() {
                return Ok(Passed::Cut(None));
            }
            passing.begun = true;
            out.append(&mut passing.flow.first);
            return Ok(Passed::Some);
        }
        let next = passing.next.take().map_or_else(|| passing.flow.try_next(), Ok);
        match next {
            Ok(StreamPiece::Row(mut row)) => {
                passing.flow.remaining = passing.flow.remaining.saturating_sub(row.bytes.len());
                out.append(&mut row.bytes);
            }
            Ok(StreamPiece::End(mut rest)) => {
                out.append(&mut rest);
                self.server.write_ready();
                self.over();
            }
            Err(TryRecvError::Empty) => return Ok(Passed::Nothing),
            Err(TryRecvError::Closed) => return Ok(Passed::Cut(Some(passing.flow.remaining))),
        }
        Ok(Passed::Some)
    }

    /// The answer that passes through was cut off. It failed, and the client must be able to tell. One that has seen
    /// none of it is told in words. Else the connection ends, unless other requests stand behind it, which would
    /// be lost: then the row is filled up, so that the error behind it can be read, and the connection goes on.
    async fn cut(&mut self, left: Option<usize>) -> Result<(), Reason> {
        let behind = self.lane.pipeline.borrow().has_following() || !self.server.buffer.unread().is_empty();
        let more = behind || matches!(self.stream.get_ref().peek(&mut [0]), Ok(1..));
        let mut left = match left {
            Some(1..) if !more => {
                self.flush().await?;
                return Err("cut_off");
            }
            left => left.unwrap_or(0),
        };
        while left > 0 {
            let count = left.min(GATHER);
            let filled = self.server.output.len() + count;
            self.server.output.resize(filled, 0);
            left -= count;
            self.flush().await?;
        }
        self.server.write_response(FinalResponse::Failed);
        self.over();
        Ok(())
    }

    fn over(&mut self) {
        self.passing = None;
        self.lane.pipeline.borrow_mut().finish_stream();
    }

    /// Writes all that is to go out, and hears the client meanwhile: one that goes while it takes nothing must not
    /// leave requests behind.
    pub(super) async fn flush(&mut self) -> Result<(), Reason> {
        if self.server.output.is_empty() {
            return Ok(());
        }
        // Large answers are rare: their memory goes back.
        let (out, stream) = (std::mem::take(&mut self.server.output), Rc::clone(&self.stream));
        let (mut at, mut hears, most) = (0, true, Instant::now() + FLUSH_MOST);
        // Slow is not stalled: what it takes shows that it still reads.
        let mut until = Instant::now() + WRITE_WAIT;
        while at < out.len() {
            let taken = async { Woken::Taken((&*stream).write(&out[at..]).await.unwrap_or(0)) };
            let heard = async {
                match hears {
                    true => Woken::Heard(self.hear(false).await),
                    false => future::pending().await,
                }
            };
            match with_deadline(most.min(until), future::or(taken, heard)).await {
                Some(Woken::Taken(0)) => return Err("client_reset"),
                Some(Woken::Taken(count)) => {
                    at += count;
                    until = Instant::now() + WRITE_WAIT;
                }
                // What is on its way is written on to one that has only ended its sending.
                Some(Woken::Heard(Ok(0))) if self.waits_for_nothing() => hears = false,
                Some(Woken::Heard(Ok(0))) => return Err("client_gone"),
                Some(Woken::Heard(heard)) => drop(heard?),
                None => return Err("client_stalled"),
            }
        }
        Ok(())
    }

    /// Whether nothing that it asked may still have to be sent on.
    fn waits_for_nothing(&self) -> bool {
        let pipeline = self.lane.pipeline.borrow();
        let unasked = !pipeline.is_closing() && self.server.next_command_bytes().is_some();
        !unasked && !pipeline.has_open_request()
    }

    /// Reads past what the client still sends, for a moment: a connection closed over unread bytes is reset,
    /// and the error would be lost with it.
    pub(super) async fn drain(&mut self) {
        let mut sink = [0; 4096];
        let drain = async { while matches!((&*self.stream).read(&mut sink).await, Ok(1..)) {} };
        with_deadline(Instant::now() + LINGER, drain).await;
    }
}
