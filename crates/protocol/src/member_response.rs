//! The client side of the PostgreSQL protocol, version 3: a member's responses to the startup message and to
//! queries.

use super::framing::{message_length, split_c_string, Framing, TAGGED_HEADER_BYTES};
use super::read_buffer::ReadBuffer;
use super::row::{
    describes_one_column, is_printable_c_string, row_length, sqlstate, MAX_BUFFERED_ROW_BYTES,
    ROW_HEADER_BYTES,
};
use std::ops::Range;
use thiserror::Error;

/// The maximum length of a message other than a row, in bytes. The limits keep the reader from waiting for
/// the rest of invalid data.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// The maximum total length of the messages of one response other than its row, in bytes.
const MAX_OTHER_MESSAGES_BYTES: usize = 64 * 1024;

/// The command tag of a command that returned no row.
const NO_ROW_SELECTED: &[u8] = b"SELECT 0\0";

/// The tags of the messages that a response may contain.
mod tag {
    pub const ROW_DESCRIPTION: u8 = b'T';
    pub const DATA_ROW: u8 = b'D';
    pub const COMMAND_COMPLETE: u8 = b'C';
    pub const ERROR: u8 = b'E';
    pub const PARAMETER_STATUS: u8 = b'S';
    pub const READY_FOR_QUERY: u8 = b'Z';
    pub const NOTICE: u8 = b'N';
    pub const NOTIFICATION: u8 = b'A';
    pub const EMPTY_QUERY: u8 = b'I';
    pub const AUTHENTICATION: u8 = b'R';
    pub const CANCEL_KEY: u8 = b'K';
    pub const NEGOTIATE_VERSION: u8 = b'v';
}

/// A protocol violation by the member, after which the connection cannot be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("protocol violation by the member")]
pub struct ProtocolError;

/// The kind of a member's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// A row.
    Row,
    /// Rejected without an effect: the member is not the primary, or its log is too far behind.
    Ineligible,
    /// Rejected before execution: the member is at capacity, draining, or has too many connections.
    Overloaded,
    /// The member is not ready yet.
    NotReady,
    /// A described result without a row, accepted only if [`ResponseReader::accepts_no_row`] is set.
    NoRow,
    /// Neither a row nor an error, as after the startup message or an empty query.
    Done,
    /// Any other error; the statement may have been executed.
    Error,
}

/// A complete response.
#[derive(Debug)]
pub struct MemberResponse {
    /// The kind of the response.
    pub kind: ResponseKind,
    /// The messages to forward: the row description, the row and the end of the command.
    pub messages: Vec<u8>,
    /// The range of the column's value in `messages`.
    pub value: Range<usize>,
    /// What the member stated about itself.
    pub stated: StatedState,
}

/// What a member has stated about itself in a response so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatedState {
    /// Whether the member is the primary of its group, if it stated its role.
    pub primary: Option<bool>,
    /// The log position of the member, or the commit position of a write, in Unix milliseconds.
    pub applied_ms: Option<i64>,
}

/// A part of a response that was read.
#[derive(Debug)]
pub enum ResponseEvent {
    /// A complete response. After a streamed row it contains only the messages after the row.
    Complete(MemberResponse),
    /// The start of a long row, which is streamed from here on.
    StreamStarted {
        /// The row description and the part of the row that has arrived.
        bytes: Vec<u8>,
        /// The number of bytes of the row that follow as chunks.
        remaining: usize,
        /// What the member stated before the row. The complete response repeats it.
        stated: StatedState,
    },
    /// The next part of a streamed row.
    StreamChunk(Vec<u8>),
}

/// The part of the current response that has been read.
#[derive(Debug, Default)]
struct PartialResponse {
    messages: Vec<u8>,
    /// The total length of all messages except the row.
    other_bytes: usize,
    is_described: bool,
    rows: u32,
    is_completed: bool,
    /// Whether the command tag states that there is no row.
    has_no_row: bool,
    value: Range<usize>,
    /// The number of bytes of a streamed row that have not been taken yet.
    stream_remaining: usize,
    /// Whether a row is streamed regardless of its length.
    streams_any_row: bool,
    error_code: Option<[u8; 5]>,
    stated: StatedState,
}

/// Reads the responses of a member from the bytes of a connection.
#[derive(Debug, Default)]
pub struct ResponseReader {
    /// The bytes of the connection.
    pub buffer: ReadBuffer,
    /// Whether a response with a row description and no row is accepted; otherwise it is a protocol
    /// violation.
    pub accepts_no_row: bool,
    response: PartialResponse,
}

