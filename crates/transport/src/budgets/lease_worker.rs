//! The worker thread of the budgets: the socket, the encoding of datagrams, and the allocator if this proxy
//! is one.
//!
//! The leases themselves belong to the serving thread: only the thread that spends can guarantee that a lease
//! is no longer used.

use crate::socket::open;
use crate::worker::{RingReceiver, RingSender};
use async_io::{Async, Timer};
use futures_lite::future;
use serde::{Deserialize, Serialize};
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::time::Duration;
use wharfplank_budget::{
    EpochAnnouncement, LeaseAllocator, LeaseGrant, LeaseRequest, LeaseTerms, Micros, TakeoverGuard,
};

/// The interval at which allocators announce their epochs to each other, and the worker reports its status to
/// the serving thread.
const ANNOUNCE_INTERVAL: Micros = 1_000_000;
/// The size of the read buffer; no datagram is larger.
const DATAGRAM_BUFFER_BYTES: usize = 65_536;

/// The messages between proxies. The order of the variants is part of the wire format.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Request(LeaseRequest),
    Grant(LeaseGrant),
    Announcement(EpochAnnouncement),
}

/// A datagram. The order of the fields is part of the wire format.
#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    /// A hash of the settings: proxies with different settings do not lease from each other.
    settings_hash: u64,
    message: Message,
}

/// A request from the serving thread to an allocator.
#[derive(Debug)]
pub(super) struct AllocatorRequest {
    /// The allocator's number.
    pub(super) allocator: usize,
    pub(super) request: LeaseRequest,
}

/// A report from the worker to the serving thread.
#[derive(Debug)]
pub(super) enum LeaseUpdate {
    /// An allocator granted a lease.
    Granted {
        /// The allocator's number.
        allocator: usize,
        grant: LeaseGrant,
    },
    /// The worker's status.
    Status(WorkerStatus),
}

/// The status and the counters of the worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerStatus {
    /// Datagrams that could not be decoded.
    pub undecodable_datagrams: u64,
    /// Datagrams from proxies with different settings.
    pub foreign_datagrams: u64,
    /// Lease holders that this proxy's allocator knows.
    pub holders: u64,
    /// Requests that this proxy's allocator did not answer.
    pub ignored_requests: u64,
    /// Whether this proxy's allocator grants leases.
    pub is_allocating: bool,
}

/// The allocator that runs on this proxy.
pub struct OwnAllocator {
    /// Its number among the allocators.
    pub index: usize,
    /// Its state.
    pub allocator: LeaseAllocator,
    /// Prevents it from granting amounts that a previous allocator may have granted.
    pub guard: TakeoverGuard,
}

/// The parts of the worker.
pub struct LeaseWorker<Clock> {
    /// The socket for datagrams.
    pub socket: UdpSocket,
    /// The addresses of the allocators.
    pub allocators: Vec<SocketAddrV4>,
    /// The allocator that runs on this proxy, if any.
    pub own_allocator: Option<OwnAllocator>,
    /// The terms of leases.
    pub terms: LeaseTerms,
    /// A hash of the settings.
    pub settings_hash: u64,
    /// The clock of the budgets.
    pub now: Clock,
}

/// The reason why the loop continues after a wait.
enum Wakeup {
    Request(AllocatorRequest),
    Datagram { length: usize, from: SocketAddr },
    TimerExpired,
    BudgetsDropped,
}

impl<Clock: Fn() -> Micros> LeaseWorker<Clock> {
    /// Runs until the serving thread's side is dropped.
    pub(super) async fn run(
        mut self,
        mut requests: RingReceiver<AllocatorRequest>,
        mut updates: RingSender<LeaseUpdate>,
    ) {
        let Ok(socket) = open::register(&self.socket) else { return };
        let mut buffer = vec![0_u8; DATAGRAM_BUFFER_BYTES];
        let mut status = WorkerStatus::default();
        let mut next_announcement_at = 0;
        loop {
            let wait = (next_announcement_at - (self.now)()).clamp(0, ANNOUNCE_INTERVAL);
            match wait_for_work(wait, &socket, &mut buffer, &mut requests).await {
                Wakeup::Request(request) => self.on_own_request(request, &mut updates),
                Wakeup::Datagram { length, from } => {
                    self.on_datagram(from, &buffer[..length], &mut status, &mut updates);
                }
                Wakeup::TimerExpired => {}
                Wakeup::BudgetsDropped => return,
            }
            if (self.now)() >= next_announcement_at {
                next_announcement_at = (self.now)() + ANNOUNCE_INTERVAL;
                self.announce(&mut status);
                updates.send(LeaseUpdate::Status(status));
            }
        }
    }

