//! Relays for connections between proxies and members.

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
use wharfplank_lab::stand_ins::StandIns;
use wharfplank_protocol::request_comment;

/// The additional one-way delay between a proxy and a member in different zones, as between data centres.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(2);
/// The time that a member needs to receive a write before its connection is broken.
const WRITE_RECEIPT_DELAY: Duration = Duration::from_millis(3);

/// The class and path of a query, by which queries are counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Route {
    /// The number of the request class.
    pub class: usize,
    /// Whether the proxy and the member are in the same zone.
    pub same_zone: bool,
    /// Whether a zone fault was active.
    pub zone_fault: bool,
    /// Whether the member was its group's primary, which serves whatever zone it is in.
    pub to_primary: bool,
}

/// The relays between proxies and members. Each proxy has an address of its own for each member. While a zone
/// is cut off, all bytes across the cut are held back and new connections are not established.
pub struct Links {
    stand_ins: Rc<StandIns>,
    /// The zone of each proxy and of each member.
    proxy_zones: Vec<&'static str>,
    member_zones: Vec<&'static str>,
    /// The address at which proxy `i` dials member `m`: `dial_addresses[i][m]`.
    pub dial_addresses: Vec<Vec<SocketAddr>>,
    /// The zone that is currently cut off, if any.
    pub cut_off_zone: RefCell<Option<String>>,
    /// The fraction of writes whose connection is broken after the member has received them and before its
    /// answer.
    pub lost_answer_fraction: Cell<f64>,
    /// The number of writes so far, which determines the writes whose answers are lost.
    write_count: Cell<u64>,
    /// Whether a zone fault is active, for the query counts.
    pub has_zone_fault: Cell<bool>,
    /// The number of queries by route.
    pub query_counts: RefCell<BTreeMap<Route, u64>>,
}

/// Returns the address and the zone of each member.
fn member_addresses(stand_ins: &StandIns) -> Vec<(SocketAddr, &'static str)> {
    let list = stand_ins.endpoint_list();
    let hosts = list.get("hosts").and_then(Value::as_array).cloned().unwrap_or_default();
    let zone_of = |site: &str| ZONES.into_iter().find(|zone| *zone == site).unwrap_or(ZONES[0]);
    let address = |host: &Value| {
        let addr = host.get("dial")?.as_str()?.parse().ok()?;
        Some((addr, zone_of(host.get("site")?.as_str()?)))
    };
    hosts.iter().filter_map(address).collect()
}

