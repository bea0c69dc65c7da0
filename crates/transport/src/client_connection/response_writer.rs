//! The answers of one client connection, between the broker and the connection.

use super::Reason;
use crate::response_stream::ResponseStream;
use crate::{MemoryBudget, MemoryReservation};
use async_io::Async;
use event_listener::Event as Bell;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use wharfplank_protocol::client_session::ProtocolViolation;
use wharfplank_protocol::pipeline::{FinalResponse, Pipeline, RequestNumber};

/// The answers of one client connection, where the broker leaves them.
pub struct ResponseWriter {
    pub(super) pipeline: RefCell<Pipeline>,
    pub(super) bell: Bell,
    /// Whether its client has gone.
    left: Cell<bool>,
    /// Its socket, while it is served.
    socket: RefCell<Weak<Async<TcpStream>>>,
    pub(super) memory: Rc<MemoryBudget>,
    reservation: RefCell<MemoryReservation>,
    /// What the connection reads into.
    pub(super) buffer: Cell<usize>,
    /// Answers that have begun and wait for their turn, or for the rest of themselves.
    flows: RefCell<BTreeMap<RequestNumber, ResponseStream>>,
}

impl std::fmt::Debug for ResponseWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.pipeline.borrow().fmt(f)
    }
}

impl ResponseWriter {
    /// A connection that has asked nothing yet.
    pub fn new(memory: &Rc<MemoryBudget>) -> Self {
        let (pipeline, bell, reservation) =
            (RefCell::default(), Bell::new(), RefCell::new(MemoryReservation::new(memory)));
        ResponseWriter {
            pipeline,
            bell,
            left: Cell::new(false),
            socket: RefCell::default(),
            memory: Rc::clone(memory),
            reservation,
            buffer: Cell::new(0),
            flows: RefCell::default(),
        }
    }

    /// Takes the final answer of a request, and wakes the connection if it can be written now.
    pub fn respond(&self, ticket: RequestNumber, answer: FinalResponse) {
        let due = self.pipeline.borrow_mut().complete(ticket, answer, self.memory.available());
        self.update_reservation();
        if due {
            self.wake();
        }
    }

    /// Takes the beginning of a request's final answer; the rest follows in the flow. Where nobody awaits it, the
    /// flow ends here, and the member's connection with it.
    pub fn begin_stream(&self, ticket: RequestNumber, flow: ResponseStream) {
        let due = self.pipeline.borrow_mut().start_stream(ticket);
        self.update_reservation();
        if due.is_some() {
            self.flows.borrow_mut().insert(ticket, flow);
        }
        if due == Some(true) {
            self.wake();
        }
    }

    /// Whether this request still waits for its answer here: the event that says otherwise may stand behind others.
    pub fn is_awaited(&self, ticket: RequestNumber) -> bool {
        !self.left.get() && self.pipeline.borrow().is_open(ticket)
    }

    /// The same, with a look at the socket. ClientRequest just before an attempt's first byte: what the attempt waited for and the
    /// client's end may have come in one moment, and in either order.
    pub fn is_awaited_now(&self, ticket: RequestNumber) -> bool {
        let ended = |socket: Rc<Async<TcpStream>>| match socket.get_ref().peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        };
        if self.socket.borrow().upgrade().is_some_and(ended) {
            self.left.set(true);
        }
        self.is_awaited(ticket)
    }

    /// It is served on this socket from now on.
    pub(super) fn attach_socket(&self, socket: &Rc<Async<TcpStream>>) {
        *self.socket.borrow_mut() = Rc::downgrade(socket);
    }

    /// Whether its client has gone.
    pub fn is_disconnected(&self) -> bool {
        self.left.get()
    }

    /// The client has gone: nothing is awaited any more. Tells what was open.
    pub(super) fn disconnect(&self) -> Vec<RequestNumber> {
        self.left.set(true);
        self.pipeline.borrow().open_requests().collect()
    }

    /// ConnectionEndObserver what is open on request, and tells what that was.
    pub(super) fn cancel(&self) -> Vec<RequestNumber> {
        let ended = self.pipeline.borrow_mut().cancel_open();
        self.update_reservation();
        self.wake();
        ended
    }

    /// Hands over the flow of an answer whose turn it is.
    pub(super) fn flow(&self, ticket: RequestNumber) -> Option<ResponseStream> {
        self.flows.borrow_mut().remove(&ticket)
    }

    /// Wakes the connection.
    pub fn wake(&self) {
        self.bell.notify(usize::MAX);
    }

    /// Counts what it holds; false where it is large and all together have too much.
    pub(super) fn update_reservation(&self) -> bool {
        let bytes = self.pipeline.borrow().buffered_bytes();
        self.reservation.borrow_mut().resize(self.buffer.get() + bytes)
    }

    /// Whether a further command may be asked now.
    pub(super) fn has_capacity(&self) -> bool {
        let pipeline = self.pipeline.borrow();
        pipeline.has_capacity()
            && (pipeline.is_empty() || pipeline.buffered_bytes() <= self.memory.available())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pipeline.borrow().is_empty()
    }

    pub(super) fn end(&self, reason: Reason, violation: Option<ProtocolViolation>) {
        self.pipeline.borrow_mut().close(reason, violation);
    }
}
