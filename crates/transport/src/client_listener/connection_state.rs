//! What the listener knows of one connection.

use crate::client_connection::ResponseWriter;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;
use wharfplank_protocol::client_session::CancelKey;

/// The state of a client connection that the listener and other connections see.
pub(crate) struct ConnectionState {
    /// Its responses. It is woken by itself: one event for all would wake hundreds to close one.
    pub(crate) response_writer: Rc<ResponseWriter>,
    /// The key that a cancel request has to name.
    pub(crate) cancel_key: CancelKey,
    /// Since when it waits without an open request, while it does. Before its first command that is since it was
    /// accepted.
    pub(crate) idle_since: Cell<Option<Instant>>,
    /// Whether it has sent a command.
    pub(crate) has_sent_command: Cell<bool>,
    /// Whether it was chosen to make room for others.
    pub(crate) evicted: Cell<bool>,
    /// Whether it is closed while the process drains once it is idle: it has had a response since then, or was open
    /// before.
    pub(crate) closes_while_draining: Cell<bool>,
}

impl ConnectionState {
    /// The state of a connection that has just been accepted.
    pub(super) fn new(response_writer: Rc<ResponseWriter>, cancel_key: CancelKey) -> Self {
        ConnectionState {
            response_writer,
            cancel_key,
            idle_since: Cell::new(None),
            has_sent_command: Cell::new(false),
            evicted: Cell::new(false),
            closes_while_draining: Cell::new(false),
        }
    }
}
