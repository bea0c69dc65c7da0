//! The relays of the rig: every datagram between two proxies and every byte between a proxy and a member passes
//! through one, which loses, duplicates, delays, reorders or holds it as the faults in force say.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::stand::{now, Stand};
use wharfplank_protocol::comment;

/// Datagrams kept of each proxy to be sent again by a liar; older ones go.
const KEPT_MOST: usize = 2048;
/// A datagram is sent again by a liar once it is this old, every so often.
const REPLAY_AGE: i64 = 3_000_000;
const REPLAY_EVERY: Duration = Duration::from_millis(50);
/// Bytes between a proxy and a member of another zone take this much longer each way, as between data centres.
const FAR: Duration = Duration::from_millis(2);
/// What a member needs to have taken a write in, whose connection then breaks.
const TAKEN: Duration = Duration::from_millis(3);

/// A datagram kept for a liar: when it went, from whom, to whom, and what.
type Kept = (i64, usize, usize, Vec<u8>);

/// What the wire between proxies does now.
#[derive(Clone, Debug, Default)]
pub struct Wire {
    /// The part of datagrams lost.
    pub loss: f64,
    /// The part that arrive twice.
    pub duplicate: f64,
    /// A further delay drawn up to this, in µs.
    pub jitter: i64,
    /// Pairs (from, to) that nothing passes between.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Proxies whose old datagrams are sent again.
    pub liars: BTreeSet<usize>,
}

/// Counts of what went over the wire between proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    /// Datagrams that a proxy sent, and their bytes.
    pub datagrams: u64,
    /// See `datagrams`.
    pub bytes: u64,
}

/// The datagrams between proxies: proxy `i` is told that its peers are at their inboxes here, and each inbox passes
/// on to the proxy whose it is.
pub struct Mesh {
    executor: Rc<LocalExecutor<'static>>,
    inboxes: Vec<Rc<Async<UdpSocket>>>,
    /// Where each proxy is to be sent to: its inbox here.
    pub inbox: Vec<SocketAddrV4>,
    /// Where each proxy takes datagrams, once it said so.
    outs: Vec<Cell<Option<SocketAddr>>>,
    senders: RefCell<HashMap<SocketAddr, usize>>,
    /// What the wire does now.
    pub wire: RefCell<Wire>,
    rng: RefCell<SmallRng>,
    kept: RefCell<VecDeque<Kept>>,
    /// What each proxy sent.
    pub carried: Vec<Cell<Carried>>,
    /// Datagrams dropped by faults, and those from an address that no proxy had said was its own.
    pub dropped: Cell<u64>,
    /// See `dropped`.
    pub unknown: Cell<u64>,
    /// Old datagrams sent again.
    pub replayed: Cell<u64>,
}

