//! The datagrams between proxies.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::clock::now;

/// Datagrams kept of each proxy to be sent again by a liar; older ones go.
const KEPT_MOST: usize = 2048;
/// A datagram is sent again by a liar once it is this old, every so often.
const REPLAY_AGE: i64 = 3_000_000;
const REPLAY_EVERY: Duration = Duration::from_millis(50);
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
    pub(crate) fn pass(self: &Rc<Self>, from: usize, to: usize, datagram: Vec<u8>) {
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
