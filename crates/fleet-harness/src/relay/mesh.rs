//! Relays for datagrams between proxies.

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

/// The maximum number of datagrams kept for replay; the oldest are discarded first.
const MAX_KEPT_DATAGRAMS: usize = 2048;
/// The minimum age of a datagram that is replayed.
const REPLAY_AGE: i64 = 3_000_000;
/// The interval between two replays.
const REPLAY_INTERVAL: Duration = Duration::from_millis(50);
/// A datagram kept for replay: the time, the sender, the receiver and the bytes.
type KeptDatagram = (i64, usize, usize, Vec<u8>);

/// The conditions on the network between proxies.
#[derive(Clone, Debug, Default)]
pub struct NetworkConditions {
    /// The fraction of datagrams that are lost.
    pub loss: f64,
    /// The fraction of datagrams that are duplicated.
    pub duplicate: f64,
    /// The upper limit of the random additional delay, in µs.
    pub jitter: i64,
    /// The (from, to) pairs between which all datagrams are dropped.
    pub blocked: BTreeSet<(usize, usize)>,
    /// The proxies whose old datagrams are replayed.
    pub replayed_proxies: BTreeSet<usize>,
}

/// The datagrams that a proxy sent to its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTraffic {
    /// The number of datagrams, and of their bytes.
    pub datagrams: u64,
    /// See `datagrams`.
    pub bytes: u64,
}

/// The relays between proxies. Each proxy has an inbox here, which its peers use as its address and which
/// forwards to the proxy.
pub struct Mesh {
    executor: Rc<LocalExecutor<'static>>,
    inboxes: Vec<Rc<Async<UdpSocket>>>,
    /// The address of each proxy's inbox, to which its peers send.
    pub inbox_addresses: Vec<SocketAddrV4>,
    /// The address at which each proxy receives datagrams, once it has logged it.
    destinations: Vec<Cell<Option<SocketAddr>>>,
    senders: RefCell<HashMap<SocketAddr, usize>>,
    /// The current network conditions.
    pub conditions: RefCell<NetworkConditions>,
    rng: RefCell<SmallRng>,
    kept: RefCell<VecDeque<KeptDatagram>>,
    /// The traffic that each proxy has sent.
    pub sent: Vec<Cell<SentTraffic>>,
    /// The number of datagrams dropped by faults, and of those from an address that no proxy has logged.
    pub dropped: Cell<u64>,
    /// See `dropped`.
    pub unknown_senders: Cell<u64>,
    /// The number of datagrams replayed.
    pub replayed: Cell<u64>,
}

impl Mesh {
    /// Starts the inboxes for this number of proxies.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        proxies: usize,
        seed: u64,
    ) -> std::io::Result<Rc<Mesh>> {
        let mut inboxes = Vec::new();
        let mut inbox_addresses = Vec::new();
        for _ in 0..proxies {
            let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?;
            match socket.get_ref().local_addr()? {
                SocketAddr::V4(at) => inbox_addresses.push(at),
                SocketAddr::V6(_) => return Err(std::io::Error::other("relay inbox has an IPv6 address")),
            }
            inboxes.push(Rc::new(socket));
        }
        let mesh = Rc::new(Mesh {
            executor: Rc::clone(executor),
            inboxes,
            inbox_addresses,
            destinations: (0..proxies).map(|_| Cell::new(None)).collect(),
            senders: RefCell::default(),
            conditions: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            kept: RefCell::default(),
            sent: (0..proxies).map(|_| Cell::default()).collect(),
            dropped: Cell::new(0),
            unknown_senders: Cell::new(0),
            replayed: Cell::new(0),
        });
        for to in 0..proxies {
            let at = Rc::clone(&mesh);
            executor.spawn(async move { at.forward(to).await }).detach();
        }
        let at = Rc::clone(&mesh);
        executor.spawn(async move { at.replay_old_datagrams().await }).detach();
        Ok(mesh)
    }

    /// Registers the address at which proxy `i` receives datagrams and from which it sends.
    pub fn register(&self, i: usize, address: SocketAddr) {
        if let Some(previous) = self.destinations[i].replace(Some(address)) {
            self.senders.borrow_mut().remove(&previous);
        }
        self.senders.borrow_mut().insert(address, i);
    }

    async fn forward(self: Rc<Self>, to: usize) {
        let mut buffer = vec![0_u8; 65_536];
        let receiver = Rc::clone(&self.inboxes[to]);
        while let Ok((count, from)) = receiver.recv_from(&mut buffer).await {
            let Some(from) = self.senders.borrow().get(&from).copied() else {
                self.unknown_senders.set(self.unknown_senders.get() + 1);
                continue;
            };
            let mut sent = self.sent[from].get();
            sent.datagrams += 1;
            sent.bytes += count as u64;
            self.sent[from].set(sent);
            let datagram = buffer[..count].to_vec();
            let mut kept = self.kept.borrow_mut();
            if kept.len() >= MAX_KEPT_DATAGRAMS {
                kept.pop_front();
            }
            kept.push_back((now(), from, to, datagram.clone()));
            drop(kept);
            self.deliver(from, to, datagram);
        }
    }

    /// Delivers a datagram under the current network conditions.
    pub(crate) fn deliver(self: &Rc<Self>, from: usize, to: usize, datagram: Vec<u8>) {
        let conditions = self.conditions.borrow();
        let mut rng = self.rng.borrow_mut();
        if conditions.blocked.contains(&(from, to)) || rng.random::<f64>() < conditions.loss {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let copies = if rng.random::<f64>() < conditions.duplicate { 2 } else { 1 };
        for _ in 0..copies {
            let delay = if conditions.jitter > 0 { rng.random_range(0..conditions.jitter) } else { 0 };
            let (at, datagram) = (Rc::clone(self), datagram.clone());
            self.executor
                .spawn(async move {
                    if delay > 0 {
                        Timer::after(Duration::from_micros(delay as u64)).await;
                    }
                    if let Some(destination) = at.destinations[to].get() {
                        let _ =
                            at.inboxes[from.min(at.inboxes.len() - 1)].send_to(&datagram, destination).await;
                    }
                })
                .detach();
        }
    }

    /// Replays old datagrams of the proxies in `replayed_proxies` to their original receivers.
    async fn replay_old_datagrams(self: Rc<Self>) {
        loop {
            Timer::after(REPLAY_INTERVAL).await;
            let replayed_proxies = self.conditions.borrow().replayed_proxies.clone();
            if replayed_proxies.is_empty() {
                continue;
            }
            let chosen = {
                let kept = self.kept.borrow();
                let candidates: Vec<&KeptDatagram> = kept
                    .iter()
                    .filter(|(at, from, ..)| replayed_proxies.contains(from) && now() - at > REPLAY_AGE)
                    .collect();
                (!candidates.is_empty())
                    .then(|| candidates[self.rng.borrow_mut().random_range(0..candidates.len())].clone())
            };
            if let Some((_, from, to, datagram)) = chosen {
                self.replayed.set(self.replayed.get() + 1);
                self.deliver(from, to, datagram);
            }
        }
    }
}