impl Mesh {
    /// Inboxes for so many proxies.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        proxies: usize,
        seed: u64,
    ) -> std::io::Result<Rc<Mesh>> {
        let mut inboxes = Vec::new();
        let mut inbox = Vec::new();
        for _ in 0..proxies {
            let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?;
            match socket.get_ref().local_addr()? {
                SocketAddr::V4(at) => inbox.push(at),
                SocketAddr::V6(_) => return Err(std::io::Error::other("an inbox on IPv6")),
            }
            inboxes.push(Rc::new(socket));
        }
        let mesh = Rc::new(Mesh {
            executor: Rc::clone(executor),
            inboxes,
            inbox,
            outs: (0..proxies).map(|_| Cell::new(None)).collect(),
            senders: RefCell::default(),
            wire: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            kept: RefCell::default(),
            carried: (0..proxies).map(|_| Cell::default()).collect(),
            dropped: Cell::new(0),
            unknown: Cell::new(0),
            replayed: Cell::new(0),
        });
        for to in 0..proxies {
            let at = Rc::clone(&mesh);
            executor.spawn(async move { at.carry(to).await }).detach();
        }
        let at = Rc::clone(&mesh);
        executor.spawn(async move { at.lie().await }).detach();
        Ok(mesh)
    }

    /// Proxy `i` takes datagrams there from now on, and sends from there.
    pub fn register(&self, i: usize, address: SocketAddr) {
        if let Some(old) = self.outs[i].replace(Some(address)) {
            self.senders.borrow_mut().remove(&old);
        }
        self.senders.borrow_mut().insert(address, i);
    }

    async fn carry(self: Rc<Self>, to: usize) {
        let mut buffer = vec![0_u8; 65_536];
        let inbox = Rc::clone(&self.inboxes[to]);
        while let Ok((count, from)) = inbox.recv_from(&mut buffer).await {
            let Some(from) = self.senders.borrow().get(&from).copied() else {
                self.unknown.set(self.unknown.get() + 1);
                continue;
            };
            let mut carried = self.carried[from].get();
            carried.datagrams += 1;
            carried.bytes += count as u64;
            self.carried[from].set(carried);
            let datagram = buffer[..count].to_vec();
            let mut kept = self.kept.borrow_mut();
            if kept.len() >= KEPT_MOST {
                kept.pop_front();
            }
            kept.push_back((now(), from, to, datagram.clone()));
            drop(kept);
            self.pass(from, to, datagram);
        }
    }

    /// Passes a datagram on as the wire does now.
    fn pass(self: &Rc<Self>, from: usize, to: usize, datagram: Vec<u8>) {
        let wire = self.wire.borrow();
        let mut rng = self.rng.borrow_mut();
        if wire.blocked.contains(&(from, to)) || rng.random::<f64>() < wire.loss {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let copies = if rng.random::<f64>() < wire.duplicate { 2 } else { 1 };
        for _ in 0..copies {
            let delay = if wire.jitter > 0 { rng.random_range(0..wire.jitter) } else { 0 };
            let (at, datagram) = (Rc::clone(self), datagram.clone());
            self.executor
                .spawn(async move {
                    if delay > 0 {
                        Timer::after(Duration::from_micros(delay as u64)).await;
                    }
                    if let Some(out) = at.outs[to].get() {
                        let _ = at.inboxes[from.min(at.inboxes.len() - 1)].send_to(&datagram, out).await;
                    }
                })
                .detach();
        }
    }

    /// Sends old datagrams of liars again, to whom they went at first.
    async fn lie(self: Rc<Self>) {
        loop {
            Timer::after(REPLAY_EVERY).await;
            let liars = self.wire.borrow().liars.clone();
            if liars.is_empty() {
                continue;
            }
            let old = {
                let kept = self.kept.borrow();
                let old: Vec<&Kept> = kept
                    .iter()
                    .filter(|(at, from, ..)| liars.contains(from) && now() - at > REPLAY_AGE)
                    .collect();
                (!old.is_empty()).then(|| old[self.rng.borrow_mut().random_range(0..old.len())].clone())
            };
            if let Some((_, from, to, datagram)) = old {
                self.replayed.set(self.replayed.get() + 1);
                self.pass(from, to, datagram);
            }
        }
    }
}

/// Where reads went, by the zone of the proxy and of the member, and whether a zone was in trouble meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Way {
    /// The class's number.
    pub class: usize,
    /// Whether proxy and member stand in the same zone.
    pub near: bool,
    /// Whether a zone fault was on.
    pub troubled: bool,
    /// Whether the member was its group's primary, which serves where it stands.
    pub primary: bool,
}

/// The connections between proxies and members: each proxy is told its own address for each member, which leads
/// here; a zone that is cut off holds all bytes, and new connections never come up.
pub struct Links {
    stand: Rc<Stand>,
    /// The zone of each proxy and of each member.
    proxy_zones: Vec<&'static str>,
    member_zones: Vec<&'static str>,
    /// Where proxy `i` dials member `m`: `dials[i][m]`.
    pub dials: Vec<Vec<SocketAddr>>,
    /// The zone cut off now, if any.
    pub cut: RefCell<Option<String>>,
    /// The part of writes whose connection breaks once the member has them, before its answer.
    pub unanswered: Cell<f64>,
    /// Writes that passed so far: which of them break is told by counting.
    asked_writes: Cell<u64>,
    /// Whether some zone is in trouble now, for the counts of ways.
    pub troubled: Cell<bool>,
    /// Queries that went each way.
    pub ways: RefCell<BTreeMap<Way, u64>>,
}

