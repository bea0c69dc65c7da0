//! The state of a client connection that is visible outside its task.

use crate::client_connection::ResponseWriter;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;
use wharfplank_protocol::client_session::CancelKey;

/// The state of a client connection that the listener and other connections access.
pub(crate) struct ConnectionState {
    /// The connection's responses. Each connection has its own wake event: a shared one would wake hundreds
    /// of tasks to close one connection.
    pub(crate) response_writer: Rc<ResponseWriter>,
    /// The key that cancel requests for this connection must carry.
    pub(crate) cancel_key: CancelKey,
    /// When the connection became idle, set only while it waits without an open request. Before the first
    /// command, the time of the accept.
    pub(crate) idle_since: Cell<Option<Instant>>,
    /// Whether the client has sent a command.
    pub(crate) has_sent_command: Cell<bool>,
    /// Whether the connection was selected for eviction.
    pub(crate) evicted: Cell<bool>,
    /// Whether a response is partly written.
    pub(crate) is_writing: Cell<bool>,
    /// Whether the connection is closed when it becomes idle during a drain. True if it was open before the
    /// drain started or has received a response since.
    pub(crate) closes_while_draining: Cell<bool>,
}

impl ConnectionState {
    /// Creates the state of a connection that was just accepted.
    pub(super) fn new(response_writer: Rc<ResponseWriter>, cancel_key: CancelKey) -> Self {
        ConnectionState {
            response_writer,
            cancel_key,
            idle_since: Cell::new(None),
            has_sent_command: Cell::new(false),
            evicted: Cell::new(false),
            is_writing: Cell::new(false),
            closes_while_draining: Cell::new(false),
        }
    }
}
