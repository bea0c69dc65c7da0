//! The listener and the connections of clients.

use super::{within, Answer, Asked, Ended, Ends, Event, Memory, Part, Statement, Ticket};
use crate::protocol::comment;
use crate::protocol::server::{Command, Server, Violation};
use async_channel::{bounded, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event as Bell;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a client may take, from its accept on, until it has asked something for the first time, and from its
/// first byte on until a message is whole: within 3 s of connecting it is to hear what is wrong.
const FIRST_WAIT: Duration = Duration::from_millis(2_300);
const MESSAGE_WAIT: Duration = Duration::from_millis(2_300);
/// How long it may stand idle between requests. Clients hold a bound number of connections, and many ask once and
/// keep theirs for good: those would leave none for the others.
const IDLE_MOST: Duration = Duration::from_millis(2_100);
/// What it may take to take an answer off the proxy's hands.
const WRITE_WAIT: Duration = Duration::from_secs(5);
/// How long an error that ends a connection may take to arrive, and what is read past meanwhile.
const LINGER: Duration = Duration::from_millis(500);
/// Connections that have asked nothing for so long make room first: a client sends its startup at once.
const MUTE: Duration = Duration::from_millis(20);
/// Then those that stood idle for so long since their last answer.
const REST: Duration = Duration::from_secs(2);
/// Bytes that are read ahead of the query in work; past that the client waits.
const AHEAD_MOST: usize = 16 * 1024;
/// Pause where no descriptor was left for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// All connections of clients.
pub struct Clients {
    executor: Rc<LocalExecutor<'static>>,
    events: Sender<Event>,
    ends: Ends,
    most: usize,
    /// A message that does not fit into it ends its connection: it is not whole, so nothing that was taken is
    /// lost.
    memory: Rc<Memory>,
    /// Connections that wait for their last error to arrive. They hold descriptors, so their number is bound.
    lingering: Cell<usize>,
    /// Connections that have asked something.
    asked: Cell<usize>,
    peers: RefCell<BTreeMap<u64, Rc<Peer>>>,
    numbers: Cell<u64>,
    /// Whether queries can be served: until then an empty query waits.
    ready: Cell<bool>,
    leaving: Cell<Leaving>,
    bell: Bell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Leaving {
    No,
    /// Idle connections close; new ones are still taken.
    Idle,
    /// None is taken.
    All,
}

/// What others may see of one connection.
#[derive(Default)]
struct Peer {
    /// Rung for this connection alone: a bell for all would wake hundreds to close one.
    bell: Bell,
    /// Since when it stands between requests, or since when it has not asked any.
    idle: Cell<Option<Instant>>,
    /// Whether it has asked something.
    asked: Cell<bool>,
    evicted: Cell<bool>,
    /// Whether it has had an answer, or was there before the process was asked to end.
    settled: Cell<bool>,
}

struct Connection {
    stream: Async<TcpStream>,
    server: Server,
    requests: u64,
    memory: Part,
}

type Reason = &'static str;

impl Clients {
    /// No connections yet, and room for `most`.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        events: Sender<Event>,
        ends: Ends,
        most: usize,
        memory: Rc<Memory>,
    ) -> Rc<Self> {
        Rc::new(Clients {
            executor,
            events,
            ends,
            most,
            memory,
            lingering: Cell::new(0),
            asked: Cell::new(0),
            peers: RefCell::default(),
            numbers: Cell::new(0),
            ready: Cell::new(false),
            leaving: Cell::new(Leaving::No),
            bell: Bell::new(),
        })
    }

    /// How many are open.
    pub fn open(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Empty queries are answered from now on.
    pub fn ready(&self) {
        self.ready.set(true);
        self.bell.notify(usize::MAX);
    }

    /// Idle connections close from now on, and others after their answer. New ones are still taken, for
    /// one answer each.
    pub fn leave(&self) {
        self.peers.borrow().values().for_each(|peer| peer.settled.set(true));
        self.leaving.set(self.leaving.get().max(Leaving::Idle));
        self.ring();
    }

    /// New connections are over, too.
    pub fn close(&self) {
        self.leaving.set(Leaving::All);
        self.ring();
    }

    /// Wakes the listener and every connection.
    fn ring(&self) {
        self.bell.notify(usize::MAX);
        for peer in self.peers.borrow().values() {
            peer.bell.notify(usize::MAX);
        }
    }

    /// Takes connections until [`Clients::close`].
    pub async fn listen(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            let bell = self.bell.listen();
            if self.leaving.get() == Leaving::All {
                return;
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

    fn admit(self: &Rc<Self>, stream: Async<TcpStream>, address: SocketAddr) {
        let (number, since) = (self.number(), Instant::now());
        let full = self.open() >= self.most && !self.evict(|_| true);
        let peer = Rc::new(Peer::default());
        self.peers.borrow_mut().insert(number, Rc::clone(&peer));
        let clients = Rc::clone(self);
        let task = async move {
            let (server, memory) = (Server::default(), Part::of(&clients.memory));
            let mut connection = Connection { stream, server, requests: 0, memory };
            let reason = if full {
                clients
                    .fatal(&mut connection, Violation { code: "53300", what: "too many connections" })
                    .await;
                "too_many_connections"
            } else {
                clients.serve(&mut connection, &peer).await.unwrap_or_else(|reason| reason)
            };
            clients.peers.borrow_mut().remove(&number);
            clients.asked.set(clients.asked.get() - usize::from(peer.asked.get()));
            let requests = connection.requests;
            (clients.ends)(&Ended { side: "client", peer: address, name: "", reason, requests, since });
        };
        self.executor.spawn(task).detach();
    }

    /// A number for a connection or a request, never given twice.
    fn number(&self) -> u64 {
        self.numbers.replace(self.numbers.get() + 1)
    }

    /// Asks a connection without an open request to close: one that has asked nothing yet, else the one that
    /// stood idle longest. One that asked lately is likely to ask again, so the newest mute ones go before it.
    fn evict(&self, which: impl Fn(&Peer) -> bool) -> bool {
        let peers = self.peers.borrow();
        let now = Instant::now();
        let rank = |p: &Peer, since: Instant| match (p.asked.get(), now - since) {
            (false, age) if age >= MUTE => 0,
            (true, age) if age >= REST => 1,
            (false, _) => 2,
            (true, _) => 3,
        };
        let idle = peers.values().filter(|p| !p.evicted.get() && which(p));
        let idle = idle.filter_map(|p| p.idle.get().map(|since| (rank(p, since), since, p)));
        let Some((.., peer)) = idle.min_by_key(|(rank, since, _)| (*rank, *since)) else { return false };
        peer.evicted.set(true);
        peer.bell.notify(usize::MAX);
        true
    }

    /// Serves one connection to its end, and says why it ended.
    async fn serve(&self, c: &mut Connection, peer: &Peer) -> Result<Reason, Reason> {
        let _ = c.stream.get_ref().set_nodelay(true);
        let accepted = Instant::now();
        let mut started = false;
        // Since when a message has been on its way.
        let mut begun = None;
        loop {
            let asked = match c.server.advance() {
                Ok(None) => {
                    c.flush().await?;
                    let empty = c.server.buffer.bytes().is_empty();
                    let idle = started && empty;
                    if empty {
                        begun = None;
                    } else {
                        begun.get_or_insert_with(Instant::now);
                    }
                    // One that is not yet whole holds a place all the same; until something was asked for
                    // the first time it may have to give it up.
                    let since = if peer.asked.get() { Instant::now() } else { accepted };
                    peer.idle.set((idle || !peer.asked.get()).then_some(since));
                    let first = (!peer.asked.get()).then_some(accepted + FIRST_WAIT);
                    let stays = (idle && peer.asked.get()).then(|| Instant::now() + IDLE_MOST);
                    let due = begun.map(|at| at + MESSAGE_WAIT).into_iter().chain(first).chain(stays).min();
                    let read = self.read_on(c, peer, idle);
                    let read = match due {
                        Some(due) => within(due, read).await,
                        None => Some(read.await),
                    };
                    peer.idle.set(None);
                    match read.unwrap_or(Err(match (started, stays) {
                        (false, _) => "startup_timeout",
                        (true, None) => "request_timeout",
                        (true, Some(_)) => "idle_timeout",
                    })) {
                        Err(reason) => {
                            if let Some(violation) = violation(reason) {
                                self.fatal(c, violation).await;
                            }
                            return Ok(reason);
                        }
                        Ok(0) => return Ok("client_closed"),
                        _ => continue,
                    }
                }
                Ok(Some(Command::Started)) => {
                    started = true;
                    begun = None;
                    continue;
                }
                Ok(Some(Command::Empty)) => None,
                Ok(Some(Command::Terminate)) => return Ok("terminated"),
                Ok(Some(Command::Cancel)) => return Ok("cancel_request"),
                Ok(Some(Command::Query(query))) => match comment::read(query) {
                    Ok(comment) => Some(self.asked(query, &comment)),
                    Err(what) => {
                        self.fatal(c, Violation { code: "08P01", what }).await;
                        return Ok("malformed_request");
                    }
                },
                Err(violation) => {
                    self.fatal(c, violation).await;
                    return Ok("protocol_violation");
                }
            };
            begun = None;
            if !peer.asked.replace(true) {
                self.asked.set(self.asked.get() + 1);
                // Clients share a bound number of connections: past this many the one idle longest gives way.
                if self.asked.get() > self.most * 2 / 5 {
                    self.evict(|p| p.asked.get());
                }
            }
            match asked {
                None => {
                    if !self.until_ready().await {
                        return Ok("shutdown");
                    }
                    c.server.empty();
                }
                Some((asked, answer)) => {
                    let ticket = asked.ticket;
                    c.flush().await?;
                    if self.events.send(Event::Asked(Box::new(asked))).await.is_err() {
                        return Ok("shutdown");
                    }
                    c.requests += 1;
                    let answer = match self.wait(c, &answer).await {
                        Ok(answer) => answer,
                        Err(reason) => {
                            let _ = self.events.send(Event::Gone(ticket)).await;
                            return Ok(reason);
                        }
                    };
                    match answer {
                        Answer::Served(messages) => c.server.serve(&messages),
                        Answer::Refused(after_ms) => {
                            let detail = (after_ms > 0).then(|| after_ms.to_string());
                            let what = "refused: trying again is harmless";
                            c.server.error("53300", what, detail.as_deref());
                        }
                        Answer::Failed => c.server.error("58000", "failed: it may have run", None),
                        Answer::Malformed(what) => {
                            self.fatal(c, Violation { code: "08P01", what }).await;
                            return Ok("malformed_request");
                        }
                    }
                }
            }
            peer.settled.set(peer.settled.get() || self.leaving.get() != Leaving::No);
        }
    }

    /// Tells the client why the connection ends, and waits a little until it has it, unless many wait.
    async fn fatal(&self, c: &mut Connection, violation: Violation) {
        c.server.fatal(violation);
        let waits = self.lingering.get() < self.most / 4;
        if c.flush().await.is_err() || c.stream.get_ref().shutdown(Shutdown::Write).is_err() || !waits {
            return;
        }
        self.lingering.set(self.lingering.get() + 1);
        c.drain().await;
        self.lingering.set(self.lingering.get() - 1);
    }

    fn asked(&self, query: &str, comment: &comment::Comment<'_>) -> (Asked, async_channel::Receiver<Answer>) {
        let (answer, receiver) = bounded(1);
        let asked = Asked {
            ticket: Ticket(self.number()),
            id: comment.id.to_string(),
            class: comment.class.to_string(),
            wait_ms: comment.wait_ms,
            group: comment.group,
            after_ms: comment.after_ms,
            key: comment.key.map(str::to_string),
            // It outlives the read buffer: attempts go out and end while the next query is read.
            statement: Rc::new(Statement::new(query.as_bytes().to_vec(), comment.wait_at.clone())),
            answer,
        };
        (asked, receiver)
    }

    /// Waits until queries can be served; false when the process ends first.
    async fn until_ready(&self) -> bool {
        loop {
            let bell = self.bell.listen();
            if self.ready.get() || self.leaving.get() != Leaving::No {
                return self.ready.get();
            }
            bell.await;
        }
    }

    /// Reads more. Between requests the connection may be told to close instead.
    async fn read_on(&self, c: &mut Connection, peer: &Peer, idle: bool) -> Result<usize, Reason> {
        loop {
            let bell = peer.bell.listen();
            let leave = match self.leaving.get() {
                Leaving::No => false,
                Leaving::Idle => idle && peer.settled.get(),
                Leaving::All => true,
            };
            let mute = !peer.asked.get();
            let close = ((idle || mute) && peer.evicted.get()) || leave;
            let rung = async {
                if !close {
                    bell.await;
                }
                Ok(None)
            };
            // What has already arrived is read before the connection closes.
            match future::or(async { c.read(true).await.map(Some) }, rung).await? {
                Some(count) => return Ok(count),
                None if close => return Err(if leave { "shutdown" } else { "evicted" }),
                None => {}
            }
        }
    }

    /// The answer, unless the client goes away before it comes.
    async fn wait(
        &self,
        c: &mut Connection,
        answer: &async_channel::Receiver<Answer>,
    ) -> Result<Answer, Reason> {
        loop {
            let answered = async { answer.recv().await.map_err(|_| "shutdown") };
            if c.server.buffer.bytes().len() >= AHEAD_MOST {
                return answered.await;
            }
            let read = async {
                // What is open was taken whole: a lack of memory does not end it.
                match c.read(false).await? {
                    0 => Err("client_gone"),
                    _ => Ok(None),
                }
            };
            if let Some(answer) = future::or(async { answered.await.map(Some) }, read).await? {
                return Ok(answer);
            }
        }
    }
}

impl Connection {
    /// Reads what has come. While a message grows (`bound`) it may be more than all may buffer.
    async fn read(&mut self, bound: bool) -> Result<usize, Reason> {
        self.server.buffer.space();
        if !self.memory.hold(self.server.buffer.capacity()) && bound {
            return Err("out_of_memory");
        }
        let count = self.stream.read(self.server.buffer.space()).await.map_err(|_| "client_reset")?;
        self.server.buffer.filled(count);
        Ok(count)
    }

    async fn flush(&mut self) -> Result<(), Reason> {
        if self.server.out.is_empty() {
            return Ok(());
        }
        let written = within(Instant::now() + WRITE_WAIT, self.stream.write_all(&self.server.out)).await;
        // Large answers are rare: their memory goes back.
        self.server.out = Vec::new();
        match written {
            Some(Ok(())) => Ok(()),
            Some(Err(_)) => Err("client_reset"),
            None => Err("client_stalled"),
        }
    }

    /// Reads past what the client still sends, for a moment: a connection closed over unread bytes is reset,
    /// and the error would be lost with it.
    async fn drain(&mut self) {
        let mut sink = [0; 4096];
        let drain = async { while matches!(self.stream.read(&mut sink).await, Ok(1..)) {} };
        within(Instant::now() + LINGER, drain).await;
    }
}

/// What the client is told where the connection ends for this reason, if anything.
fn violation(reason: Reason) -> Option<Violation> {
    let (code, what) = match reason {
        "out_of_memory" => ("53200", "no memory for the message"),
        "startup_timeout" | "request_timeout" => ("57P05", "nothing whole was asked in time"),
        _ => return None,
    };
    Some(Violation { code, what })
}
