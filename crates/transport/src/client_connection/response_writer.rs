//! Hand-over of responses from the broker to a client connection.

use super::CloseReason;
use crate::response_stream::ResponseStream;
use crate::socket::peek;
use crate::socket::stream::TcpConnection;
use crate::{MemoryBudget, MemoryReservation};
use event_listener::{Event, EventListener};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use wharfplank_protocol::client_session::ProtocolViolation;
use wharfplank_protocol::pipeline::{FinalResponse, NextWrite, Pipeline, RequestNumber};

/// The responses of one client connection. The broker delivers them in any order; the connection writes them
/// in the order of their requests.
pub struct ResponseWriter {
    pipeline: RefCell<Pipeline>,
    /// Wakes the connection task.
    wake_event: Event,
    /// Whether the client has disconnected.
    disconnected: Cell<bool>,
    /// The client's socket, while the connection is served.
    socket: RefCell<Weak<TcpConnection>>,
    memory_budget: Rc<MemoryBudget>,
    reservation: RefCell<MemoryReservation>,
    /// The capacity of the connection's read buffer.
    pub(super) read_buffer_size: Cell<usize>,
    /// Streamed responses that wait for earlier responses to be written.
    streams: RefCell<BTreeMap<RequestNumber, ResponseStream>>,
}

impl std::fmt::Debug for ResponseWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.pipeline.borrow().fmt(f)
    }
}

impl ResponseWriter {
    /// Creates the writer of a new connection.
    pub fn new(memory_budget: &Rc<MemoryBudget>) -> Self {
        ResponseWriter {
            pipeline: RefCell::default(),
            wake_event: Event::new(),
            disconnected: Cell::new(false),
            socket: RefCell::default(),
            memory_budget: Rc::clone(memory_budget),
            reservation: RefCell::new(MemoryReservation::new(memory_budget)),
            read_buffer_size: Cell::new(0),
            streams: RefCell::default(),
        }
    }

    /// Stores the final response of a request and wakes the connection if the response can be written now.
    pub fn respond(&self, number: RequestNumber, response: FinalResponse) {
        let due = self.pipeline.borrow_mut().complete(number, response, self.available_memory());
        self.update_reservation();
        if due {
            self.wake();
        }
    }

    /// Stores the start of a streamed final response. If the request is no longer open, drops the stream,
    /// which closes the member's connection.
    pub fn begin_stream(&self, number: RequestNumber, stream: ResponseStream) {
        let due = self.pipeline.borrow_mut().start_stream(number);
        self.update_reservation();
        if due.is_some() {
            self.streams.borrow_mut().insert(number, stream);
        }
        if due == Some(true) {
            self.wake();
        }
    }

    /// Returns whether the client still waits for the response to this request. Detects a disconnect even
    /// while its event is still queued for the broker.
    pub fn is_awaited(&self, number: RequestNumber) -> bool {
        !self.disconnected.get() && self.pipeline.borrow().is_open(number)
    }

    /// Like [`ResponseWriter::is_awaited`], but also checks the socket. Call this just before an attempt's
    /// first byte is sent, since the client may have disconnected while the attempt waited for a connection,
    /// without the disconnect having been processed yet.
    pub fn is_awaited_now(&self, number: RequestNumber) -> bool {
        if self.socket().is_some_and(|stream| peek::has_ended(stream.get_ref())) {
            self.disconnected.set(true);
        }
        self.is_awaited(number)
    }

    /// Returns whether the client has disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.get()
    }

    /// Wakes the connection task.
    pub fn wake(&self) {
        self.wake_event.notify(usize::MAX);
    }

    /// Returns a listener for the next [`ResponseWriter::wake`].
    pub(super) fn listen(&self) -> EventListener {
        self.wake_event.listen()
    }

    /// Sets the socket that is checked for the client's disconnect.
    pub(super) fn attach_socket(&self, socket: &Rc<TcpConnection>) {
        *self.socket.borrow_mut() = Rc::downgrade(socket);
    }

    /// Returns the client's socket, while the connection is served.
    pub(crate) fn socket(&self) -> Option<Rc<TcpConnection>> {
        self.socket.borrow().upgrade()
    }

    /// Marks the client as disconnected and returns the open requests.
    pub(super) fn disconnect(&self) -> Vec<RequestNumber> {
        self.disconnected.set(true);
        self.pipeline.borrow().open_requests().collect()
    }

    /// Cancels the open requests and returns them.
    pub(super) fn cancel(&self) -> Vec<RequestNumber> {
        let cancelled = self.pipeline.borrow_mut().cancel_open();
        self.update_reservation();
        self.wake();
        cancelled
    }

    /// Adds a request at the end of the response order.
    pub(super) fn push_request(&self, number: RequestNumber, statement_bytes: usize) {
        self.pipeline.borrow_mut().push_request(number, statement_bytes);
        self.update_reservation();
    }

    /// Adds an empty query at the end of the response order.
    pub(super) fn push_empty_query(&self) {
        self.pipeline.borrow_mut().push_empty_query();
    }

    /// Adds the error of an invalid query at the end of the response order.
    pub(super) fn push_malformed(&self, message: &'static str) {
        self.pipeline.borrow_mut().push_malformed(message);
    }

    /// Returns the next item to write, if it is ready.
    pub(super) fn next_write(&self, answers_empty_queries: bool) -> Option<NextWrite> {
        self.pipeline.borrow_mut().next_write(answers_empty_queries)
    }

    /// Returns whether no further command is accepted.
    pub(super) fn is_closing(&self) -> bool {
        self.pipeline.borrow().is_closing()
    }

    /// Returns whether the first command is an empty query that waits until the process is ready.
    pub(super) fn awaits_readiness(&self) -> bool {
        self.pipeline.borrow().awaits_readiness()
    }

    /// Returns whether another command follows the first one.
    pub(super) fn has_following(&self) -> bool {
        self.pipeline.borrow().has_following()
    }

    /// Returns whether any request still waits for the start of its response.
    pub(super) fn has_open_request(&self) -> bool {
        self.pipeline.borrow().has_open_request()
    }

    /// Completes the streamed response that is first in order.
    pub(super) fn finish_stream(&self) {
        self.pipeline.borrow_mut().finish_stream();
    }

    /// Removes and returns the streamed response of a request.
    pub(super) fn take_stream(&self, number: RequestNumber) -> Option<ResponseStream> {
        self.streams.borrow_mut().remove(&number)
    }

    /// Returns the number of bytes that are still available in the shared memory budget.
    pub(super) fn available_memory(&self) -> usize {
        self.memory_budget.available()
    }

    /// Updates the reservation to the connection's current memory use. Returns false if the use is above the
    /// free size per connection and the budget is exceeded.
    pub(super) fn update_reservation(&self) -> bool {
        let pipeline_size = self.pipeline.borrow().buffered_bytes();
        self.reservation.borrow_mut().resize(self.read_buffer_size.get() + pipeline_size)
    }

    /// Returns whether another command may be handled before the pending ones are answered.
    pub(super) fn has_capacity(&self) -> bool {
        let pipeline = self.pipeline.borrow();
        pipeline.has_capacity()
            && (pipeline.is_empty() || pipeline.buffered_bytes() <= self.available_memory())
    }

    /// Returns whether all commands have been answered.
    pub(super) fn is_empty(&self) -> bool {
        self.pipeline.borrow().is_empty()
    }

    /// Closes the connection after the pending responses, with this error if any. Only the first call has an
    /// effect.
    pub(super) fn end(&self, reason: CloseReason, violation: Option<ProtocolViolation>) {
        self.pipeline.borrow_mut().close(reason.as_str(), violation);
    }
}
