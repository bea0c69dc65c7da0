//! One connection to a member: what it is used for, and what the member gives on it.

use super::{Member, Reason};
use crate::{within, Ended, Part};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::member_request;
use wharfplank_protocol::member_response::{
    MemberResponse, ProtocolError, ResponseEvent, ResponseKind, ResponseReader,
};

/// An empty query is answered at once.
const CHECK_WAIT: Duration = Duration::from_millis(100);
/// A short answer that has begun to arrive and stands still for so long has no end: another member may still serve
/// its request. Days of slow members and pieces know no pause as long within one, silent ones many.
const STALL: Duration = Duration::from_millis(150);
/// A row that passes through may stand still for longer, since there is nothing else to do for its request.
const PASS_STALL: Duration = Duration::from_secs(5);
/// What is read of such a row at a time, where there is memory for it.
const PASS_READ: usize = 64 * 1024;

/// The reason code of a connection in use; it stands when its attempt is dropped.
pub(super) const IN_USE: Reason = "given_up";
pub(super) const IDLE: Reason = "shutdown";
pub(super) const MALFORMED: Reason = "malformed";
pub(super) const OUT_OF_MEMORY: Reason = "out_of_memory";
/// It stood still half-way.
pub(super) const STALLED: Reason = "stalled";

pub(super) struct Connection {
    pub(super) stream: Async<TcpStream>,
    pub(super) client: ResponseReader,
    pub(super) peer: SocketAddr,
    pub(super) member: Rc<Member>,
    pub(super) since: Instant,
    pub(super) used: Instant,
    pub(super) requests: u64,
    pub(super) memory: Part,
    /// Why it ends, should it end now.
    pub(super) reason: Reason,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.member.open.set(self.member.open.get() - 1);
        self.member.closed();
        (self.member.shared.ends)(&Ended {
            side: "member",
            peer: self.peer,
            name: &self.member.name,
            reason: self.reason,
            requests: self.requests,
            since: self.since,
        });
    }
}

impl Connection {
    pub(super) fn end(mut self, reason: Reason) {
        self.reason = reason;
    }

    /// Whether the member has neither closed it nor said something unasked.
    pub(super) fn quiet(&self) -> bool {
        if self.client.has_partial_response() {
            return false;
        }
        let peeked = self.stream.get_ref().peek(&mut [0]);
        matches!(peeked, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Whether the member answers an empty query; `None` when it says nothing.
    pub(super) async fn alive(&mut self) -> Option<bool> {
        let ask = async {
            let written = self.stream.write_all(&member_request::query_message(|_| {})).await;
            let answer = if written.is_ok() { self.answer().await.ok() } else { None };
            answer.is_some_and(|a| a.kind == ResponseKind::Done)
        };
        let alive = within(Instant::now() + CHECK_WAIT, ask).await?;
        self.used = Instant::now();
        Some(alive && self.quiet())
    }

    /// The next whole answer; one with a row that passes through is none.
    pub(super) async fn answer(&mut self) -> Result<MemberResponse, Reason> {
        match self.step().await? {
            ResponseEvent::Complete(answer) => Ok(answer),
            ResponseEvent::StreamStarted { .. } | ResponseEvent::StreamChunk(_) => Err(MALFORMED),
        }
    }

    /// What the member gives next.
    pub(super) async fn step(&mut self) -> Result<ResponseEvent, Reason> {
        // Why no more bytes will come, once that is so.
        let mut over = None;
        loop {
            match (self.client.advance(over.is_some()), over) {
                (Ok(Some(step)), _) => {
                    self.reason = over.unwrap_or(self.reason);
                    return Ok(step);
                }
                (Ok(None), Some(reason)) => return Err(reason),
                (Ok(None), None) => {}
                (Err(ProtocolError), _) => return Err(MALFORMED),
            }
            let passing = self.client.is_streaming();
            let least = if passing && self.memory.memory.room() >= PASS_READ { PASS_READ } else { 0 };
            let holds = self.memory.hold(self.client.buffer.next_capacity(least));
            if !holds && !passing {
                // What there is of a row passes on, so that no memory is needed for the rest.
                match self.client.stream_any_row() {
                    true => continue,
                    false => return Err(OUT_OF_MEMORY),
                }
            }
            let stall = if passing { PASS_STALL } else { STALL };
            let begun = self.client.has_partial_response();
            let read = self.stream.read(self.client.buffer.spare_with_capacity(least));
            let read = if begun { within(Instant::now() + stall, read).await } else { Some(read.await) };
            match read {
                Some(Ok(0)) => over = Some("member_closed"),
                Some(Ok(count)) => self.client.buffer.commit(count),
                Some(Err(_)) => over = Some("reset"),
                None => return Err(STALLED),
            }
        }
    }
}
