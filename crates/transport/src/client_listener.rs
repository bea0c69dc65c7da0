//! The listener for client connections, and the table of open connections.

mod admission;
mod connection_state;

pub use admission::overflow_connections;
pub(crate) use connection_state::ConnectionState;

use crate::client_connection::{CancelKeys, ClientConnection, CloseReason, ResponseWriter};
use crate::socket::listener::BACKLOG;
use crate::socket::send_queue::SendQueues;
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
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::client_session::ProtocolViolation;

/// The delay before the next accept after one failed because a resource was exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// The error sent to clients when the connection limit is reached.
const TOO_MANY_CONNECTIONS: ProtocolViolation =
    ProtocolViolation { code: "53300", message: "too many connections" };

/// The listener for client connections, with all open connections.
pub struct ClientListener {
    executor: Rc<LocalExecutor<'static>>,
    pub(crate) events: Sender<ProxyEvent>,
    on_connection_end: ConnectionEndObserver,
    max_connections: Cell<usize>,
    /// Whether new connections are accepted.
    accepting: Cell<bool>,
    /// The memory budget for the messages of all clients. A connection is closed if its message does not fit;
    /// the message is incomplete then, so no request is lost.
    memory_budget: Rc<MemoryBudget>,
    /// The number of connections that stay open for the delivery of a fatal error. They hold file
    /// descriptors, so their number is limited.
    pub(crate) lingering: Cell<usize>,
    /// The number of consecutive accepts that failed for lack of file descriptors.
    failed_accepts: Cell<u32>,
    /// The number of connections that have sent a command.
    connections_with_commands: Cell<usize>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    next_number: Cell<u64>,
    cancel_keys: CancelKeys,
    send_queues: SendQueues,
    /// Whether the process is ready to serve queries. Empty queries are not answered before.
    pub(crate) ready: Cell<bool>,
    pub(crate) drain_phase: Cell<DrainPhase>,
    /// Whether connections may still be accepted from the operating system's queue.
    listening: Cell<bool>,
    /// Notified when `accepting` or `drain_phase` changes.
    state_changed: Event,
}

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DrainPhase {
    /// No shutdown has been requested.
    Serving,
    /// Idle connections are closed; new ones are still accepted.
    ClosingIdle,
    /// No new connections are accepted.
    Closed,
}

impl ClientListener {
    /// Creates a listener that admits up to `max_connections` connections.
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
            connections_with_commands: Cell::new(0),
            connections: RefCell::default(),
            next_number: Cell::new(0),
            cancel_keys: CancelKeys::default(),
            send_queues: SendQueues::open(),
            ready: Cell::new(false),
            drain_phase: Cell::new(DrainPhase::Serving),
            listening: Cell::new(true),
            state_changed: Event::new(),
        })
    }

    /// Marks the process as ready, so that empty queries are answered.
    pub fn set_ready(&self) {
        self.ready.set(true);
        self.wake_all();
    }

    /// Starts draining: closes idle connections, and other connections after their responses. New connections
    /// are still accepted, for one response each.
    pub fn begin_draining(&self) {
        for state in self.connections.borrow().values() {
            state.closes_while_draining.set(true);
        }
        self.drain_phase.set(self.drain_phase.get().max(DrainPhase::ClosingIdle));
        self.wake_all();
    }

    /// Sets whether new connections are accepted, or left to another process that listens on the same socket.
    pub fn set_accepting(&self, accepting: bool) {
        if self.accepting.replace(accepting) != accepting {
            self.state_changed.notify(usize::MAX);
        }
    }

    /// Stops accepting connections, except those already queued by the operating system.
    pub fn stop_accepting(&self) {
        self.drain_phase.set(DrainPhase::Closed);
        self.wake_all();
    }

    /// Returns whether the shutdown is complete: [`ClientListener::stop_accepting`] was called, the queue is
    /// empty and no connection is open.
    pub fn is_finished(&self) -> bool {
        !self.listening.get() && self.open_connections() == 0
    }

    /// Returns whether any client is still being sent a response, or has yet to take one that was written.
    pub fn is_delivering(&self) -> bool {
        let connections = self.connections.borrow();
        connections.values().any(|state| state.is_writing.get() || self.has_undelivered_output(state))
    }

    /// Wakes the listener and every connection.
    fn wake_all(&self) {
        self.state_changed.notify(usize::MAX);
        for state in self.connections.borrow().values() {
            state.response_writer.wake();
        }
    }

    /// Accepts connections until [`ClientListener::stop_accepting`] is called.
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
                    // Lets evicted connections close even during a burst of new connections.
                    future::yield_now().await;
                }
                Some(Err(error)) => self.recover_from_failed_accept(&error).await,
            }
        }
    }

    /// Waits before the next accept. If file descriptors were exhausted, evicts a connection first.
    async fn recover_from_failed_accept(&self, error: &io::Error) {
        if transient::is_out_of_descriptors(error) {
            self.failed_accepts.set(self.failed_accepts.get().saturating_add(1));
            self.evict_for_descriptor(self.failed_accepts.get());
        }
        Timer::after(ACCEPT_BACKOFF).await;
    }

    /// Accepts the connections that the operating system has queued before the listener closes. Closing the
    /// socket would reset them and lose what the clients have sent. Accepts nothing if another process has
    /// taken over the socket.
    async fn accept_backlog(self: &Rc<Self>, listener: &Async<TcpListener>) {
        for _ in 0..BACKLOG {
            let accepted = async { self.accepting.get().then_some(open::accept(listener).await) };
            match future::poll_once(accepted).await {
                Some(Some(Ok((stream, address)))) => {
                    self.admit(stream, address);
                    // Rejects and closes connections beyond the limit before the next accept. All of them at
                    // once could exhaust the file descriptors.
                    future::yield_now().await;
                }
                Some(Some(Err(error))) => self.recover_from_failed_accept(&error).await,
                Some(None) | None => return,
            }
        }
    }

    /// Starts the task of a new connection. The task rejects the connection if the limit is reached.
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
            listener.remove_connection(number, &state);
            (listener.on_connection_end)(&ConnectionEnd {
                remote: Remote::Client,
                address,
                reason: reason.as_str(),
                undelivered_bytes: listener.undelivered_bytes(connection.socket()).unwrap_or(0),
                requests: connection.requests(),
                started_at: accepted_at,
            });
        };
        self.executor.spawn(task).detach();
    }

    /// Removes a closed connection from the table.
    fn remove_connection(&self, number: u64, state: &ConnectionState) {
        self.connections.borrow_mut().remove(&number);
        if state.has_sent_command.get() {
            self.connections_with_commands.set(self.connections_with_commands.get() - 1);
        }
    }

    /// Returns whether the system tells how much of a connection's output its client's system has taken.
    pub fn measures_delivery(&self) -> bool {
        self.send_queues.is_available()
    }

    /// Returns the number of bytes written to a connection that its client's system has not taken yet.
    ///
    /// # Errors
    ///
    /// Returns the error of a system call, which says nothing about the connection.
    pub(crate) fn undelivered_bytes(&self, stream: &TcpStream) -> io::Result<usize> {
        self.send_queues.unacknowledged_bytes(stream)
    }

    /// Returns a number for a connection or a request that is unique in this process.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }
}
