//! The order of responses on one client connection.
//!
//! The pipelined commands of a client are processed concurrently, each with its own number and deadline, and
//! may complete in any order; the responses are written in the order of the commands. A [`Pipeline`] has one
//! slot per command: an early response is buffered there until the preceding ones are written. The pipeline
//! has no access to sockets or clocks.

use super::client_session::ProtocolViolation;
use std::collections::VecDeque;

/// The maximum number of open commands per connection. A command is open until its response is written. The
/// limit keeps a single client that sends a thousand commands at once from using all capacity of the members.
pub const MAX_OPEN_COMMANDS: usize = 32;
/// The maximum number of bytes of statements and early responses that are buffered per connection, besides
/// the response in the first slot. Above half of it no further command is accepted; a response that would
/// exceed it fails.
pub const MAX_BUFFERED_BYTES: usize = 2 * 1024 * 1024;

/// The number of a request, which is unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// The final response to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// Served, with the messages of the member's response.
    Served(Vec<u8>),
    /// Rejected without an effect, so that a retry is safe.
    Rejected {
        /// The recommended delay before a retry, in milliseconds; 0 for no recommendation.
        retry_after_ms: i64,
    },
    /// Failed; the statement may have been executed.
    Failed,
    /// Cancelled by a cancel request; the statement may have been executed.
    Cancelled,
    /// The request is malformed, for this reason.
    Malformed(&'static str),
}

impl FinalResponse {
    /// Returns the number of bytes that the response occupies while it is buffered.
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
    /// A request without a response, and the length of its statement.
    Open { request: RequestNumber, statement_bytes: usize },
    /// A response that is not written yet.
    Done(FinalResponse),
    /// A response that is being streamed; the driver holds the bytes that have arrived.
    Streaming(RequestNumber),
    /// An empty query, which is answered once the proxy is ready to serve.
    EmptyQuery,
}

/// How the connection is closed once the responses to all open commands are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closing {
    /// The code of the reason, for the log.
    pub reason: &'static str,
    /// The error to send to the client, if it violated the protocol.
    pub violation: Option<ProtocolViolation>,
}

/// The next item to write.
#[derive(Debug, PartialEq, Eq)]
pub enum NextWrite {
    /// The response to a request.
    Response(FinalResponse),
    /// The next bytes of the response that is streamed for this request, until [`Pipeline::finish_stream`].
    Stream(RequestNumber),
    /// The response to an empty query.
    EmptyQuery,
    /// Nothing more; the connection is to be closed.
    Close(Closing),
}

/// The open commands of one connection, in order.
#[derive(Debug, Default)]
pub struct Pipeline {
    slots: VecDeque<Slot>,
    /// The total length of open statements and buffered responses.
    buffered_bytes: usize,
    /// Whether any request on the connection was well formed.
    had_valid_request: bool,
    closing: Option<Closing>,
}

impl Pipeline {
    /// Returns whether a further command may be accepted now.
    pub fn has_capacity(&self) -> bool {
        let has_bytes = self.slots.is_empty() || self.buffered_bytes <= MAX_BUFFERED_BYTES / 2;
        self.closing.is_none() && self.slots.len() < MAX_OPEN_COMMANDS && has_bytes
    }

    /// Returns whether no command is open.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns whether the connection is closing and no further command is accepted; see [`Pipeline::close`].
    pub fn is_closing(&self) -> bool {
        self.closing.is_some()
    }

    /// Returns whether the first open command is an empty query, which waits for the proxy to become ready.
    pub fn awaits_readiness(&self) -> bool {
        self.slots.front() == Some(&Slot::EmptyQuery)
    }

    /// Returns the total length in bytes of open statements and buffered responses.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Returns an iterator over the requests without a complete response, in order.
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

    /// Adds a malformed command, with its error as the response; see [`Pipeline::complete`].
    pub fn push_malformed(&mut self, message: &'static str) {
        if self.had_valid_request || !self.slots.is_empty() {
            self.slots.push_back(Slot::Done(FinalResponse::Malformed(message)));
        } else {
            self.close_as_malformed(message);
        }
    }

    /// Stops accepting commands. The connection is closed after the responses to the open ones are written.
    /// If called repeatedly, the first reason is kept.
    pub fn close(&mut self, reason: &'static str, violation: Option<ProtocolViolation>) {
        self.closing.get_or_insert(Closing { reason, violation });
    }

    fn close_as_malformed(&mut self, message: &'static str) {
        let violation = ProtocolViolation { code: "08P01", message };
        self.close("malformed_request", Some(violation));
    }

    /// Completes a request with its final response. Returns whether something can be written now.
    ///
    /// `available_bytes` is the buffer space that other connections leave. A response that has to wait and
    /// does not fit into the available space is dropped, and the request ends as [`FinalResponse::Failed`],
    /// since it may have been executed.
    ///
    /// A malformed request closes the connection if none of its requests was well formed. Otherwise the error
    /// is written in order and the connection stays open, since closing it would lose the requests after the
    /// malformed one.
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

    /// Starts to stream the response to a request. Returns whether it can be written now, or `None` if the
    /// request does not wait for a response.
    pub fn start_stream(&mut self, request: RequestNumber) -> Option<bool> {
        let index = self.find_open(request)?;
        self.release_statement(index);
        self.had_valid_request = true;
        self.slots[index] = Slot::Streaming(request);
        Some(index == 0)
    }

    /// Removes the streamed response at the front.
    pub fn finish_stream(&mut self) {
        if matches!(self.slots.front(), Some(Slot::Streaming(_))) {
            self.slots.pop_front();
        }
    }

    /// Completes all open requests with [`FinalResponse::Cancelled`] and returns them. Streamed and buffered
    /// responses are not changed.
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

    /// Returns whether any request waits for its response to begin.
    pub fn has_open_request(&self) -> bool {
        self.slots.iter().any(|slot| matches!(slot, Slot::Open { .. }))
    }

    /// Returns whether this request waits for its response to begin.
    pub fn is_open(&self, request: RequestNumber) -> bool {
        self.find_open(request).is_some()
    }

    /// Returns whether there are further commands after the first open one.
    pub fn has_following(&self) -> bool {
        self.slots.len() > 1
    }

    fn find_open(&self, wanted: RequestNumber) -> Option<usize> {
        let is_wanted = |slot: &Slot| matches!(slot, Slot::Open { request, .. } if *request == wanted);
        self.slots.iter().position(is_wanted)
    }

    /// Subtracts the statement of the open request in this slot from the buffered bytes.
    fn release_statement(&mut self, index: usize) {
        if let Slot::Open { statement_bytes, .. } = self.slots[index] {
            self.buffered_bytes -= statement_bytes;
        }
    }

    /// Takes the next response to write, if it is available. `is_ready` states whether the proxy is ready to
    /// serve, which empty queries wait for.
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