impl ResponseReader {
    /// Returns the next part of the response to the startup message or to a query.
    ///
    /// A response is complete once the member is ready for the next query. `is_closed` states that no more
    /// bytes will arrive; an error response is then complete without that.
    ///
    /// A response with a row of up to [`MAX_BUFFERED_ROW_BYTES`] is checked completely before any of it is
    /// forwarded, so that a malformed one does not reach a client as a value. A longer row is streamed from
    /// its first bytes, since its latency is measured up to them; its lengths are checked before streaming,
    /// and the messages after it when they arrive.
    pub fn advance(&mut self, is_closed: bool) -> Result<Option<ResponseEvent>, ProtocolError> {
        loop {
            if self.response.stream_remaining > 0 {
                return Ok(self.take_stream_bytes().map(ResponseEvent::StreamChunk));
            }
            let length = self.next_message_length()?;
            if let Some(length) = length.filter(|length| self.starts_stream(*length)) {
                return Ok(Some(self.start_stream(length)));
            }
            let is_complete = |length: &usize| self.buffer.unread().len() >= *length;
            let Some(length) = length.filter(is_complete) else {
                let ended_by_error = is_closed && self.response.error_code.is_some();
                return Ok(ended_by_error.then(|| ResponseEvent::Complete(self.finish())));
            };
            let range = self.buffer.consume(length);
            let message = self.buffer.get(range);
            if self.response.add_message(message, self.accepts_no_row)? {
                return Ok(Some(ResponseEvent::Complete(self.finish())));
            }
        }
    }

    /// Returns the length of the message at the front of the buffer, once its header has arrived.
    fn next_message_length(&self) -> Result<Option<usize>, ProtocolError> {
        let bytes = self.buffer.unread();
        match bytes.first() {
            None => Ok(None),
            Some(&tag::DATA_ROW) => {
                if !self.response.may_have_row() {
                    return Err(ProtocolError);
                }
                row_length(bytes)
            }
            Some(
                &(tag::ROW_DESCRIPTION
                | tag::COMMAND_COMPLETE
                | tag::ERROR
                | tag::PARAMETER_STATUS
                | tag::READY_FOR_QUERY
                | tag::NOTICE
                | tag::NOTIFICATION
                | tag::EMPTY_QUERY
                | tag::AUTHENTICATION
                | tag::CANCEL_KEY
                | tag::NEGOTIATE_VERSION),
            ) => message_length(bytes, Framing::Tagged, MAX_MESSAGE_BYTES).map_err(|_| ProtocolError),
            Some(_) => Err(ProtocolError),
        }
    }

    /// Returns whether the message of this length at the front of the buffer is a row to be streamed, and the
    /// first byte of its value has arrived.
    fn starts_stream(&self, length: usize) -> bool {
        let bytes = self.buffer.unread();
        let is_long = length > ROW_HEADER_BYTES + MAX_BUFFERED_ROW_BYTES;
        let is_forced = self.response.streams_any_row && bytes.len() < length;
        bytes.first() == Some(&tag::DATA_ROW) && bytes.len() > ROW_HEADER_BYTES && (is_long || is_forced)
    }

    fn start_stream(&mut self, length: usize) -> ResponseEvent {
        self.response.rows += 1;
        self.response.stream_remaining = length;
        let arrived = self.take_stream_bytes().unwrap_or_default();
        let mut bytes = std::mem::take(&mut self.response.messages);
        bytes.extend_from_slice(&arrived);
        let PartialResponse { stream_remaining: remaining, stated, .. } = self.response;
        ResponseEvent::StreamStarted { bytes, remaining, stated }
    }

    /// Takes the bytes of a streamed row that have arrived; `None` if there are none.
    fn take_stream_bytes(&mut self) -> Option<Vec<u8>> {
        let count = self.response.stream_remaining.min(self.buffer.unread().len());
        let range = self.buffer.consume(count);
        self.response.stream_remaining -= count;
        (count > 0).then(|| self.buffer.get(range).to_vec())
    }

    /// Streams the row of the current response regardless of its length, for lack of memory to buffer it.
    /// Returns false if that was already set.
    pub fn stream_any_row(&mut self) -> bool {
        !std::mem::replace(&mut self.response.streams_any_row, true)
    }

    /// Returns whether a streamed row is incomplete.
    pub fn is_streaming(&self) -> bool {
        self.response.stream_remaining > 0
    }

    /// Returns whether the response has begun to arrive and is incomplete.
    pub fn has_partial_response(&self) -> bool {
        self.response.other_bytes > 0 || !self.buffer.unread().is_empty()
    }

