//! The driver of the fleet's talk: one UDP socket, the membership of `peers` and the decision of `failover`. It
//! carries datagrams and the time to them, passes on what this proxy saw of members, publishes its opinions, and tells
//! the broker each zone's share of reads when it changes. It decides nothing itself.

use super::{Event, Now};
use async_channel::{Receiver, Sender, TrySendError};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_failover::{decode, encode, Standing, Zones, TOPIC};
use wharfplank_peers::{Change, Peer, Peers};
use wharfplank_routing::Micros;

/// Outcomes that may wait for the driver; past that they are dropped and counted, since serving must not wait.
pub const SEEN_MOST: usize = 4096;
/// How often the traffic is told, and the least change of a share that is passed on.
const TELL_EVERY: Micros = 5_000_000;
const SHARE_STEP: f64 = 0.02;

/// What a member did, as the broker saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The member's zone.
    pub zone: Rc<str>,
    /// The member.
    pub member: u32,
    /// When what it was sent went out.
    pub sent: Micros,
    /// Whether it spoke at all: any answer, a miss or an error; false where there was no connection or no answer in time.
    pub answered: bool,
}

/// Where the broker's outcomes go; full, they are dropped and counted.
#[derive(Clone)]
pub struct Witness {
    sender: Sender<Seen>,
    /// Outcomes dropped since the queue was full.
    pub dropped: Rc<Cell<u64>>,
}

impl Witness {
    /// Passes an outcome on without waiting.
    pub fn saw(&self, seen: Seen) {
        if let Err(TrySendError::Full(_)) = self.sender.try_send(seen) {
            self.dropped.set(self.dropped.get() + 1);
        }
    }
}

