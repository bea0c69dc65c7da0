//! The listener for clients, and the table of their connections.

mod admission;
mod connection_state;

pub use admission::overflow_connections;
pub(crate) use connection_state::ConnectionState;

use crate::client_connection::{CancelKeys, ClientConnection, CloseReason, ResponseWriter};
use crate::socket::stream::TcpConnection;
use crate::socket::{open, transient};
use crate::{ConnectionEnd, ConnectionEndObserver, MemoryBudget, ProxyEvent, Remote};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::client_session::ProtocolViolation;

/// The most connections that the operating system queues for the listener.
const BACKLOG: usize = 4096;
/// The pause after a connection could not be accepted for want of a resource.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// What a client is told for whose connection there is no place.
const TOO_MANY_CONNECTIONS: ProtocolViolation =
    ProtocolViolation { code: "53300", message: "too many connections" };

/// The listener for clients, with all their connections.
pub struct ClientListener {
    executor: Rc<LocalExecutor<'static>>,
    pub(crate) events: Sender<ProxyEvent>,
    on_connection_end: ConnectionEndObserver,
    max_connections: Cell<usize>,
    /// Whether new connections are accepted.
    accepting: Cell<bool>,
    /// What the messages of all clients may buffer. A message that does not fit ends its connection: it is not
    /// complete, so no request is lost.
    memory_budget: Rc<MemoryBudget>,
    /// Connections that wait until their last error has arrived. They hold descriptors, so their number is limited.
    pub(crate) lingering: Cell<usize>,
    /// Accepts that have failed in a row for want of a descriptor.
    failed_accepts: Cell<u32>,
    /// Connections that have sent a command.
    with_commands: Cell<usize>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_number: Cell<u64>,
    cancel_keys: CancelKeys,
    /// Whether queries can be served; an empty query waits until then.
    pub(crate) ready: Cell<bool>,
    pub(crate) drain_phase: Cell<DrainPhase>,
    /// Whether the listener may still find connections that the operating system has queued.
    listening: Cell<bool>,
    /// Wakes the listener's task.
    state_changed: Event,
}

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DrainPhase {
    /// No shutdown was requested.
    Serving,
    /// Idle connections are closed; new ones are still accepted.
    ClosingIdle,
    /// No new connections are accepted.
    Closed,
}

