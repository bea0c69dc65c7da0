//! The order of responses on one client connection.
//!
//! Commands that a client pipelines are all processed at once, each with its own number and deadline, and their
//! responses may come in any order; they are written in the order of the commands. A [`Pipeline`] has one slot for
//! each command: a response that comes early is buffered there until those before it are written. The pipeline
//! knows no socket and no clock.

use super::client_session::ProtocolViolation;
use std::collections::VecDeque;

/// The commands of one connection that may be open at a time: without a response, or with one that is not written yet.
/// A client that sends a thousand commands at once must not fill the members with them alone.
pub const MAX_OPEN_COMMANDS: usize = 32;
/// The bytes that the statements and the early responses of one connection may buffer beyond the first slot. Past half
/// of it no further command is accepted; a response past it fails.
pub const MAX_BUFFERED_BYTES: usize = 2 * 1024 * 1024;

/// The number of a request, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// The final response to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// Served: the messages that a member responded with.
    Served(Vec<u8>),
    /// Rejected without an effect, so that a retry is harmless.
    Rejected {
        /// Milliseconds after which to retry; 0 for no advice.
        retry_after_ms: i64,
    },
    /// Failed, with no promise about its effect.
    Failed,
    /// Ended by a cancel request, with no promise about its effect.
    Cancelled,
    /// The request cannot be used, for this reason.
    Malformed(&'static str),
}

impl FinalResponse {
    /// The bytes that it occupies while it is buffered.
    fn buffered_bytes(&self) -> usize {
        match self {
            FinalResponse::Served(messages) => messages.len(),
            _ => 0,
        }
    }
}

/// The state of one command.
#[derive(Debug, PartialEq, Eq)]
enum Slot {
    /// A request without a response, and the bytes of its statement.
    Open { request: RequestNumber, statement_bytes: usize },
    /// A response that is not written yet.
    Done(FinalResponse),
    /// A response that is being streamed; the driver holds what has arrived of it.
    Streaming(RequestNumber),
    /// An empty query, which is answered once the proxy is ready to serve.
    EmptyQuery,
}

/// How the connection ends once all open commands have their responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closing {
    /// The code of the reason, for the log.
    pub reason: &'static str,
    /// The error to tell the client, if it broke the protocol.
    pub violation: Option<ProtocolViolation>,
}

/// What is to be written next.
#[derive(Debug, PartialEq, Eq)]
pub enum NextWrite {
    /// The response to a request.
    Response(FinalResponse),
    /// More of the response that is streamed for this request, until [`Pipeline::finish_stream`].
    Stream(RequestNumber),
    /// The response to an empty query.
    EmptyQuery,
    /// Nothing more; the connection closes.
    Close(Closing),
}

/// The open commands of one connection, in their order.
#[derive(Debug, Default)]
pub struct Pipeline {
    slots: VecDeque<Slot>,
    /// The bytes of open statements and buffered responses.
    buffered_bytes: usize,
    /// Whether any request of the connection was well formed.
    had_valid_request: bool,
    closing: Option<Closing>,
}

impl Pipeline {
    /// Whether a further command may be accepted before the open ones have their responses.
    pub fn has_capacity(&self) -> bool {
        let has_bytes = self.slots.is_empty() || self.buffered_bytes <= MAX_BUFFERED_BYTES / 2;
        self.closing.is_none() && self.slots.len() < MAX_OPEN_COMMANDS && has_bytes
    }

    /// Whether no command is open.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Whether no further command is accepted, see [`Pipeline::close`].
    pub fn is_closing(&self) -> bool {
        self.closing.is_some()
    }

    /// Whether the first open command is an empty query, which waits for the proxy to become ready.
    pub fn awaits_readiness(&self) -> bool {
        self.slots.front() == Some(&Slot::EmptyQuery)
    }

