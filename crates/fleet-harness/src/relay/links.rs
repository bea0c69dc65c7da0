//! The connections between proxies and members.

use crate::schedule::ZONES;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::stand::Stand;
use wharfplank_protocol::request_comment;

/// Bytes between a proxy and a member of another zone take this much longer each way, as between data centres.
const FAR: Duration = Duration::from_millis(2);
/// What a member needs to have taken a write in, whose connection then breaks.
const TAKEN: Duration = Duration::from_millis(3);

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

/// The address and the zone of each member.
fn member_addresses(stand: &Stand) -> Vec<(SocketAddr, &'static str)> {
    let list = stand.list();
    let hosts = list.get("hosts").and_then(Value::as_array).cloned().unwrap_or_default();
    let zone_of = |site: &str| ZONES.into_iter().find(|zone| *zone == site).unwrap_or(ZONES[0]);
    let address = |host: &Value| {
        let addr = host.get("dial")?.as_str()?.parse().ok()?;
        Some((addr, zone_of(host.get("site")?.as_str()?)))
    };
    hosts.iter().filter_map(address).collect()
}

impl Links {
    /// Listeners for each proxy and member, leading to the members of the stand.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        stand: &Rc<Stand>,
        proxy_zones: Vec<&'static str>,
    ) -> std::io::Result<Rc<Links>> {
        let members = member_addresses(stand);
        let mut dials = Vec::new();
        let mut listeners = Vec::new();
        for _ in &proxy_zones {
            let mut row = Vec::new();
            for _ in &members {
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
                    breaks |= wharfplank_lab::fleet::CLASSES[class].name == "write" && self.breaks();
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
                let class =
                    request_comment::parse(text).ok().and_then(|c| names.clone().position(|n| n == c.class));
                classes.extend(class);
            }
            self.started = true;
            self.bytes.drain(..whole);
        }
        classes
    }
}