impl Links {
    /// Starts a listener for each pair of proxy and member that relays to the stand-in member.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        stand_ins: &Rc<StandIns>,
        proxy_zones: Vec<&'static str>,
    ) -> std::io::Result<Rc<Links>> {
        let members = member_addresses(stand_ins);
        let mut dial_addresses = Vec::new();
        let mut listeners = Vec::new();
        for _ in &proxy_zones {
            let mut row = Vec::new();
            for _ in &members {
                let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
                row.push(listener.get_ref().local_addr()?);
                listeners.push(listener);
            }
            dial_addresses.push(row);
        }
        let member_zones = members.iter().map(|(_, zone)| *zone).collect();
        let links = Rc::new(Links {
            stand_ins: Rc::clone(stand_ins),
            proxy_zones,
            member_zones,
            dial_addresses,
            cut_off_zone: RefCell::new(None),
            lost_answer_fraction: Cell::new(0.0),
            write_count: Cell::new(0),
            has_zone_fault: Cell::new(false),
            query_counts: RefCell::default(),
        });
        let count = members.len();
        for (n, listener) in listeners.into_iter().enumerate() {
            let (proxy, member) = (n / count, n % count);
            let (relays, target, ex) = (Rc::clone(&links), members[member].0, Rc::clone(executor));
            executor
                .spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        let relays = Rc::clone(&relays);
                        ex.spawn(async move { relays.relay(proxy, member, stream, target).await }).detach();
                    }
                })
                .detach();
        }
        Ok(links)
    }

    /// Returns whether traffic between the proxy and the member is currently blocked.
    fn is_blocked(&self, proxy: usize, member: usize) -> bool {
        let cut = self.cut_off_zone.borrow();
        cut.as_deref()
            .is_some_and(|zone| (self.proxy_zones[proxy] == zone) != (self.member_zones[member] == zone))
    }

    /// Counts a write, and returns whether its answer is to be lost. Losses are spread evenly over the
    /// writes.
    fn loses_answer(&self) -> bool {
        let writes = self.write_count.get() + 1;
        self.write_count.set(writes);
        let fraction = self.lost_answer_fraction.get();
        fraction > 0.0 && (writes as f64 * fraction).floor() > ((writes - 1) as f64 * fraction).floor()
    }

    async fn relay(
        self: Rc<Self>,
        proxy: usize,
        member: usize,
        client: Async<TcpStream>,
        target: SocketAddr,
    ) {
        // The member is not dialled until the cut is over.
        while self.is_blocked(proxy, member) {
            Timer::after(Duration::from_millis(10)).await;
        }
        let Ok(server) = Async::<TcpStream>::connect(target).await else { return };
        let (client, server) = (Rc::new(client), Rc::new(server));
        let up = self.clone().forward(proxy, member, Rc::clone(&client), Rc::clone(&server), true);
        let down = self.forward(proxy, member, server, client, false);
        futures_lite::future::or(up, down).await;
    }

    async fn forward(
        self: Rc<Self>,
        proxy: usize,
        member: usize,
        from: Rc<Async<TcpStream>>,
        to: Rc<Async<TcpStream>>,
        is_from_proxy: bool,
    ) {
        let mut buffer = vec![0_u8; 65_536];
        let mut parser = QueryParser::default();
        loop {
            let Ok(count) = (&*from).read(&mut buffer).await else { return };
            if count == 0 {
                let _ = to.get_ref().shutdown(std::net::Shutdown::Write);
                return;
            }
            while self.is_blocked(proxy, member) {
                Timer::after(Duration::from_millis(10)).await;
            }
            let same_zone = self.proxy_zones[proxy] == self.member_zones[member];
            if !same_zone {
                Timer::after(CROSS_ZONE_DELAY).await;
            }
            let mut loses_answer = false;
            if is_from_proxy {
                for class in parser.feed(&buffer[..count]) {
                    loses_answer |=
                        wharfplank_lab::member_model::CLASSES[class].name == "write" && self.loses_answer();
                    let to_primary = self.stand_ins.model().members.get(member).is_some_and(|m| m.is_primary);
                    let route = Route { class, same_zone, zone_fault: self.has_zone_fault.get(), to_primary };
                    *self.query_counts.borrow_mut().entry(route).or_default() += 1;
                }
            }
            if (&*to).write_all(&buffer[..count]).await.is_err() {
                return;
            }
            if loses_answer {
                // The member receives the write; then the connection is closed on both sides.
                Timer::after(WRITE_RECEIPT_DELAY).await;
                return;
            }
        }
    }
}

/// A parser for the client side of the PostgreSQL protocol that extracts the classes of queries.
#[derive(Default)]
struct QueryParser {
    bytes: Vec<u8>,
    is_started: bool,
}

impl QueryParser {
    /// Takes further bytes and returns the classes of the queries completed by them, as indices into
    /// `CLASSES`.
    fn feed(&mut self, data: &[u8]) -> Vec<usize> {
        self.bytes.extend_from_slice(data);
        let mut classes = Vec::new();
        loop {
            let (header_length, tag) =
                if self.is_started { (5, self.bytes.first().copied()) } else { (4, None) };
            if self.bytes.len() < header_length {
                break;
            }
            let length_offset = header_length - 4;
            let length = u32::from_be_bytes([
                self.bytes[length_offset],
                self.bytes[length_offset + 1],
                self.bytes[length_offset + 2],
                self.bytes[length_offset + 3],
            ]);
            let end = length_offset + length as usize;
            if self.bytes.len() < end || length < 4 {
                break;
            }
            if tag == Some(b'Q') {
                let text = String::from_utf8_lossy(&self.bytes[header_length..end]);
                let text = text.trim_end_matches('\0');
                let names = wharfplank_lab::member_model::CLASSES.iter().map(|c| c.name);
                let class =
                    request_comment::parse(text).ok().and_then(|c| names.clone().position(|n| n == c.class));
                classes.extend(class);
            }
            self.is_started = true;
            self.bytes.drain(..end);
        }
        classes
    }
}