impl Links {
    /// Listeners for each proxy and member, leading to `members`.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        stand: &Rc<Stand>,
        members: &[(SocketAddr, &'static str)],
        proxy_zones: Vec<&'static str>,
    ) -> std::io::Result<Rc<Links>> {
        let mut dials = Vec::new();
        let mut listeners = Vec::new();
        for _ in &proxy_zones {
            let mut row = Vec::new();
            for _ in members {
                let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
                row.push(listener.get_ref().local_addr()?);
                listeners.push(listener);
            }
            dials.push(row);
        }
        let member_zones = members.iter().map(|(_, zone)| *zone).collect();
        let links = Rc::new(Links {
            stand: Rc::clone(stand),
            proxy_zones,
            member_zones,
            dials,
            cut: RefCell::new(None),
            unanswered: Cell::new(0.0),
            asked_writes: Cell::new(0),
            troubled: Cell::new(false),
            ways: RefCell::default(),
        });
        let count = members.len();
        for (n, listener) in listeners.into_iter().enumerate() {
            let (proxy, member) = (n / count, n % count);
            let (at, target, ex) = (Rc::clone(&links), members[member].0, Rc::clone(executor));
            executor
                .spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        let at = Rc::clone(&at);
                        ex.spawn(async move { at.link(proxy, member, stream, target).await }).detach();
                    }
                })
                .detach();
        }
        Ok(links)
    }

    /// Whether nothing passes between the proxy and the member now.
    fn held(&self, proxy: usize, member: usize) -> bool {
        let cut = self.cut.borrow();
        cut.as_deref()
            .is_some_and(|zone| (self.proxy_zones[proxy] == zone) != (self.member_zones[member] == zone))
    }

    /// Whether the answer of the write in hand is to be lost: one in so many, by counting.
    fn breaks(&self) -> bool {
        let asked = self.asked_writes.get() + 1;
        self.asked_writes.set(asked);
        let part = self.unanswered.get();
        part > 0.0 && (asked as f64 * part).floor() > ((asked - 1) as f64 * part).floor()
    }

    async fn link(self: Rc<Self>, proxy: usize, member: usize, client: Async<TcpStream>, target: SocketAddr) {
        // Behind a cut the connection never comes up: the member is not even dialled until the cut is over.
        while self.held(proxy, member) {
            Timer::after(Duration::from_millis(10)).await;
        }
        let Ok(server) = Async::<TcpStream>::connect(target).await else { return };
        let (client, server) = (Rc::new(client), Rc::new(server));
        let up = self.clone().pump(proxy, member, Rc::clone(&client), Rc::clone(&server), true);
        let down = self.pump(proxy, member, server, client, false);
        futures_lite::future::or(up, down).await;
    }

    async fn pump(
        self: Rc<Self>,
        proxy: usize,
        member: usize,
        from: Rc<Async<TcpStream>>,
        to: Rc<Async<TcpStream>>,
        asks: bool,
    ) {
        let mut buffer = vec![0_u8; 65_536];
        let mut parse = Messages::default();
        loop {
            let Ok(count) = (&*from).read(&mut buffer).await else { return };
            if count == 0 {
                let _ = to.get_ref().shutdown(std::net::Shutdown::Write);
                return;
            }
            while self.held(proxy, member) {
                Timer::after(Duration::from_millis(10)).await;
            }
            let near = self.proxy_zones[proxy] == self.member_zones[member];
            if !near {
                Timer::after(FAR).await;
            }
            let mut breaks = false;
            if asks {
                for class in parse.feed(&buffer[..count]) {
                    breaks |= wharfplank_lab::fleet::CLASSES[class].name == "pay-write" && self.breaks();
                    let primary = self.stand.fleet().members.get(member).is_some_and(|m| m.primary);
                    let way = Way { class, near, troubled: self.troubled.get(), primary };
                    *self.ways.borrow_mut().entry(way).or_default() += 1;
                }
            }
            if (&*to).write_all(&buffer[..count]).await.is_err() {
                return;
            }
            if breaks {
                // The member takes it in; then the connection is gone on both sides.
                Timer::after(TAKEN).await;
                return;
            }
        }
    }
}

/// The messages of a client's side of PostgreSQL, enough to find its queries' classes.
#[derive(Default)]
struct Messages {
    bytes: Vec<u8>,
    started: bool,
}

impl Messages {
    /// The classes of the queries that are now whole, by their number in the laboratory's list.
    fn feed(&mut self, data: &[u8]) -> Vec<usize> {
        self.bytes.extend_from_slice(data);
        let mut classes = Vec::new();
        loop {
            let (head, tag) = if self.started { (5, self.bytes.first().copied()) } else { (4, None) };
            if self.bytes.len() < head {
                break;
            }
            let at = head - 4;
            let length = u32::from_be_bytes([
                self.bytes[at],
                self.bytes[at + 1],
                self.bytes[at + 2],
                self.bytes[at + 3],
            ]);
            let whole = at + length as usize;
            if self.bytes.len() < whole || length < 4 {
                break;
            }
            if tag == Some(b'Q') {
                let text = String::from_utf8_lossy(&self.bytes[head..whole]);
                let text = text.trim_end_matches('\0');
                let names = wharfplank_lab::fleet::CLASSES.iter().map(|c| c.name);
                let class = comment::read(text).ok().and_then(|c| names.clone().position(|n| n == c.class));
                classes.extend(class);
            }
            self.started = true;
            self.bytes.drain(..whole);
        }
        classes
    }
}
