//! The driver of rollouts, on a worker thread with the UDP socket and the files of a [`RolloutService`].
//!
//! It carries datagrams, the content of files and the time to the service and decides nothing itself. Serving never waits
//! for it: the broker's views come over a ring, and what was done goes back over another.

mod atomic_file;
mod files;

use crate::socket::open;
use crate::worker::{self, RingReceiver, RingSender};
use async_io::{Async, Timer};
use files::RolloutFiles;
use futures_lite::future;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::Duration;
use wharfplank_rollout::{FleetView, Micros, PermitLedger, RolloutService, ServiceEvent};

/// Views and events that may wait in each ring; the broker sends a view each second.
const RING_CAPACITY: usize = 256;
/// The longest time between two ticks of the service.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The size of the read buffer, which holds any datagram.
const DATAGRAM_BUFFER_BYTES: usize = 65_536;

/// What the driver is made of.
pub struct RolloutContext<Now, Log> {
    /// The socket for datagrams.
    pub socket: UdpSocket,
    /// The file of the permit ledger, where this proxy is a permit server.
    pub ledger_path: Option<PathBuf>,
    /// The file that operators write commands to, where there is one. The status file is beside it.
    pub signal_path: Option<PathBuf>,
    /// The clock.
    pub now: Now,
    /// The log.
    pub log: Log,
}

/// An event for the log.
pub enum RolloutLogEvent<'a> {
    /// An event of the service.
    Service(&'a ServiceEvent),
    /// A file could not be read or written.
    FileFailed {
        /// The file.
        path: &'a Path,
        /// Why.
        error: &'a std::io::Error,
    },
}

/// Starts the worker; `make_service` is called there, with the ledger as it was stored last.
///
/// # Errors
///
/// Fails if the socket cannot be made non-blocking or the thread cannot be started.
pub fn start<Now, Log>(
    context: RolloutContext<Now, Log>,
    make_service: impl FnOnce(Option<PermitLedger>) -> RolloutService + Send + 'static,
) -> std::io::Result<(RingSender<FleetView>, RingReceiver<ServiceEvent>)>
where
    Now: Fn() -> Micros + Send + 'static,
    Log: Fn(RolloutLogEvent<'_>) + Send + 'static,
{
    context.socket.set_nonblocking(true)?;
    let ledger = context.ledger_path.as_deref().and_then(|path| files::load_ledger(path, &context.log));
    worker::start("release", RING_CAPACITY, move |views, events| async move {
        let Ok(socket) = open::register(&context.socket) else { return };
        let driver = Driver {
            service: make_service(ledger),
            socket,
            files: RolloutFiles::new(context.ledger_path, context.signal_path),
            now: context.now,
            log: context.log,
        };
        driver.run(views, events).await;
    })
}

/// The worker in its loop.
struct Driver<Now, Log> {
    service: RolloutService,
    socket: Async<UdpSocket>,
    files: RolloutFiles,
    now: Now,
    log: Log,
}

/// Why the loop continues after a wait.
enum Wakeup {
    Datagram { length: usize, from: SocketAddr },
    View(FleetView),
    ViewsClosed,
    TimerExpired,
}

impl<Now: Fn() -> Micros, Log: Fn(RolloutLogEvent<'_>)> Driver<Now, Log> {
    /// Runs until the broker's side is dropped.
    async fn run(mut self, mut views: RingReceiver<FleetView>, mut events: RingSender<ServiceEvent>) {
        let mut buffer = vec![0_u8; DATAGRAM_BUFFER_BYTES];
        loop {
            let wakeup = self.wait(&mut buffer, &mut views).await;
            let now = (self.now)();
            match wakeup {
                Wakeup::Datagram { length, from: SocketAddr::V4(from) } => {
                    self.service.on_datagram(now, from, &buffer[..length]);
                }
                Wakeup::Datagram { from: SocketAddr::V6(_), .. } | Wakeup::TimerExpired => {}
                Wakeup::View(view) => self.service.on_view(view),
                // The process ends; the permits that were granted are stored.
                Wakeup::ViewsClosed => return,
            }
            self.on_turn(now, &mut events).await;
        }
    }

    async fn wait(&self, buffer: &mut [u8], views: &mut RingReceiver<FleetView>) -> Wakeup {
        let datagram = async {
            match self.socket.recv_from(buffer).await {
                Ok((length, from)) => Wakeup::Datagram { length, from },
                // An error may come from an unreachable peer: it says nothing about the socket.
                Err(_) => Wakeup::TimerExpired,
            }
        };
        let view = async { views.recv().await.map_or(Wakeup::ViewsClosed, Wakeup::View) };
        let timer = async {
            Timer::after(TICK_INTERVAL).await;
            Wakeup::TimerExpired
        };
        future::or(view, future::or(datagram, timer)).await
    }

    /// Does what is due. The ledger is stored before the answers that depend on it are sent.
    async fn on_turn(&mut self, now: Micros, events: &mut RingSender<ServiceEvent>) {
        self.service.on_tick(now);
        self.files.check_if_due(now, &mut self.service, &self.log);
        self.files.store_ledger(now, &mut self.service, &self.log);
        self.send_datagrams(now).await;
        self.files.store_ledger(now, &mut self.service, &self.log);
        for event in self.service.take_events() {
            (self.log)(RolloutLogEvent::Service(&event));
            events.send_lazy(event);
        }
    }

    /// A datagram that cannot be sent is as one lost on the wire: all that matters is sent again.
    async fn send_datagrams(&mut self, now: Micros) {
        for (to, bytes) in self.service.take_datagrams(now) {
            let _ = self.socket.send_to(&bytes, to).await;
        }
    }
}
