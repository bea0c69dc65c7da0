//! The responses of one client connection, between the broker and the connection.

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

/// Takes the responses of one client connection from the broker, in any order. The connection writes them in the order
/// of their requests.
pub struct ResponseWriter {
    pipeline: RefCell<Pipeline>,
    /// Wakes the connection.
    woken: Event,
    /// Whether the client has disconnected.
    disconnected: Cell<bool>,
    /// The client's socket, while the connection is served.
    socket: RefCell<Weak<TcpConnection>>,
    memory_budget: Rc<MemoryBudget>,
    reservation: RefCell<MemoryReservation>,
    /// The size of the buffer that the connection reads into.
    pub(super) read_buffer_size: Cell<usize>,
    /// Streamed responses that wait for their turn.
    streams: RefCell<BTreeMap<RequestNumber, ResponseStream>>,
}

impl std::fmt::Debug for ResponseWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.pipeline.borrow().fmt(f)
    }
}

impl ResponseWriter {
    /// Creates the writer of a connection that has sent nothing yet.
    pub fn new(memory_budget: &Rc<MemoryBudget>) -> Self {
        ResponseWriter {
            pipeline: RefCell::default(),
            woken: Event::new(),
            disconnected: Cell::new(false),
            socket: RefCell::default(),
            memory_budget: Rc::clone(memory_budget),
            reservation: RefCell::new(MemoryReservation::new(memory_budget)),
            read_buffer_size: Cell::new(0),
            streams: RefCell::default(),
        }
    }

    /// Takes the final response of a request, and wakes the connection if it can be written now.
    pub fn respond(&self, number: RequestNumber, response: FinalResponse) {
        let due = self.pipeline.borrow_mut().complete(number, response, self.available_memory());
        self.update_reservation();
        if due {
            self.wake();
        }
    }

    /// Takes the beginning of a request's final response; the rest follows in the stream. If nobody awaits it, the
    /// stream is dropped, and the member's connection with it.
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

    /// Whether the client still awaits the response to this request. It may have disconnected although the event that
    /// says so is still queued.
    pub fn is_awaited(&self, number: RequestNumber) -> bool {
        !self.disconnected.get() && self.pipeline.borrow().is_open(number)
    }

    /// Like [`ResponseWriter::is_awaited`], with a look at the socket. To be called just before an attempt's first
    /// byte: what the attempt waited for and the client's disconnect may have come at the same moment, in either
    /// order.
    pub fn is_awaited_now(&self, number: RequestNumber) -> bool {
        let stream = self.socket.borrow().upgrade();
        if stream.is_some_and(|stream| peek::has_ended(stream.get_ref())) {
            self.disconnected.set(true);
        }
        self.is_awaited(number)
    }

    /// Whether the client has disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.get()
    }

    /// Wakes the connection.
    pub fn wake(&self) {
        self.woken.notify(usize::MAX);
    }

    /// Waits for the next [`ResponseWriter::wake`].
    pub(super) fn listen(&self) -> EventListener {
        self.woken.listen()
    }

    /// Looks at this socket from now on to see the client's disconnect.
    pub(super) fn attach_socket(&self, socket: &Rc<TcpConnection>) {
        *self.socket.borrow_mut() = Rc::downgrade(socket);
    }

    /// Notes that the client has disconnected, and returns the requests that were open.
    pub(super) fn disconnect(&self) -> Vec<RequestNumber> {
        self.disconnected.set(true);
        self.pipeline.borrow().open_requests().collect()
    }

    /// Cancels the open requests, and returns them.
    pub(super) fn cancel(&self) -> Vec<RequestNumber> {
        let cancelled = self.pipeline.borrow_mut().cancel_open();
        self.update_reservation();
        self.wake();
        cancelled
    }

    /// Gives a request the next place in the order of responses.
    pub(super) fn push_request(&self, number: RequestNumber, statement_bytes: usize) {
        self.pipeline.borrow_mut().push_request(number, statement_bytes);
        self.update_reservation();
    }

    /// Gives an empty query the next place in the order of responses.
    pub(super) fn push_empty_query(&self) {
        self.pipeline.borrow_mut().push_empty_query();
    }

    /// Gives a query that is no valid request the next place in the order of responses, with its error.
    pub(super) fn push_malformed(&self, message: &'static str) {
        self.pipeline.borrow_mut().push_malformed(message);
    }

    /// What is to be written next, if it is there.
    pub(super) fn next_write(&self, answers_empty_queries: bool) -> Option<NextWrite> {
        self.pipeline.borrow_mut().next_write(answers_empty_queries)
    }

    /// Whether no further command is accepted.
    pub(super) fn is_closing(&self) -> bool {
        self.pipeline.borrow().is_closing()
    }

    /// Whether an empty query at the front waits until the process is ready.
    pub(super) fn awaits_readiness(&self) -> bool {
        self.pipeline.borrow().awaits_readiness()
    }

    /// Whether a command stands behind the one at the front.
    pub(super) fn has_following(&self) -> bool {
        self.pipeline.borrow().has_following()
    }

    /// Whether any request waits for its response to begin.
    pub(super) fn has_open_request(&self) -> bool {
        self.pipeline.borrow().has_open_request()
    }

    /// Ends the streamed response at the front.
    pub(super) fn finish_stream(&self) {
        self.pipeline.borrow_mut().finish_stream();
    }

    /// Hands over the streamed response of a request.
    pub(super) fn take_stream(&self, number: RequestNumber) -> Option<ResponseStream> {
        self.streams.borrow_mut().remove(&number)
    }

    /// Bytes that all connections may still buffer.
    pub(super) fn available_memory(&self) -> usize {
        self.memory_budget.available()
    }

    /// Reserves the memory that the connection uses now. Returns false if it is large and the budget is exceeded.
    pub(super) fn update_reservation(&self) -> bool {
        let pipeline_size = self.pipeline.borrow().buffered_bytes();
        self.reservation.borrow_mut().resize(self.read_buffer_size.get() + pipeline_size)
    }

    /// Whether a further command may be handled before those in hand are answered.
    pub(super) fn has_capacity(&self) -> bool {
        let pipeline = self.pipeline.borrow();
        pipeline.has_capacity()
            && (pipeline.is_empty() || pipeline.buffered_bytes() <= self.available_memory())
    }

    /// Whether all commands have been answered.
    pub(super) fn is_empty(&self) -> bool {
        self.pipeline.borrow().is_empty()
    }

    /// Ends the connection after the responses that are due, with this error if any. The first reason counts.
    pub(super) fn end(&self, reason: CloseReason, violation: Option<ProtocolViolation>) {
        self.pipeline.borrow_mut().close(reason.as_str(), violation);
    }
}
