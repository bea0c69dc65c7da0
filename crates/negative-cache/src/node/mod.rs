//! One process of the fleet: its cache, writes and leases, its lease server if it is one, and its messages.
//!
//! Holders send only to servers. Servers forward seals and announcements to all holders, so that the traffic
//! received by a process does not grow with the size of the fleet.

mod message;
mod responses;
mod server;

pub use responses::{MAX_RESPONSES, MAX_RESPONSE_BYTES};

use crate::{
    Freshness, KeyHasher, Lookup, LookupResult, Micros, NegativeCache, NegativeCacheConfig, PendingWrites,
    SealedSlot, Stats, WriteLeaseRequest, WriteLeases,
};
use message::{AnnouncementWithResponse, Message};
use responses::ResponseTable;
use server::LocalServer;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Maximum number of announcements in one message.
const MAX_ANNOUNCEMENTS_PER_MESSAGE: usize = 32;
/// Maximum number of datagrams queued for sending. When the queue is full, new datagrams are dropped.
const MAX_OUTGOING: usize = 4_096;

/// One process of the fleet.
pub struct Node {
    tick_interval: Micros,
    servers: Vec<SocketAddrV4>,
    local_server: Option<LocalServer>,
    cache: NegativeCache,
    responses: ResponseTable,
    /// The writes of this process.
    pub writes: PendingWrites,
    /// The leases that allow this process to write.
    pub write_leases: WriteLeases,
    outgoing: VecDeque<(SocketAddrV4, Vec<u8>)>,
    next_due: Micros,
    /// Number of messages that could not be decoded or came from an unexpected sender.
    pub rejected_messages: u64,
    /// Number of messages dropped because the queue was full or they were too large.
    pub dropped_messages: u64,
}

impl Node {
    /// Creates the state of a process that has just started. The process is a lease server if `address` is
    /// among `servers`. `holder` must be unique among all processes, past and present.
    pub fn new(
        config: NegativeCacheConfig,
        hasher: KeyHasher,
        address: SocketAddrV4,
        servers: Vec<SocketAddrV4>,
        holder: u64,
        now: Micros,
    ) -> Node {
        let own_index = servers.iter().position(|server| *server == address);
        Node {
            tick_interval: config.renewal_interval.min(config.slot_length),
            local_server: own_index.map(|id| LocalServer::new(id as u32, config.clone(), now)),
            cache: NegativeCache::new(config.clone(), servers.len(), now),
            responses: ResponseTable::new(hasher),
            writes: PendingWrites::new(config.clone(), now),
            write_leases: WriteLeases::new(holder, config, servers.len()),
            outgoing: VecDeque::new(),
            next_due: now,
            rejected_messages: 0,
            dropped_messages: 0,
            servers,
        }
    }

    /// Looks up a read. Returns the response of a member if the key of the read is known to be missing.
    pub fn lookup(&mut self, now: Micros, lookup: &Lookup, freshness: Freshness) -> Option<Rc<[u8]>> {
        match self.cache.lookup(now, lookup, freshness) {
            LookupResult::KnownMissing { response, .. } => self.responses.get(response).cloned(),
            LookupResult::Miss(_) => None,
        }
    }

    /// Records that a member answered "no row" with the response `bytes`, see
    /// [`NegativeCache::record_missing`].
    pub fn record_missing(&mut self, now: Micros, lookup: &Lookup, position: Micros, bytes: &[u8]) {
        if let Some(response) = self.responses.insert(bytes) {
            self.cache.record_missing(now, lookup, position, response);
        }
    }

    /// Records that a member answered with a row.
    pub fn record_present(&mut self, lookup: &Lookup) {
        self.cache.record_present(lookup);
    }

    /// Returns when [`Node::tick`] is next due.
    pub fn next_due(&self) -> Micros {
        self.next_due
    }

    /// Performs the periodic work if it is due: renews leases, seals slots and announces entries.
    pub fn tick(&mut self, now: Micros) {
        if now < self.next_due {
            return;
        }
        self.next_due = now + self.tick_interval;
        self.renew_leases(now);
        self.seal_slots(now);
        self.announce_entries();
    }

