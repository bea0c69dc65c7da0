//! From a client's commands to requests for the broker.

use super::{ClientConnection, CloseReason};
use crate::client_listener::ClientListener;
use crate::{ClientRequest, ProxyEvent, Statement};
use std::rc::Rc;
use std::time::Instant;
use wharfplank_protocol::comment::{self, Comment};
use wharfplank_protocol::pipeline::Ticket;
use wharfplank_protocol::server::{Command, Key, Violation};

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
    Cancel(Option<Key>),
    /// The client broke the protocol.
    Violation(Violation),
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
                    self.response_writer.pipeline.borrow_mut().ask_nothing();
                }
                Input::Request(request, length) => {
                    self.on_command(listener);
                    self.dispatch_request(listener, request, length).await?;
                }
                Input::InvalidRequest(what) => {
                    self.on_command(listener);
                    self.response_writer.pipeline.borrow_mut().ask_wrongly(what);
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
                Input::Violation(violation) => {
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
        match self.server.advance() {
            Ok(None) => Input::Incomplete,
            Ok(Some(Command::Started)) => Input::Started,
            Ok(Some(Command::Empty)) => Input::EmptyQuery,
            Ok(Some(Command::Terminate)) => Input::Terminate,
            Ok(Some(Command::Cancel(key))) => Input::Cancel(key),
            Ok(Some(Command::Query(query))) => match comment::read(query) {
                Ok(comment) => {
                    let request = ClientRequest {
                        ticket: Ticket(listener.next_number()),
                        id: comment.id.to_string(),
                        class: comment.class.to_string(),
                        arrived_at: arrived_at.unwrap_or_else(Instant::now),
                        timeout_ms: comment.wait_ms,
                        group: comment.group,
                        min_position_ms: comment.after_ms,
                        session_key: comment.key.map(str::to_string),
                        statement: statement(query, &comment),
                        response_writer: Rc::clone(&self.response_writer),
                    };
                    Input::Request(Box::new(request), StatementLength(query.len()))
                }
                Err(what) => Input::InvalidRequest(what),
            },
            Err(violation) => Input::Violation(violation),
        }
    }

    /// When the last byte of the complete command at the front of the buffer arrived.
    fn front_command_arrival(&mut self) -> Option<Instant> {
        let length = self.server.length()?;
        let buffered = self.server.buffer.bytes().len();
        self.arrival_times.arrival_of(buffered, length)
    }

    /// Notes since when a message has been incomplete.
    fn note_incomplete_message(&mut self) {
        self.message_begun_at = match self.server.buffer.bytes() {
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
        self.response_writer.pipeline.borrow_mut().ask(request.ticket, length);
        self.response_writer.update_reservation();
        self.requests += 1;
        self.flush().await?;
        let sent = listener.events.send(ProxyEvent::RequestReceived(request)).await;
        sent.map_err(|_| CloseReason::Shutdown)
    }
}

/// The statement of a query. It outlives the read buffer: attempts begin and end while the next query is read.
fn statement(query: &str, comment: &Comment<'_>) -> Rc<Statement> {
    Rc::new(Statement::new(query.as_bytes().to_vec(), comment.wait_at.clone()))
}
