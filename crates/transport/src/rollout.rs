//! The driver of rollouts, on a worker thread that owns the UDP socket and the files of a [`RolloutService`].
//!
//! It passes datagrams, the content of files and the time to the service and makes no decisions itself. The
//! serving thread never waits for it: the broker's views arrive over one ring, and events return over
//! another.

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

/// The capacity of the rings of views and of events. The broker sends one view per second.
const RING_CAPACITY: usize = 256;
/// The maximum time between two ticks of the service.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The size of the read buffer; no datagram is larger.
const DATAGRAM_BUFFER_BYTES: usize = 65_536;

/// The resources of the driver.
pub struct RolloutContext<Now, Log> {
    /// The socket for datagrams.
    pub socket: UdpSocket,
    /// The file of the permit ledger, if this proxy is a permit server.
    pub ledger_path: Option<PathBuf>,
    /// The file that operators write commands to, if configured. The status file is in the same directory.
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
        /// The cause.
        error: &'a std::io::Error,
    },
}

/// Starts the worker. `make_service` is called on the worker's thread, with the ledger that was last stored.
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

/// The worker with the state of its loop.
struct Driver<Now, Log> {
    service: RolloutService,
    socket: Async<UdpSocket>,
    files: RolloutFiles,
    now: Now,
    log: Log,
}

/// The reason why the loop continues after a wait.
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
                // The process is about to exit; the granted permits are already stored.
                Wakeup::ViewsClosed => return,
            }
            self.on_turn(now, &mut events).await;
        }
    }

    async fn wait(&self, buffer: &mut [u8], views: &mut RingReceiver<FleetView>) -> Wakeup {
        let datagram = async {
            match self.socket.recv_from(buffer).await {
                Ok((length, from)) => Wakeup::Datagram { length, from },
                // The error may be caused by an unreachable peer; the socket remains usable.
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

    /// Runs the due work. The ledger is stored before the answers that depend on it are sent.
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

    /// Sends the service's datagrams. A datagram that cannot be sent is treated as lost in the network: the
    /// protocol repeats every message that is needed.
    async fn send_datagrams(&mut self, now: Micros) {
        for (to, bytes) in self.service.take_datagrams(now) {
            let _ = self.socket.send_to(&bytes, to).await;
        }
    }
}