    fn renew_leases(&mut self, now: Micros) {
        self.writes.advance(now);
        for (server, request) in self.write_leases.take_due_requests(now, &self.writes) {
            self.send(self.servers[server], &Message::LeaseRequest(request));
        }
    }

    fn seal_slots(&mut self, now: Micros) {
        let Some(server) = &mut self.local_server else { return };
        for message in server.seal(now) {
            self.send_to_holders(&message);
        }
    }

    /// Sends each entry to be announced to one server, which forwards it. If that server is unavailable, the
    /// other proxies do not receive the entry, which only costs them a read at a member.
    fn announce_entries(&mut self) {
        let announcements = self.cache.take_announcements(MAX_ANNOUNCEMENTS_PER_MESSAGE);
        if self.servers.is_empty() {
            return;
        }
        let mut by_server: BTreeMap<usize, Vec<AnnouncementWithResponse>> = BTreeMap::new();
        for announcement in announcements {
            let Some(response) = self.responses.get(announcement.entry.response) else { continue };
            let server = (announcement.statement.0 % self.servers.len() as u128) as usize;
            by_server.entry(server).or_default().push((announcement, response.to_vec()));
        }
        for (server, announcements) in by_server {
            self.send(self.servers[server], &Message::Announce(announcements));
        }
    }

    /// Handles a datagram. A datagram that cannot be decoded or comes from an unexpected sender is counted
    /// and ignored.
    pub fn on_datagram(&mut self, now: Micros, from: SocketAddrV4, bytes: &[u8]) {
        let server = self.servers.iter().position(|server| *server == from);
        match Message::decode(bytes) {
            Ok(Message::LeaseRequest(request)) => self.on_lease_request(now, from, &request),
            Ok(Message::LeaseGrant(id, grant)) if server == Some(id as usize) => {
                self.write_leases.on_grant(id as usize, &grant);
            }
            Ok(Message::SealedSlots(seals)) if are_all_from_server(&seals, server) => {
                for seal in &seals {
                    self.cache.on_sealed_slot(now, seal);
                }
            }
            Ok(Message::Announce(announcements)) if self.is_local_holder(from) => {
                self.send_to_holders(&Message::Announced(announcements));
            }
            Ok(Message::Announced(announcements)) if server.is_some() => {
                self.on_announced(now, &announcements);
            }
            _ => self.rejected_messages += 1,
        }
    }

    fn on_lease_request(&mut self, now: Micros, from: SocketAddrV4, request: &WriteLeaseRequest) {
        let Some(server) = &mut self.local_server else { return };
        let id = server.id();
        if let Some(grant) = server.on_request(now, from, request) {
            self.send(from, &Message::LeaseGrant(id, grant));
        }
    }

    fn on_announced(&mut self, now: Micros, announcements: &[AnnouncementWithResponse]) {
        for (announcement, bytes) in announcements {
            if self.responses.insert(bytes) == Some(announcement.entry.response) {
                self.cache.on_announcement(now, announcement);
            }
        }
    }

    /// Returns whether this process is a lease server and `address` belongs to one of its holders.
    fn is_local_holder(&self, address: SocketAddrV4) -> bool {
        self.local_server.as_ref().is_some_and(|server| server.is_holder(address))
    }

    /// Removes and returns the datagrams to send, each with its destination.
    pub fn take_datagrams(&mut self) -> VecDeque<(SocketAddrV4, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    fn send_to_holders(&mut self, message: &Message) {
        let holders = self.local_server.as_ref().map(LocalServer::holder_addresses).unwrap_or_default();
        for holder in holders {
            self.send(holder, message);
        }
    }

    fn send(&mut self, to: SocketAddrV4, message: &Message) {
        match message.encode() {
            Some(bytes) if self.outgoing.len() < MAX_OUTGOING => self.outgoing.push_back((to, bytes)),
            _ => self.dropped_messages += 1,
        }
    }

    /// Returns the counters of the cache.
    pub fn stats(&self) -> Stats {
        self.cache.stats
    }

    /// Returns the newest position to which an entry can advance.
    pub fn horizon(&self) -> Option<Micros> {
        self.cache.closed_timestamps().horizon()
    }
}

fn are_all_from_server(seals: &[SealedSlot], server: Option<usize>) -> bool {
    seals.iter().all(|seal| server == Some(seal.server as usize))
}