    /// Forwards a request of the serving thread, or answers it if the allocator runs on this proxy.
    fn on_own_request(
        &mut self,
        AllocatorRequest { allocator, request }: AllocatorRequest,
        updates: &mut RingSender<LeaseUpdate>,
    ) {
        let is_own = self.own_allocator.as_ref().is_some_and(|own| own.index == allocator);
        if !is_own {
            return self.send_to_allocator(allocator, Message::Request(request));
        }
        if let Some(grant) = self.allocate(&request) {
            updates.send(LeaseUpdate::Granted { allocator, grant });
        }
    }

    fn on_datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        status: &mut WorkerStatus,
        updates: &mut RingSender<LeaseUpdate>,
    ) {
        match postcard::from_bytes::<Datagram>(bytes) {
            Err(_) => status.undecodable_datagrams += 1,
            Ok(datagram) if datagram.settings_hash != self.settings_hash => status.foreign_datagrams += 1,
            Ok(datagram) => self.on_message(from, datagram.message, updates),
        }
    }

    fn on_message(&mut self, from: SocketAddr, message: Message, updates: &mut RingSender<LeaseUpdate>) {
        let allocator = self.allocators.iter().position(|address| SocketAddr::V4(*address) == from);
        match (message, allocator) {
            (Message::Request(request), _) => {
                if let Some(grant) = self.allocate(&request) {
                    self.send(from, Message::Grant(grant));
                }
            }
            // A grant that does not fit into the ring is treated as a lost datagram: the previous lease
            // expires.
            (Message::Grant(grant), Some(allocator)) => {
                updates.send(LeaseUpdate::Granted { allocator, grant });
            }
            (Message::Announcement(announcement), Some(allocator)) => {
                self.on_announcement(allocator, announcement);
            }
            (Message::Grant(_) | Message::Announcement(_), None) => {}
        }
    }

    fn on_announcement(&mut self, allocator: usize, announcement: EpochAnnouncement) {
        let now = (self.now)();
        let Some(own) = &mut self.own_allocator else { return };
        if let Some(answer) = own.guard.on_announcement(now, allocator, announcement) {
            self.send_to_allocator(allocator, Message::Announcement(answer));
        }
    }

    /// Requests a lease from this proxy's allocator; `None` if there is no allocator or it may not grant one.
    fn allocate(&mut self, request: &LeaseRequest) -> Option<LeaseGrant> {
        let now = (self.now)();
        let own = self.own_allocator.as_mut()?;
        own.allocator.postpone_opening(own.guard.opens_at(&self.terms)?);
        own.allocator.on_request(now, request)
    }

    /// Announces the epoch of this proxy's allocator, and updates the status.
    fn announce(&self, status: &mut WorkerStatus) {
        let Some(own) = &self.own_allocator else { return };
        let opens_at = own.guard.opens_at(&self.terms).map(|at| at.max(own.allocator.opens_at()));
        status.is_allocating = opens_at.is_some_and(|opens_at| opens_at <= (self.now)());
        status.holders = own.allocator.holder_count() as u64;
        status.ignored_requests = own.allocator.ignored_requests;
        for (allocator, announcement) in own.guard.announcements() {
            self.send_to_allocator(allocator, Message::Announcement(announcement));
        }
    }

    fn send_to_allocator(&self, allocator: usize, message: Message) {
        if let Some(address) = self.allocators.get(allocator) {
            self.send(SocketAddr::V4(*address), message);
        }
    }

    /// Sends a message. A datagram that cannot be sent is treated as lost in the network.
    fn send(&self, to: SocketAddr, message: Message) {
        let datagram = Datagram { settings_hash: self.settings_hash, message };
        if let Ok(bytes) = postcard::to_allocvec(&datagram) {
            let _ = self.socket.send_to(&bytes, to);
        }
    }
}

/// Waits for a request, a datagram or the timer.
async fn wait_for_work(
    wait: Micros,
    socket: &Async<UdpSocket>,
    buffer: &mut [u8],
    requests: &mut RingReceiver<AllocatorRequest>,
) -> Wakeup {
    let request = async { requests.recv().await.map_or(Wakeup::BudgetsDropped, Wakeup::Request) };
    let datagram = async {
        match socket.recv_from(buffer).await {
            Ok((length, from)) => Wakeup::Datagram { length, from },
            // The error may be caused by an unreachable peer; the socket remains usable.
            Err(_) => Wakeup::TimerExpired,
        }
    };
    let timer = async {
        Timer::after(Duration::from_micros(wait as u64)).await;
        Wakeup::TimerExpired
    };
    future::or(request, future::or(datagram, timer)).await
}