/// What the driver tells the log.
#[derive(Clone)]
pub enum Said<'a> {
    /// It listens, as this peer.
    Started(&'a Peer),
    /// A peer came or went.
    Changed(&'a Change),
    /// A zone's standing changed.
    Standing {
        /// The zone.
        zone: &'a str,
        /// Its standing.
        standing: Standing,
        /// Its share of reads now.
        share: f64,
        /// Peers alive.
        alive: usize,
        /// Whether this proxy hears no majority of its fleet.
        alone: bool,
    },
    /// What went over the wire so far.
    Traffic(&'a Peers, u64),
}

/// The parts that the driver is made of.
pub struct Parts {
    /// The membership.
    pub peers: Peers,
    /// The decision.
    pub zones: Zones,
    /// The seeds.
    pub seeds: Vec<SocketAddrV4>,
    /// The broker's events.
    pub events: Sender<Event>,
    /// The clock.
    pub now: Now,
    /// The log.
    pub say: Rc<dyn Fn(Said<'_>)>,
}

/// Starts the driver; the witness takes the broker's outcomes.
pub fn start(
    parts: Parts,
    socket: UdpSocket,
    executor: &async_executor::LocalExecutor<'static>,
) -> std::io::Result<Witness> {
    let (sender, seen) = async_channel::bounded(SEEN_MOST);
    let witness = Witness { sender, dropped: Rc::default() };
    let socket = Async::new(socket)?;
    let dropped = Rc::clone(&witness.dropped);
    executor.spawn(drive(parts, socket, seen, dropped)).detach();
    Ok(witness)
}

enum Woken {
    Datagram(usize),
    Seen(Seen),
    Time,
    Closed,
}

async fn drive(mut parts: Parts, socket: Async<UdpSocket>, seen: Receiver<Seen>, dropped: Rc<Cell<u64>>) {
    let now = (parts.now)();
    (parts.say)(Said::Started(parts.peers.me()));
    // The router hears at once that zones are decided in common: near members win among ties from now on.
    let _ = parts.events.send(Event::Shares(Vec::new())).await;
    parts.peers.join(&parts.seeds, now);
    let mut buffer = vec![0_u8; 65_536];
    let mut told: BTreeMap<String, f64> = BTreeMap::new();
    let mut tell_at = now + TELL_EVERY;
    loop {
        let now = (parts.now)();
        let due = parts.peers.next_due().min(parts.zones.next_due(now)).min(tell_at);
        let pause = Duration::from_micros((due - now).clamp(0, 1_000_000) as u64);
        let woken = future::or(
            future::or(
                async {
                    socket.recv_from(&mut buffer).await.map_or(Woken::Time, |(n, _)| Woken::Datagram(n))
                },
                async { seen.recv().await.map_or(Woken::Closed, Woken::Seen) },
            ),
            async {
                Timer::after(pause).await;
                Woken::Time
            },
        )
        .await;
        let now = (parts.now)();
        match woken {
            Woken::Datagram(count) => parts.peers.received(now, &buffer[..count]),
            Woken::Seen(seen) if seen.answered => parts.zones.observe(now, &seen.zone, seen.member, true),
            Woken::Seen(seen) => parts.zones.silence(now, seen.sent, &seen.zone, seen.member),
            Woken::Time => {}
            Woken::Closed => {
                parts.peers.leave();
                send_all(&mut parts.peers, &socket).await;
                return;
            }
        }
        parts.peers.tick(now);
        for change in parts.peers.take_changes() {
            (parts.say)(Said::Changed(&change));
        }
        hear(&mut parts, now);
        send_all(&mut parts.peers, &socket).await;
        if parts.zones.decide(now) || !told.is_empty() {
            tell(&mut parts, now, &mut told).await;
        }
        if now >= tell_at {
            tell_at = now + TELL_EVERY;
            (parts.say)(Said::Traffic(&parts.peers, dropped.get()));
        }
    }
}

/// A peer's number for the decision.
fn key(addr: SocketAddrV4) -> u64 {
    u64::from(u32::from(*addr.ip())) << 16 | u64::from(addr.port())
}

/// Hands the notes of peers that are alive to the decision, and publishes this proxy's opinions where they changed.
fn hear(parts: &mut Parts, now: Micros) {
    let me = parts.peers.me().addr;
    let alive: Vec<u64> = parts.peers.alive().map(|p| key(p.addr)).collect();
    let notes: Vec<(u64, Vec<u8>)> = parts
        .peers
        .board()
        .topic(TOPIC)
        .filter(|note| note.origin != me)
        .map(|note| (key(note.origin), note.body.clone()))
        .collect();
    for (from, body) in notes {
        if let Some(opinions) = decode(&body) {
            parts.zones.heard(now, from, &opinions);
        }
    }
    parts.zones.alive(now, alive.into_iter());
    if let Some(opinions) = parts.zones.to_publish(now) {
        parts.peers.publish(TOPIC, encode(&opinions));
    }
}

/// Tells the broker the shares where one changed, and the log where a standing did.
async fn tell(parts: &mut Parts, now: Micros, told: &mut BTreeMap<String, f64>) {
    let shares: BTreeMap<String, f64> = parts.zones.shares(now).into_iter().collect();
    let moved = shares.len() != told.len()
        || shares
            .iter()
            .any(|(zone, share)| told.get(zone).is_none_or(|was| (was - share).abs() >= SHARE_STEP));
    if !moved {
        return;
    }
    let alive = parts.peers.alive().count();
    let alone = parts.zones.is_alone();
    let named: std::collections::BTreeSet<&String> = shares.keys().chain(told.keys()).collect();
    for zone in named {
        let (was, share) = (told.get(zone).copied().unwrap_or(1.0), shares.get(zone).copied().unwrap_or(1.0));
        let standing = parts.zones.standing(zone);
        if (was == 0.0) != (share == 0.0) || (was == 1.0) != (share == 1.0) {
            (parts.say)(Said::Standing { zone, standing, share, alive, alone });
        }
    }
    *told = shares.clone();
    let _ = parts.events.send(Event::Shares(shares.into_iter().collect())).await;
}

async fn send_all(peers: &mut Peers, socket: &Async<UdpSocket>) {
    for (to, datagram) in peers.take_sends() {
        // A datagram that cannot go is as one lost on the wire: SWIM sends again.
        let _ = socket.send_to(&datagram, to).await;
    }
}