impl ClientListener {
    /// Creates a listener without connections that admits `max_connections` of them.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        events: Sender<ProxyEvent>,
        on_connection_end: ConnectionEndObserver,
        max_connections: usize,
        memory_budget: Rc<MemoryBudget>,
    ) -> Rc<Self> {
        Rc::new(ClientListener {
            executor,
            events,
            on_connection_end,
            max_connections: Cell::new(max_connections),
            accepting: Cell::new(true),
            memory_budget,
            lingering: Cell::new(0),
            failed_accepts: Cell::new(0),
            with_commands: Cell::new(0),
            connections: RefCell::default(),
            next_number: Cell::new(0),
            cancel_keys: CancelKeys::default(),
            ready: Cell::new(false),
            drain_phase: Cell::new(DrainPhase::Serving),
            listening: Cell::new(true),
            state_changed: Event::new(),
        })
    }

    /// Answers empty queries from now on.
    pub fn set_ready(&self) {
        self.ready.set(true);
        self.wake_all();
    }

    /// Closes idle connections from now on, and others after their response. New ones are still accepted, for one
    /// response each.
    pub fn begin_draining(&self) {
        for state in self.connections.borrow().values() {
            state.closes_while_draining.set(true);
        }
        self.drain_phase.set(self.drain_phase.get().max(DrainPhase::ClosingIdle));
        self.wake_all();
    }

    /// Accepts new connections from now on, or leaves them to another process that listens on the same socket.
    pub fn set_accepting(&self, accepting: bool) {
        if self.accepting.replace(accepting) != accepting {
            self.state_changed.notify(usize::MAX);
        }
    }

    /// Accepts no new connections from now on, beyond those that the operating system has queued.
    pub fn stop_accepting(&self) {
        self.drain_phase.set(DrainPhase::Closed);
        self.wake_all();
    }

    /// Whether the shutdown is complete: no connection is open, and after [`ClientListener::stop_accepting`] none is
    /// queued.
    pub fn is_finished(&self) -> bool {
        !self.listening.get() && self.open_connections() == 0
    }

    /// Wakes the listener and every connection.
    fn wake_all(&self) {
        self.state_changed.notify(usize::MAX);
        for state in self.connections.borrow().values() {
            state.response_writer.wake();
        }
    }

    /// Accepts connections until [`ClientListener::stop_accepting`].
    pub async fn listen(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            let state_change = self.state_changed.listen();
            if self.drain_phase.get() == DrainPhase::Closed {
                self.accept_backlog(&listener).await;
                self.listening.set(false);
                return;
            }
            if !self.accepting.get() {
                state_change.await;
                continue;
            }
            let interrupted = async {
                state_change.await;
                None
            };
            match future::or(async { Some(open::accept(&listener).await) }, interrupted).await {
                None => {}
                Some(Ok((stream, address))) => {
                    self.admit(stream, address);
                    // Many new connections at once must not keep those from closing that make room for them.
                    future::yield_now().await;
                }
                Some(Err(error)) => self.recover_from_failed_accept(&error).await,
            }
        }
    }

    /// Waits until a connection may be accepted again, and frees a descriptor if none was left.
    async fn recover_from_failed_accept(&self, error: &io::Error) {
        if transient::lacks_descriptors(error) {
            self.failed_accepts.set(self.failed_accepts.get().saturating_add(1));
            self.evict_for_descriptor(self.failed_accepts.get());
        }
        Timer::after(ACCEPT_BACKOFF).await;
    }

    /// Accepts what the operating system has queued before the listener closes: closed with it, these connections
    /// would be reset, and what was written to them lost. Nothing is accepted if another process has taken the
    /// socket over.
    async fn accept_backlog(self: &Rc<Self>, listener: &Async<TcpListener>) {
        for _ in 0..BACKLOG {
            let accepted = async { self.accepting.get().then_some(open::accept(listener).await) };
            match future::poll_once(accepted).await {
                Some(Some(Ok((stream, address)))) => {
                    self.admit(stream, address);
                    // Those for which there is no place are told so, and closed, before the next is accepted: all at
                    // once would hold more descriptors than there are.
                    future::yield_now().await;
                }
                Some(Some(Err(error))) => self.recover_from_failed_accept(&error).await,
                Some(None) | None => return,
            }
        }
    }

    /// Starts the task of a new connection, which is rejected if there is no place for it.
    fn admit(self: &Rc<Self>, stream: TcpConnection, address: SocketAddr) {
        self.failed_accepts.set(0);
        let number = self.next_number();
        let accepted_at = Instant::now();
        let full = self.is_full();
        let response_writer = Rc::new(ResponseWriter::new(&self.memory_budget));
        let state = Rc::new(ConnectionState::new(response_writer, self.cancel_keys.key_of(number)));
        self.connections.borrow_mut().insert(number, Rc::clone(&state));
        let listener = Rc::clone(self);
        let task = async move {
            let mut connection = ClientConnection::new(stream, Rc::clone(&state), accepted_at);
            let reason = if full {
                connection.send_fatal(&listener, TOO_MANY_CONNECTIONS).await;
                CloseReason::TooManyConnections
            } else {
                connection.serve(&listener).await
            };
            listener.forget(number, &state);
            (listener.on_connection_end)(&ConnectionEnd {
                remote: Remote::Client,
                address,
                reason: reason.as_str(),
                requests: connection.requests(),
                started_at: accepted_at,
            });
        };
        self.executor.spawn(task).detach();
    }

    /// Removes a connection that has ended from the table.
    fn forget(&self, number: u64, state: &ConnectionState) {
        self.connections.borrow_mut().remove(&number);
        if state.has_sent_command.get() {
            self.with_commands.set(self.with_commands.get() - 1);
        }
    }

    /// A number for a connection or a request, unique in this process.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }
}
