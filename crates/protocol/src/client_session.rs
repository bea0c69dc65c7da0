//! The server side of the PostgreSQL protocol, version 3, for connections from clients. Supports simple
//! queries only.

mod startup;

use super::framing::{
    message_length, split_c_string, write_c_string, write_message, FrameError, Framing, TAGGED_HEADER_BYTES,
};
use super::pipeline::FinalResponse;
use super::read_buffer::ReadBuffer;
use startup::{write_greeting, write_version_negotiation, StartupRequest, PROTOCOL_VERSION_3};
use thiserror::Error;

/// The maximum length of a startup message, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// The maximum length of a query, in bytes. A value of 1 MiB takes 2 MiB in hexadecimal.
const MAX_QUERY_BYTES: usize = 2 * 1024 * 1024 + 64 * 1024;

/// The key that identifies a connection in a cancel request. It is sent only to the client of that
/// connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CancelKey {
    /// The number of the connection, instead of the process id that PostgreSQL uses.
    pub process_id: u32,
    /// A random number.
    pub secret: u32,
}

/// A command of a client.
#[derive(Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// A request for an encrypted connection; that it is declined is in the output.
    EncryptionDeclined,
    /// The startup is complete, and the greeting is in the output.
    Started,
    /// A query without a statement.
    EmptyQuery,
    /// A query.
    Query(&'a str),
    /// The client closes the connection.
    Terminate,
    /// A cancel request, which has its own connection and no response; `None` if the request is malformed.
    Cancel(Option<CancelKey>),
}

/// A protocol violation that closes the connection, with the error that is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{message} ({code})")]
pub struct ProtocolViolation {
    /// The SQLSTATE.
    pub code: &'static str,
    /// The error message.
    pub message: &'static str,
}

impl ProtocolViolation {
    const fn new(code: &'static str, message: &'static str) -> Self {
        ProtocolViolation { code, message }
    }
}

const INVALID_LENGTH: ProtocolViolation = ProtocolViolation::new("08P01", "invalid message length");
const MESSAGE_TOO_LONG: ProtocolViolation = ProtocolViolation::new("54000", "message too long");
const INVALID_STARTUP: ProtocolViolation = ProtocolViolation::new("08P01", "invalid startup message");
const INVALID_QUERY: ProtocolViolation = ProtocolViolation::new("08P01", "invalid query message");
const QUERY_NOT_UTF8: ProtocolViolation = ProtocolViolation::new("22021", "the query is not UTF-8");
const UNKNOWN_MESSAGE: ProtocolViolation = ProtocolViolation::new("08P01", "unknown message type");
const EXTENDED_QUERY: ProtocolViolation =
    ProtocolViolation::new("0A000", "only simple queries are supported");
const UNSUPPORTED_VERSION: ProtocolViolation =
    ProtocolViolation::new("0A000", "unsupported protocol version");

/// The severity of an error message.
#[derive(Clone, Copy)]
enum Severity {
    /// The connection stays open.
    Error,
    /// The connection is closed.
    Fatal,
}

impl Severity {
    fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

/// The server side of one client connection.
#[derive(Debug, Default)]
pub struct ClientSession {
    /// The bytes that were read from the client.
    pub buffer: ReadBuffer,
    /// The bytes to write to the client.
    pub output: Vec<u8>,
    is_started: bool,
    cancel_key: CancelKey,
}

impl ClientSession {
    /// Creates the session of a new connection, whose greeting will contain this key.
    pub fn new(cancel_key: CancelKey) -> Self {
        ClientSession { cancel_key, ..ClientSession::default() }
    }

    /// Returns the next command once it is complete.
    pub fn advance(&mut self) -> Result<Option<Command<'_>>, ProtocolViolation> {
        if !self.is_started {
            return self.advance_startup();
        }
        let length = complete_message(&self.buffer, Framing::Tagged, MAX_QUERY_BYTES)?;
        let Some(length) = length else { return Ok(None) };
        let range = self.buffer.consume(length);
        let message = self.buffer.get(range);
        if message.len() < TAGGED_HEADER_BYTES {
            return Err(INVALID_LENGTH);
        }
        let (tag, body) = (message[0], &message[TAGGED_HEADER_BYTES..]);
        match tag {
            b'Q' => parse_query(body).map(Some),
            b'X' => Ok(Some(Command::Terminate)),
            b'P' | b'B' | b'D' | b'E' | b'C' | b'S' | b'H' | b'F' => Err(EXTENDED_QUERY),
            _ => Err(UNKNOWN_MESSAGE),
        }
    }

