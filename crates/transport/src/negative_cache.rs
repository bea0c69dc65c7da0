//! The driver of the negative cache, which holds the keys that are known to be missing.
//!
//! The cache stays on the serving thread, which looks up the key of each read. A worker thread owns the
//! socket and exchanges datagrams with the serving thread over rings. The driver makes no decisions itself
//! and never blocks the serving thread.

use super::worker::{self, RingReceiver, RingSender};
use super::Now;
use crate::socket::open;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_negative_cache::Node;
use wharfplank_routing::Micros;

/// The interval at which the status is logged.
const STATUS_LOG_INTERVAL: Micros = 5_000_000;
/// The capacity of each ring of datagrams; further datagrams are dropped, as if lost in the network, and
/// counted.
const RING_CAPACITY: usize = 1024;
/// The size of the read buffer; no datagram is larger.
const DATAGRAM_BUFFER_BYTES: usize = 65_536;
/// The maximum wait for a timer.
const MAX_WAIT: Micros = 1_000_000;

/// The status for the log, every few seconds.
pub struct NegativeCacheStatus<'a> {
    /// The cache with its counters.
    pub node: &'a Node,
    /// The current time, on the cache's clock.
    pub now: Micros,
    /// The number of datagrams so far that did not fit into the rings.
    pub dropped_datagrams: u64,
}

/// A datagram to or from a peer.
struct PeerDatagram {
    peer: SocketAddrV4,
    bytes: Vec<u8>,
}

/// Starts the thread of the socket and the driver, which also logs the status.
///
/// # Errors
///
/// Fails if the socket cannot be made non-blocking or the thread cannot be started.
pub fn start(
    node: Rc<RefCell<Node>>,
    socket: UdpSocket,
    now: Now,
    log: impl Fn(NegativeCacheStatus<'_>) + 'static,
    executor: &LocalExecutor<'static>,
) -> std::io::Result<()> {
    socket.set_nonblocking(true)?;
    let run = move |outgoing, incoming| carry_datagrams(socket, outgoing, incoming);
    let (outgoing, incoming) = worker::start("missing", RING_CAPACITY, run)?;
    executor.spawn(drive(node, outgoing, incoming, now, log)).detach();
    Ok(())
}

/// The reason why the thread of the socket continues after a wait.
enum Wakeup {
    Received(PeerDatagram),
    ReceiveFailed,
    Send(PeerDatagram),
    DriverDropped,
}

/// Carries datagrams between the socket and the rings.
async fn carry_datagrams(
    socket: UdpSocket,
    mut outgoing: RingReceiver<PeerDatagram>,
    mut incoming: RingSender<PeerDatagram>,
) {
    let Ok(socket) = open::register(&socket) else { return };
    let mut buffer = vec![0_u8; DATAGRAM_BUFFER_BYTES];
    loop {
        let receive = async {
            match socket.recv_from(&mut buffer).await {
                Ok((length, SocketAddr::V4(peer))) => {
                    Wakeup::Received(PeerDatagram { peer, bytes: buffer[..length].to_vec() })
                }
                // The error may be caused by an unreachable peer; the socket remains usable.
                Ok((_, SocketAddr::V6(_))) | Err(_) => Wakeup::ReceiveFailed,
            }
        };
        let send = async { outgoing.recv().await.map_or(Wakeup::DriverDropped, Wakeup::Send) };
        match future::or(receive, send).await {
            Wakeup::Received(datagram) => {
                incoming.send(datagram);
            }
            Wakeup::ReceiveFailed => {}
            Wakeup::Send(datagram) => {
                // A datagram that cannot be sent is treated as lost in the network: it is sent again or
                // causes additional look-ups.
                let _ = socket.send_to(&datagram.bytes, datagram.peer).await;
            }
            Wakeup::DriverDropped => return,
        }
    }
}

/// Passes datagrams and the time to the cache until the future is dropped.
async fn drive(
    node: Rc<RefCell<Node>>,
    mut outgoing: RingSender<PeerDatagram>,
    mut incoming: RingReceiver<PeerDatagram>,
    now: Now,
    log: impl Fn(NegativeCacheStatus<'_>),
) {
    let mut next_status_at = now() + STATUS_LOG_INTERVAL;
    loop {
        let due = node.borrow().next_due();
        let mut received = wait_for_datagram(&mut incoming, due - now()).await;
        let now = now();
        let mut node = node.borrow_mut();
        while let Some(datagram) = received {
            node.on_datagram(now, datagram.peer, &datagram.bytes);
            received = incoming.try_recv();
        }
        node.tick(now);
        for (peer, bytes) in node.take_datagrams() {
            outgoing.send(PeerDatagram { peer, bytes });
        }
        if now >= next_status_at {
            next_status_at = now + STATUS_LOG_INTERVAL;
            let dropped_datagrams = outgoing.dropped() + incoming.dropped();
            log(NegativeCacheStatus { node: &node, now, dropped_datagrams });
        }
    }
}

/// Waits for a datagram; `None` if the wait times out.
async fn wait_for_datagram(incoming: &mut RingReceiver<PeerDatagram>, wait: Micros) -> Option<PeerDatagram> {
    let datagram = async {
        match incoming.recv().await {
            Some(datagram) => Some(datagram),
            // A failed worker has the effect of a silent network: leases expire, and entries last until their
            // limit.
            None => future::pending().await,
        }
    };
    let timer = async {
        Timer::after(Duration::from_micros(wait.clamp(0, MAX_WAIT) as u64)).await;
        None
    };
    future::or(datagram, timer).await
}
