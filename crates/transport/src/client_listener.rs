//! The listener and the table of client connections: who is let in, and until when.

mod admission;

pub use admission::overflow_connections;

use super::client_connection::{CancelKeys, Connection, ResponseWriter};
use super::{ConnectionEnd, ConnectionEndObserver, MemoryBudget, ProxyEvent};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event as Bell;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_protocol::client_session::{CancelKey, ProtocolViolation};

/// The most connections that the machine holds accepted for a listener.
const BACKLOG: usize = 4096;
/// Pause where no descriptor was left for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// All connections of clients.
pub struct ClientListener {
    executor: Rc<LocalExecutor<'static>>,
    pub(super) events: Sender<ProxyEvent>,
    ends: ConnectionEndObserver,
    pub(super) most: Cell<usize>,
    /// Whether new connections are taken.
    takes: Cell<bool>,
    /// A message that does not fit into it ends its connection: it is not whole, so nothing that was taken is
    /// lost.
    memory: Rc<MemoryBudget>,
    /// Connections that wait for their last error to arrive. They hold descriptors, so their number is bound.
    pub(super) lingering: Cell<usize>,
    /// Connections that have asked something.
    asked: Cell<usize>,
    pub(super) peers: RefCell<BTreeMap<u64, Rc<Peer>>>,
    numbers: Cell<u64>,
    keys: CancelKeys,
    /// Whether queries can be served: until then an empty query waits.
    pub(super) ready: Cell<bool>,
    pub(super) leaving: Cell<Leaving>,
    /// Whether the listener may still find connections that the machine has accepted.
    listens: Cell<bool>,
    /// Wakes the listener.
    bell: Bell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Leaving {
    No,
    /// Idle connections close; new ones are still taken.
    Idle,
    /// None is taken.
    All,
}

/// What others may see of one connection.
pub(super) struct Peer {
    /// Its answers. Its bell is rung for this connection alone: one for all would wake hundreds to close one.
    pub(super) lane: Rc<ResponseWriter>,
    /// What cancels its requests.
    pub(super) key: CancelKey,
    /// Since when it stands between requests, or since when it has not asked any.
    pub(super) idle: Cell<Option<Instant>>,
    /// Whether it has asked something.
    pub(super) asked: Cell<bool>,
    pub(super) evicted: Cell<bool>,
    /// Whether it has had an answer, or was there before the process was asked to end.
    pub(super) settled: Cell<bool>,
}

impl ClientListener {
    /// No connections yet, and room for `most`.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        events: Sender<ProxyEvent>,
        ends: ConnectionEndObserver,
        most: usize,
        memory: Rc<MemoryBudget>,
    ) -> Rc<Self> {
        Rc::new(ClientListener {
            executor,
            events,
            ends,
            most: Cell::new(most),
            takes: Cell::new(true),
            memory,
            lingering: Cell::new(0),
            asked: Cell::new(0),
            peers: RefCell::default(),
            numbers: Cell::new(0),
            keys: CancelKeys::default(),
            ready: Cell::new(false),
            leaving: Cell::new(Leaving::No),
            listens: Cell::new(true),
            bell: Bell::new(),
        })
    }

    /// Empty queries are answered from now on.
    pub fn set_ready(&self) {
        self.ready.set(true);
        self.ring();
    }

    /// Idle connections close from now on, and others after their answer. New ones are still taken, for
    /// one answer each.
    pub fn begin_draining(&self) {
        self.peers.borrow().values().for_each(|peer| peer.settled.set(true));
        self.leaving.set(self.leaving.get().max(Leaving::Idle));
        self.ring();
    }

    /// Takes new connections from now on, or leaves them to another process that listens on the same socket.
    pub fn set_accepting(&self, takes: bool) {
        if self.takes.replace(takes) != takes {
            self.bell.notify(usize::MAX);
        }
    }

    /// New connections are over, too.
    pub fn stop_accepting(&self) {
        self.leaving.set(Leaving::All);
        self.ring();
    }

    /// Whether all is over: none is open, and after [`ClientListener::stop_accepting`] none is left that the machine had accepted.
    pub fn is_finished(&self) -> bool {
        !self.listens.get() && self.open_connections() == 0
    }

    /// Wakes the listener and every connection.
    fn ring(&self) {
        self.bell.notify(usize::MAX);
        for peer in self.peers.borrow().values() {
            peer.lane.wake();
        }
    }

    /// Takes connections until [`ClientListener::stop_accepting`].
    pub async fn listen(self: Rc<Self>, listener: Rc<Async<TcpListener>>) {
        loop {
            let bell = self.bell.listen();
            if self.leaving.get() == Leaving::All {
                self.take_rest(&listener).await;
                return self.listens.set(false);
            }
            if !self.takes.get() {
                bell.await;
                continue;
            }
            let rung = async {
                bell.await;
                None
            };
            match future::or(async { Some(listener.accept().await) }, rung).await {
                None => {}
                Some(Ok((stream, address))) => {
                    self.admit(stream, address);
                    // Many that come at once must not keep those from closing that make room for them.
                    future::yield_now().await;
                }
                Some(Err(_)) => {
                    // No descriptor left, most likely: make room, and go on.
                    self.evict(|_| true);
                    Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Takes what the machine has accepted before the listener closes: closed with it, these would be reset, and
    /// what was written to them lost. Unless another process has taken the socket over.
    async fn take_rest(self: &Rc<Self>, listener: &Async<TcpListener>) {
        for _ in 0..BACKLOG {
            let accepted = async { self.takes.get().then_some(listener.accept().await) };
            let Some(Some(Ok((stream, address)))) = future::poll_once(accepted).await else { return };
            self.admit(stream, address);
            // Those for which there is no place are told so, and close, before the next is taken: all at once would
            // hold more descriptors than there are.
            future::yield_now().await;
        }
    }

    fn admit(self: &Rc<Self>, stream: Async<TcpStream>, address: SocketAddr) {
        let (number, since) = (self.number(), Instant::now());
        let full = self.is_full();
        let lane = Rc::new(ResponseWriter::new(&self.memory));
        let (idle, asked, evicted, settled) = Default::default();
        let peer = Rc::new(Peer { lane, key: self.keys.of(number), idle, asked, evicted, settled });
        self.peers.borrow_mut().insert(number, Rc::clone(&peer));
        let clients = Rc::clone(self);
        let task = async move {
            let mut connection = Connection::new(stream, Rc::clone(&peer), since);
            let reason = if full {
                let violation = ProtocolViolation { code: "53300", message: "too many connections" };
                clients.fatal(&mut connection, violation).await;
                "too_many_connections"
            } else {
                clients.serve(&mut connection).await
            };
            clients.peers.borrow_mut().remove(&number);
            clients.asked.set(clients.asked.get() - usize::from(peer.asked.get()));
            let requests = connection.requests();
            (clients.ends)(&ConnectionEnd {
                side: "client",
                peer: address,
                name: "",
                reason,
                requests,
                since,
            });
        };
        self.executor.spawn(task).detach();
    }

    /// A number for a connection or a request, never given twice.
    pub(super) fn number(&self) -> u64 {
        self.numbers.replace(self.numbers.get() + 1)
    }
}
