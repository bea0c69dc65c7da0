//! From a client's commands to requests for the broker.

use super::{ClientConnection, CloseReason};
use crate::client_listener::ClientListener;
use crate::{ClientRequest, ProxyEvent, Statement};
use std::rc::Rc;
use std::time::Instant;
use wharfplank_protocol::client_session::{CancelKey, Command, ProtocolViolation};
use wharfplank_protocol::pipeline::RequestNumber;
use wharfplank_protocol::request_comment::{self, RequestComment};

/// What stands at the front of the input.
enum Input {
    /// A command that is not complete, or nothing.
    Incomplete,
    /// The startup is complete.
    Started,
    /// A query with nothing in it.
    EmptyQuery,
    /// A request that is to be handed to the broker.
    Request(Box<ClientRequest>, StatementLength),
    /// A query that is no valid request, and why.
    InvalidRequest(&'static str),
    /// The client ends the connection.
    Terminate,
    /// A cancel request. It names nothing if it is malformed.
    Cancel(Option<CancelKey>),
    /// The client broke the protocol.
    ProtocolViolation(ProtocolViolation),
}

/// The length of a statement in bytes.
struct StatementLength(usize);

impl ClientConnection {
    /// Handles the commands that have arrived, as far as there is room for their responses.
    pub(super) async fn dispatch_commands(&mut self, listener: &ClientListener) -> Result<(), CloseReason> {
        while self.response_writer.has_capacity() {
            match self.next_input(listener) {
                Input::Incomplete => {
                    self.note_incomplete_message();
                    return Ok(());
                }
                Input::Started => {
                    self.started = true;
                    self.message_begun_at = None;
                }
                Input::EmptyQuery => {
                    self.on_command(listener);
                    self.response_writer.push_empty_query();
                }
                Input::Request(request, length) => {
                    self.on_command(listener);
                    self.dispatch_request(listener, request, length).await?;
                }
                Input::InvalidRequest(what) => {
                    self.on_command(listener);
                    self.response_writer.push_malformed(what);
                }
                // Earlier requests are answered first.
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
        self.message_begun_at = None;
        Ok(())
    }

    /// Takes the next command from the input.
    fn next_input(&mut self, listener: &ClientListener) -> Input {
        let arrived_at = self.front_command_arrival();
        match self.session.advance() {
            Ok(None) => Input::Incomplete,
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

    /// When the last byte of the complete command at the front of the buffer arrived.
    fn front_command_arrival(&mut self) -> Option<Instant> {
        let length = self.session.next_command_bytes()?;
        let buffered = self.session.buffer.unread().len();
        self.arrival_times.arrival_of(buffered, length)
    }

    /// Notes since when a message has been incomplete.
    fn note_incomplete_message(&mut self) {
        self.message_begun_at = match self.session.buffer.unread() {
            [] => None,
            _ => self.message_begun_at.or(Some(Instant::now())),
        };
    }

    fn on_command(&mut self, listener: &ClientListener) {
        self.message_begun_at = None;
        listener.on_command(&self.state);
    }

    /// Reserves the place of the response, and hands the request to the broker.
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

/// The statement of a query. It outlives the read buffer: attempts begin and end while the next query is read.
fn statement(query: &str, comment: &RequestComment<'_>) -> Rc<Statement> {
    Rc::new(Statement::new(query.as_bytes().to_vec(), comment.deadline_range.clone()))
}
