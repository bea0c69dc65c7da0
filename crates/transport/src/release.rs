//! The driver of releases: a thread of its own with the UDP socket, the ledger's file and the signal file of a
//! [`RolloutService`]. It carries datagrams, files and the time to that and decides nothing itself. Serving never waits
//! for it:
//! the broker's views come over a ring, and what was done goes back over another.

use crate::worker::{self, RingReceiver, RingSender};
use async_io::{Async, Timer};
use futures_lite::future;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use wharfplank_rollout::{
    decode_ledger, encode_ledger, FleetView, Micros, PermitLedger, RolloutService, ServiceEvent,
    SignalFileWatcher,
};

/// Views and notes that may wait in each ring; the broker looks each second.
const RING: usize = 256;
/// What is due is done so often at least, and the files are looked at so often.
const TICK: Duration = Duration::from_millis(50);
const LOOK: Micros = 500_000;
/// The most that is read of a signal file, and of a ledger's: its permits are at most as many as members.
const SIGNAL_BYTES: u64 = 4096;
const LEDGER_BYTES: u64 = 16 << 20;

/// What the driver is made of.
pub struct Parts<Now, Say> {
    /// Where datagrams are taken.
    pub socket: UdpSocket,
    /// The bank's ledger, where this proxy is one.
    pub ledger: Option<PathBuf>,
    /// The signal file, where there is one; its status file is beside it.
    pub signal: Option<PathBuf>,
    /// The clock.
    pub now: Now,
    /// The log.
    pub say: Say,
}

/// What the log is told.
pub enum Told<'a> {
    /// Of releases.
    Event(&'a ServiceEvent),
    /// A file could not be written, read or put in place.
    File(&'a Path, &'a std::io::Error),
}

/// Starts the thread; `service` is made there, with the ledger as it was kept.
pub fn start<Now, Say>(
    parts: Parts<Now, Say>,
    service: impl FnOnce(Option<PermitLedger>) -> RolloutService + Send + 'static,
) -> std::io::Result<(RingSender<FleetView>, RingReceiver<ServiceEvent>)>
where
    Now: Fn() -> Micros + Send + 'static,
    Say: Fn(Told<'_>) + Send + 'static,
{
    parts.socket.set_nonblocking(true)?;
    let ledger = parts.ledger.as_deref().and_then(|path| kept(path, &parts.say));
    worker::start("release", RING, move |views, notes| async move {
        let Ok(socket) = Async::new(parts.socket) else { return };
        let files = Files { ledger: parts.ledger, signal: parts.signal, ..Files::default() };
        drive(service(ledger), socket, files, parts.now, parts.say, (views, notes)).await;
    })
}

#[derive(Default)]
struct Files {
    ledger: Option<PathBuf>,
    signal: Option<PathBuf>,
    seen: SignalFileWatcher,
    shown: String,
    due: Micros,
    /// When a ledger that could not be written is tried again.
    again: Micros,
}

async fn drive(
    mut service: RolloutService,
    socket: Async<UdpSocket>,
    mut files: Files,
    now: impl Fn() -> Micros,
    say: impl Fn(Told<'_>),
    (mut views, mut notes): (RingReceiver<FleetView>, RingSender<ServiceEvent>),
) {
    let mut buffer = vec![0_u8; 65_536];
    enum Woken {
        Datagram(usize, SocketAddr),
        View(Option<FleetView>),
        Time,
    }
    loop {
        let datagram = async {
            socket.recv_from(&mut buffer).await.map_or(Woken::Time, |(n, at)| Woken::Datagram(n, at))
        };
        let view = async { Woken::View(views.recv().await) };
        let time = async {
            Timer::after(TICK).await;
            Woken::Time
        };
        let woken = future::or(view, future::or(datagram, time)).await;
        let at = now();
        match woken {
            Woken::Datagram(count, SocketAddr::V4(from)) => service.on_datagram(at, from, &buffer[..count]),
            Woken::View(Some(view)) => service.on_view(view),
            // The process ends; what was promised is on disk.
            Woken::View(None) => return,
            _ => {}
        }
        service.on_tick(at);
        if at >= files.due {
            files.due = at + LOOK;
            files.look(&mut service, &say);
        }
        files.keep(&mut service, at, &say);
        // A datagram that cannot go is as one lost on the wire: all that matters is sent again.
        for (to, bytes) in service.take_datagrams(at) {
            let _ = socket.send_to(&bytes, to).await;
        }
        files.keep(&mut service, at, &say);
        for event in service.take_events() {
            say(Told::Event(&event));
            notes.send_lazy(event);
        }
    }
}

impl Files {
    /// Writes the ledger where it changed: its answers leave after that.
    fn keep(&mut self, service: &mut RolloutService, now: Micros, say: &impl Fn(Told<'_>)) {
        let (Some(path), Some(ledger)) = (&self.ledger, service.ledger_to_store()) else { return };
        if now < self.again {
            return;
        }
        let revision = ledger.revision;
        match put(path, &encode_ledger(ledger), true) {
            Ok(()) => service.on_ledger_stored(revision),
            Err(fault) => {
                self.again = now + LOOK;
                say(Told::File(path, &fault));
            }
        }
    }

    /// Looks at the files that operators write, and shows them the status.
    fn look(&mut self, service: &mut RolloutService, say: &impl Fn(Told<'_>)) {
        if let Some(path) = self.ledger.as_deref().filter(|_| service.is_permit_server_closed()) {
            // An operator may give a bank without a ledger one at any time.
            let bytes = read(path, LEDGER_BYTES).ok();
            bytes
                .and_then(|bytes| decode_ledger(&bytes).ok())
                .into_iter()
                .for_each(|ledger| service.open_permit_server(ledger));
        }
        let Some(path) = &self.signal else { return };
        let stamp = std::fs::metadata(path).ok().and_then(|of| Some((of.modified().ok()?, of.len())));
        if self.seen.has_new_command(stamp) {
            match read(path, SIGNAL_BYTES) {
                Ok(command) => {
                    let now = SystemTime::now().duration_since(UNIX_EPOCH);
                    let now_ms = now.map_or(0, |span| span.as_millis() as u64);
                    service.on_command(now_ms, &String::from_utf8_lossy(&command));
                }
                Err(fault) => say(Told::File(path, &fault)),
            }
        }
        let status = service.status();
        if status != self.shown {
            let mut beside = path.clone().into_os_string();
            beside.push(".status");
            let beside = PathBuf::from(beside);
            if let Err(fault) = put(&beside, status.as_bytes(), false) {
                say(Told::File(&beside, &fault));
            }
            self.shown = status;
        }
    }
}

/// The ledger as it was kept last; none where there is no file, or it can't be read whole.
fn kept(path: &Path, say: &impl Fn(Told<'_>)) -> Option<PermitLedger> {
    match read(path, LEDGER_BYTES) {
        Ok(bytes) => decode_ledger(&bytes).ok(),
        Err(fault) => {
            say(Told::File(path, &fault));
            None
        }
    }
}

fn read(path: &Path, most: u64) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(most).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Puts bytes in a file's place: written beside it and renamed, so that it is never there in part; `sync`: on the disk,
/// with its name, before this returns.
fn put(path: &Path, bytes: &[u8], sync: bool) -> std::io::Result<()> {
    let mut beside = path.to_path_buf().into_os_string();
    beside.push(".new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    if sync {
        file.sync_all()?;
    }
    drop(file);
    std::fs::rename(&beside, path)?;
    match path.parent().filter(|_| sync) {
        Some(parent) if parent.as_os_str().is_empty() => File::open(".")?.sync_all(),
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}