    /// The bytes of open statements and buffered responses.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// The requests without a complete response, in their order.
    pub fn open_requests(&self) -> impl Iterator<Item = RequestNumber> + '_ {
        self.slots.iter().filter_map(|slot| match slot {
            Slot::Open { request, .. } | Slot::Streaming(request) => Some(*request),
            Slot::Done(_) | Slot::EmptyQuery => None,
        })
    }

    /// Adds a request.
    pub fn push_request(&mut self, request: RequestNumber, statement_bytes: usize) {
        self.slots.push_back(Slot::Open { request, statement_bytes });
        self.buffered_bytes += statement_bytes;
    }

    /// Adds an empty query.
    pub fn push_empty_query(&mut self) {
        self.slots.push_back(Slot::EmptyQuery);
    }

    /// Adds a command that cannot be used, with its error as the response; see [`Pipeline::complete`].
    pub fn push_malformed(&mut self, message: &'static str) {
        if self.had_valid_request || !self.slots.is_empty() {
            self.slots.push_back(Slot::Done(FinalResponse::Malformed(message)));
        } else {
            self.close_as_malformed(message);
        }
    }

    /// Accepts no further command: the connection closes after the responses to the open ones. The first reason
    /// counts.
    pub fn close(&mut self, reason: &'static str, violation: Option<ProtocolViolation>) {
        self.closing.get_or_insert(Closing { reason, violation });
    }

    fn close_as_malformed(&mut self, message: &'static str) {
        let violation = ProtocolViolation { code: "08P01", message };
        self.close("malformed_request", Some(violation));
    }

    /// Takes the final response to a request. Returns whether something can be written now.
    ///
    /// A response that has to wait and exceeds what may be buffered, of which other connections leave
    /// `available_bytes`, is dropped and the request fails, since it may have run.
    ///
    /// If no request of the connection was ever well formed, a malformed one closes it. Otherwise the error is written in
    /// its turn and the connection goes on: closing it would lose the requests behind it.
    pub fn complete(
        &mut self,
        request: RequestNumber,
        response: FinalResponse,
        available_bytes: usize,
    ) -> bool {
        let Some(index) = self.find_open(request) else { return false };
        self.release_statement(index);
        if let FinalResponse::Malformed(message) = response {
            if !self.had_valid_request && self.slots.len() == 1 {
                self.slots.pop_back();
                self.close_as_malformed(message);
                return true;
            }
        }
        let is_first = index == 0;
        let capacity = available_bytes.min(MAX_BUFFERED_BYTES.saturating_sub(self.buffered_bytes));
        let fits = is_first || response.buffered_bytes() <= capacity;
        let response = if fits { response } else { FinalResponse::Failed };
        self.buffered_bytes += response.buffered_bytes();
        self.had_valid_request |= !matches!(response, FinalResponse::Malformed(_));
        self.slots[index] = Slot::Done(response);
        is_first
    }

    /// Starts to stream the response to a request. Returns whether it can be written now, or `None` if the request
    /// awaits no response.
    pub fn start_stream(&mut self, request: RequestNumber) -> Option<bool> {
        let index = self.find_open(request)?;
        self.release_statement(index);
        self.had_valid_request = true;
        self.slots[index] = Slot::Streaming(request);
        Some(index == 0)
    }

    /// Ends the streamed response at the front.
    pub fn finish_stream(&mut self) {
        if matches!(self.slots.front(), Some(Slot::Streaming(_))) {
            self.slots.pop_front();
        }
    }

    /// Responds to all open requests with [`FinalResponse::Cancelled`] and returns them. Streamed and buffered
    /// responses are left as they are.
    pub fn cancel_open(&mut self) -> Vec<RequestNumber> {
        let mut cancelled = Vec::new();
        for slot in &mut self.slots {
            if let Slot::Open { request, statement_bytes } = *slot {
                self.buffered_bytes -= statement_bytes;
                self.had_valid_request = true;
                *slot = Slot::Done(FinalResponse::Cancelled);
                cancelled.push(request);
            }
        }
        cancelled
    }

    /// Whether any request waits for its response to begin.
    pub fn has_open_request(&self) -> bool {
        self.slots.iter().any(|slot| matches!(slot, Slot::Open { .. }))
    }

    /// Whether this request waits for its response to begin.
    pub fn is_open(&self, request: RequestNumber) -> bool {
        self.find_open(request).is_some()
    }

    /// Whether a command stands behind the first open one.
    pub fn has_following(&self) -> bool {
        self.slots.len() > 1
    }

    fn find_open(&self, wanted: RequestNumber) -> Option<usize> {
        let is_wanted = |slot: &Slot| matches!(slot, Slot::Open { request, .. } if *request == wanted);
        self.slots.iter().position(is_wanted)
    }

    /// No longer counts the statement of the open request in this slot.
    fn release_statement(&mut self, index: usize) {
        if let Slot::Open { statement_bytes, .. } = self.slots[index] {
            self.buffered_bytes -= statement_bytes;
        }
    }

    /// Takes what is to be written next, if it is there. `is_ready` states whether the proxy is ready to serve, which
    /// empty queries wait for.
    pub fn next_write(&mut self, is_ready: bool) -> Option<NextWrite> {
        match self.slots.front() {
            Some(Slot::Open { .. }) => return None,
            Some(Slot::Streaming(request)) => return Some(NextWrite::Stream(*request)),
            Some(Slot::EmptyQuery) if !is_ready => return None,
            Some(Slot::EmptyQuery | Slot::Done(_)) => {}
            None => return self.closing.map(NextWrite::Close),
        }
        match self.slots.pop_front() {
            Some(Slot::Done(response)) => {
                self.buffered_bytes -= response.buffered_bytes();
                Some(NextWrite::Response(response))
            }
            _ => Some(NextWrite::EmptyQuery),
        }
    }
}