    fn advance_startup(&mut self) -> Result<Option<Command<'_>>, ProtocolViolation> {
        let length = complete_message(&self.buffer, Framing::Untagged, MAX_STARTUP_BYTES)?;
        let Some(length) = length else { return Ok(None) };
        let range = self.buffer.consume(length);
        match StartupRequest::parse(self.buffer.get(range))? {
            StartupRequest::Encryption => {
                self.output.push(b'N');
                Ok(Some(Command::EncryptionDeclined))
            }
            StartupRequest::Cancel(key) => Ok(Some(Command::Cancel(key))),
            StartupRequest::Start { version, options } => {
                if version != PROTOCOL_VERSION_3 || !options.is_empty() {
                    write_version_negotiation(&mut self.output, &options);
                }
                self.is_started = true;
                write_greeting(&mut self.output, self.cancel_key);
                self.write_ready();
                Ok(Some(Command::Started))
            }
        }
    }

    /// Returns the length in bytes of the command at the front of the buffer, or `None` while it is
    /// incomplete or if it is invalid.
    pub fn next_command_bytes(&self) -> Option<usize> {
        let (framing, max_length) = match self.is_started {
            true => (Framing::Tagged, MAX_QUERY_BYTES),
            false => (Framing::Untagged, MAX_STARTUP_BYTES),
        };
        complete_message(&self.buffer, framing, max_length).ok()?
    }

    /// Writes the response to an empty query.
    pub fn write_empty_query_response(&mut self) {
        write_message(&mut self.output, b'I', |_| {});
        self.write_ready();
    }

    /// Writes the final response to a request. The connection stays open after an error.
    pub fn write_response(&mut self, response: FinalResponse) {
        match response {
            FinalResponse::Served(messages) if self.output.is_empty() => self.output = messages,
            FinalResponse::Served(messages) => self.output.extend_from_slice(&messages),
            FinalResponse::Rejected { retry_after_ms } => {
                let detail = (retry_after_ms > 0).then(|| retry_after_ms.to_string());
                self.write_error("53300", "refused: trying again is harmless", detail.as_deref());
            }
            FinalResponse::Failed => self.write_error("58000", "failed: it may have run", None),
            FinalResponse::Cancelled => {
                self.write_error("57014", "cancelled on request: it may have run", None);
            }
            FinalResponse::Malformed(message) => self.write_error("08P01", message, None),
        }
        self.write_ready();
    }

    fn write_error(&mut self, code: &str, message: &str, detail: Option<&str>) {
        write_error(&mut self.output, Severity::Error, code, message, detail);
    }

    /// Writes the error that closes the connection.
    pub fn write_fatal(&mut self, violation: ProtocolViolation) {
        write_error(&mut self.output, Severity::Fatal, violation.code, violation.message, None);
    }

    /// Writes the `ReadyForQuery` message that ends a response.
    pub fn write_ready(&mut self) {
        write_message(&mut self.output, b'Z', |out| out.push(b'I'));
    }
}

/// Returns the length of the message at the front of the buffer, once it is complete.
fn complete_message(
    buffer: &ReadBuffer,
    framing: Framing,
    max_length: usize,
) -> Result<Option<usize>, ProtocolViolation> {
    let length = message_length(buffer.unread(), framing, max_length).map_err(|error| match error {
        FrameError::InvalidLength => INVALID_LENGTH,
        FrameError::TooLong => MESSAGE_TOO_LONG,
    })?;
    Ok(length.filter(|length| buffer.unread().len() >= *length))
}

fn parse_query(body: &[u8]) -> Result<Command<'_>, ProtocolViolation> {
    let (statement, rest) = split_c_string(body).ok_or(INVALID_QUERY)?;
    if !rest.is_empty() {
        return Err(INVALID_QUERY);
    }
    let statement = std::str::from_utf8(statement).map_err(|_| QUERY_NOT_UTF8)?;
    let is_empty = statement.bytes().all(|byte| byte.is_ascii_whitespace() || byte == b';');
    Ok(if is_empty { Command::EmptyQuery } else { Command::Query(statement) })
}

fn write_error(out: &mut Vec<u8>, severity: Severity, code: &str, message: &str, detail: Option<&str>) {
    let severity = severity.as_str();
    write_message(out, b'E', |out| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)];
        let detail = detail.map(|detail| (b'D', detail));
        for (field, value) in fields.into_iter().chain(detail) {
            out.push(field);
            write_c_string(out, value);
        }
        out.push(0);
    });
}