    fn finish(&mut self) -> MemberResponse {
        let response = std::mem::take(&mut self.response);
        MemberResponse {
            kind: response.kind(self.accepts_no_row),
            messages: response.messages,
            value: response.value,
            stated: response.stated,
        }
    }
}

impl PartialResponse {
    /// Returns whether a row may come next. An unexpected row is rejected before its value is read.
    fn may_have_row(&self) -> bool {
        self.is_described && !self.is_completed && self.rows == 0 && self.error_code.is_none()
    }

    /// Adds a complete message. Returns true for the last message of a response.
    fn add_message(&mut self, message: &[u8], accepts_no_row: bool) -> Result<bool, ProtocolError> {
        let (tag, body) = (message[0], &message[TAGGED_HEADER_BYTES..]);
        if tag != tag::DATA_ROW {
            self.other_bytes += message.len();
        }
        if !self.accepts(tag, body, accepts_no_row) || self.other_bytes > MAX_OTHER_MESSAGES_BYTES {
            return Err(ProtocolError);
        }
        match tag {
            tag::ROW_DESCRIPTION | tag::COMMAND_COMPLETE => {
                self.has_no_row = self.rows == 0 && body == NO_ROW_SELECTED;
                self.messages.extend_from_slice(message);
            }
            tag::DATA_ROW => {
                self.rows += 1;
                let start = self.messages.len();
                self.messages.extend_from_slice(message);
                self.value = start + ROW_HEADER_BYTES..self.messages.len();
            }
            tag::ERROR => self.error_code = self.error_code.or(Some(sqlstate(body))),
            tag::PARAMETER_STATUS => self.read_parameter(body)?,
            _ => {}
        }
        Ok(tag == tag::READY_FOR_QUERY)
    }

    /// Returns whether a message is well formed and expected at this point, and records messages that must
    /// not repeat.
    fn accepts(&mut self, tag: u8, body: &[u8], accepts_no_row: bool) -> bool {
        match tag {
            tag::ROW_DESCRIPTION => {
                let is_repeated = std::mem::replace(&mut self.is_described, true);
                !is_repeated && describes_one_column(body)
            }
            tag::COMMAND_COMPLETE => {
                let is_repeated = std::mem::replace(&mut self.is_completed, true);
                !is_repeated && is_printable_c_string(body)
            }
            // Only a member that requires no password is accepted.
            tag::AUTHENTICATION => body == [0; 4],
            tag::READY_FOR_QUERY => {
                let is_unfinished = self.is_described && !self.is_finished(accepts_no_row);
                matches!(body, [b'I' | b'T' | b'E']) && !is_unfinished
            }
            _ => true,
        }
    }

    fn read_parameter(&mut self, body: &[u8]) -> Result<(), ProtocolError> {
        let (name, rest) = split_c_string(body).ok_or(ProtocolError)?;
        let (value, _) = split_c_string(rest).ok_or(ProtocolError)?;
        let value = std::str::from_utf8(value).unwrap_or_default();
        match (name, value) {
            (b"role", "primary") => self.stated.primary = Some(true),
            (b"role", "replica") => self.stated.primary = Some(false),
            (b"applied_ms", _) => self.stated.applied_ms = parse_position(value),
            _ => {}
        }
        Ok(())
    }

    /// Returns whether a response with a row description has ended as expected: with its row, or with an
    /// error.
    fn is_finished(&self, accepts_no_row: bool) -> bool {
        let has_expected_rows = self.rows == 1 || (accepts_no_row && self.has_no_row);
        self.error_code.is_some() || (self.is_completed && has_expected_rows)
    }

    fn kind(&self, accepts_no_row: bool) -> ResponseKind {
        match self.error_code.as_ref().map(|code| &code[..]) {
            None if self.rows == 1 && self.is_completed => ResponseKind::Row,
            None if self.is_described && self.is_finished(accepts_no_row) => ResponseKind::NoRow,
            None if self.rows == 0 => ResponseKind::Done,
            Some(b"25006" | b"72000") => ResponseKind::Ineligible,
            Some(b"53300") => ResponseKind::Overloaded,
            Some(b"57P03") => ResponseKind::NotReady,
            _ => ResponseKind::Error,
        }
    }
}

/// Parses a log position in milliseconds, rounded down, so that a member is never considered more recent than
/// it is.
fn parse_position(text: &str) -> Option<i64> {
    text.split('.').next().and_then(|integer| integer.parse().ok())
}
