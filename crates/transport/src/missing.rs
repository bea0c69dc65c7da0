//! The driver of what is known to be missing. The facts stay on the serving thread, which asks them for each read; the
//! socket has a thread of its own, joined by rings of datagrams. It decides nothing itself, and serving never waits.

use super::worker::{self, RingReceiver, RingSender};
use super::Now;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_negative_cache::Node;

/// How often the log hears what was done.
const TELL_EVERY: i64 = 5_000_000;
/// Datagrams that may wait each way; past that they are as ones lost on the wire, and counted.
const RING: usize = 1024;

/// A datagram and whose it is.
type Datagram = (SocketAddrV4, Vec<u8>);

/// Starts the thread of the socket and the driver; `say` hears every few seconds what was done, with the datagrams that
/// the rings had no room for.
pub fn start(
    node: Rc<RefCell<Node>>,
    socket: UdpSocket,
    now: Now,
    say: impl Fn(&Node, i64, u64) + 'static,
    executor: &LocalExecutor<'static>,
) -> std::io::Result<()> {
    socket.set_nonblocking(true)?;
    let carry = move |sends, heard| carry(socket, sends, heard);
    let (sends, heard) = worker::start("missing", RING, carry)?;
    executor.spawn(drive(node, sends, heard, now, say)).detach();
    Ok(())
}

enum Woken {
    Heard(Datagram),
    Send(Datagram),
    Skip,
    Ended,
}

/// The socket's thread: what comes goes up, what is to be sent goes out.
async fn carry(socket: UdpSocket, mut sends: RingReceiver<Datagram>, mut heard: RingSender<Datagram>) {
    let Ok(socket) = Async::new(socket) else { return };
    let mut buffer = vec![0_u8; 65_536];
    loop {
        let datagram = async {
            match socket.recv_from(&mut buffer).await {
                Ok((count, SocketAddr::V4(from))) => Woken::Heard((from, buffer[..count].to_vec())),
                _ => Woken::Skip,
            }
        };
        let send = async { sends.recv().await.map_or(Woken::Ended, Woken::Send) };
        match future::or(datagram, send).await {
            Woken::Heard(datagram) => drop(heard.send(datagram)),
            // A message that cannot go is as one lost on the wire: it goes again, or costs look-ups.
            Woken::Send((to, bytes)) => drop(socket.send_to(&bytes, to).await),
            Woken::Skip => {}
            Woken::Ended => return,
        }
    }
}

async fn drive(
    node: Rc<RefCell<Node>>,
    mut sends: RingSender<Datagram>,
    mut heard: RingReceiver<Datagram>,
    now: Now,
    say: impl Fn(&Node, i64, u64),
) {
    let mut tell_at = now() + TELL_EVERY;
    loop {
        let due = node.borrow().next_due();
        let pause = Duration::from_micros((due - now()).clamp(0, 1_000_000) as u64);
        let datagram = async {
            match heard.recv().await {
                Some(datagram) => Some(datagram),
                // A thread that failed is a silent network: leases expire, and entries last for their bound.
                None => future::pending().await,
            }
        };
        let time = async {
            Timer::after(pause).await;
            None
        };
        let mut next = future::or(datagram, time).await;
        let at = now();
        let mut node = node.borrow_mut();
        while let Some((from, bytes)) = next {
            node.on_datagram(at, from, &bytes);
            next = heard.try_recv();
        }
        node.tick(at);
        for datagram in node.take_datagrams() {
            sends.send(datagram);
        }
        if at >= tell_at {
            tell_at = at + TELL_EVERY;
            say(&node, at, sends.dropped() + heard.dropped());
        }
    }
}
