//! Parsing of client commands and dispatch of their requests to the broker.

use super::{ClientConnection, CloseReason};
use crate::client_listener::ClientListener;
use crate::{ClientRequest, ProxyEvent, Statement};
use std::rc::Rc;
use std::time::Instant;
use wharfplank_protocol::client_session::{CancelKey, Command, ProtocolViolation};
use wharfplank_protocol::pipeline::RequestNumber;
use wharfplank_protocol::request_comment::{self, RequestComment};

/// The next item in the input.
enum Input {
    /// No complete command.
    Incomplete,
    /// A request for an encrypted connection, which the session has declined.
    EncryptionDeclined,
    /// The startup message.
    Started,
    /// An empty query.
    EmptyQuery,
    /// A request to send to the broker.
    Request(Box<ClientRequest>, StatementLength),
    /// A query that is not a valid request, with the error message.
    InvalidRequest(&'static str),
    /// A request to end the connection.
    Terminate,
    /// A cancel request; without a key if it is malformed.
    Cancel(Option<CancelKey>),
    /// A protocol violation by the client.
    ProtocolViolation(ProtocolViolation),
}

/// The number of requests for an encrypted connection that are declined in one turn.
const MAX_DECLINED_IN_A_ROW: u32 = 32;

/// Which of the commands that may be handled now were handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Dispatched {
    /// All of them.
    All,
    /// Some of them, so that other connections get their turn.
    Some,
}

/// The length of a statement in bytes.
struct StatementLength(usize);

impl ClientConnection {
    /// Handles received commands while there is capacity for their responses.
    pub(super) async fn dispatch_commands(
        &mut self,
        listener: &ClientListener,
    ) -> Result<Dispatched, CloseReason> {
        let mut declined = 0;
        while self.response_writer.has_capacity() {
            match self.next_input(listener) {
                Input::Incomplete => {
                    self.track_incomplete_message();
                    return Ok(Dispatched::All);
                }
                Input::EncryptionDeclined => {
                    declined += 1;
                    if declined >= MAX_DECLINED_IN_A_ROW {
                        return Ok(Dispatched::Some);
                    }
                }
                Input::Started => {
                    self.started = true;
                    self.message_started_at = None;
                }
                Input::EmptyQuery => {
                    self.on_command(listener);
                    self.response_writer.push_empty_query();
                }
                Input::Request(request, length) => {
                    self.on_command(listener);
                    self.dispatch_request(listener, request, length).await?;
                }
                Input::InvalidRequest(error_message) => {
                    self.on_command(listener);
                    self.response_writer.push_malformed(error_message);
                }
                // The connection closes after the responses to earlier requests.
                Input::Terminate => {
                    self.response_writer.end(CloseReason::Terminated, None);
                    break;
                }
                Input::Cancel(key) => {
                    if let Some(key) = key {
                        listener.cancel(key).await;
                    }
                    return Err(CloseReason::CancelRequest);
                }
                Input::ProtocolViolation(violation) => {
                    self.response_writer.end(CloseReason::ProtocolViolation, Some(violation));
                    break;
                }
            }
        }
        self.message_started_at = None;
        Ok(Dispatched::All)
    }

    /// Parses the next command from the input.
    fn next_input(&mut self, listener: &ClientListener) -> Input {
        let arrived_at = self.front_command_arrival();
        match self.session.advance() {
            Ok(None) => Input::Incomplete,
            Ok(Some(Command::EncryptionDeclined)) => Input::EncryptionDeclined,
            Ok(Some(Command::Started)) => Input::Started,
            Ok(Some(Command::EmptyQuery)) => Input::EmptyQuery,
            Ok(Some(Command::Terminate)) => Input::Terminate,
            Ok(Some(Command::Cancel(key))) => Input::Cancel(key),
            Ok(Some(Command::Query(query))) => match request_comment::parse(query) {
                Ok(comment) => {
                    let request = ClientRequest {
                        number: RequestNumber(listener.next_number()),
                        id: comment.id.to_string(),
                        class: comment.class.to_string(),
                        arrived_at: arrived_at.unwrap_or_else(Instant::now),
                        timeout_ms: comment.deadline_ms,
                        group: comment.group,
                        min_position_ms: comment.min_position_ms,
                        session_key: comment.session_key.map(str::to_string),
                        statement: statement(query, &comment),
                        response_writer: Rc::clone(&self.response_writer),
                    };
                    Input::Request(Box::new(request), StatementLength(query.len()))
                }
                Err(error) => Input::InvalidRequest(error.message()),
            },
            Err(violation) => Input::ProtocolViolation(violation),
        }
    }

    /// Returns when the last byte of the next complete command in the buffer arrived.
    fn front_command_arrival(&mut self) -> Option<Instant> {
        let length = self.session.next_command_bytes()?;
        let buffered = self.session.buffer.unread().len();
        self.arrival_times.arrival_of(buffered, length)
    }

    /// Records when the current incomplete message started.
    fn track_incomplete_message(&mut self) {
        self.message_started_at = match self.session.buffer.unread() {
            [] => None,
            _ => self.message_started_at.or(Some(Instant::now())),
        };
    }

    fn on_command(&mut self, listener: &ClientListener) {
        self.message_started_at = None;
        listener.on_command(&self.state);
    }

    /// Reserves the position of the response in the output order and sends the request to the broker.
    async fn dispatch_request(
        &mut self,
        listener: &ClientListener,
        request: Box<ClientRequest>,
        StatementLength(length): StatementLength,
    ) -> Result<(), CloseReason> {
        self.response_writer.push_request(request.number, length);
        self.requests += 1;
        self.flush().await?;
        let sent = listener.events.send(ProxyEvent::RequestReceived(request)).await;
        sent.map_err(|_| CloseReason::Shutdown)
    }
}

/// Returns a query's statement as a copy, since attempts outlive the query's bytes in the read buffer.
fn statement(query: &str, comment: &RequestComment<'_>) -> Rc<Statement> {
    Rc::new(Statement::new(query.as_bytes().to_vec(), comment.deadline_range.clone()))
}
