//! The states and actions of the model.

use wharfplank_negative_cache::{
    ClosedTimestamps, KeyHash, Micros, NegativeCacheConfig, PendingWrites, SealedSlot, WriteId,
    WriteLeaseGrant, WriteLeaseRequest, WriteLeaseServer, WriteLeases,
};

pub const KEY: KeyHash = KeyHash(1);
/// The step of time, which is half a slot.
pub const STEP: Micros = 4;

pub fn config() -> NegativeCacheConfig {
    NegativeCacheConfig {
        slot_length: 2 * STEP,
        max_clock_skew: 2,
        lease_duration: 3 * STEP,
        renewal_interval: 0,
        max_commit_delay: STEP,
        ..NegativeCacheConfig::default()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum InFlight {
    LeaseRequest(usize, usize, WriteLeaseRequest),
    LeaseGrant(usize, usize, WriteLeaseGrant),
    /// A write on its way to the primary: its proxy, its id, and when its first byte was sent.
    Write(usize, WriteId, Micros),
    /// The response to a write.
    WriteAck(usize, WriteId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Proxy {
    /// The offset of the proxy's clock from the true time.
    pub clock_offset: Micros,
    pub alive: bool,
    pub writes: PendingWrites,
    pub leases: WriteLeases,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: Micros,
    /// The offset of the primary's clock, which is the opposite of the first proxy's.
    pub primary_clock_offset: Micros,
    pub servers: Vec<WriteLeaseServer>,
    pub proxies: Vec<Proxy>,
    pub in_flight: Vec<InFlight>,
    pub commits: Vec<Micros>,
    pub seals: Vec<SealedSlot>,
    pub steps: u32,
    pub requests: u32,
    pub writes: u32,
    pub faults: u32,
    pub kills: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Step,
    SendRequest(usize, usize),
    Write(usize),
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    Kill(usize),
    RestartServer(usize),
}

#[derive(Clone)]
pub struct Bounds {
    pub proxies: usize,
    pub servers: usize,
    pub steps: u32,
    pub requests: u32,
    pub writes: u32,
    pub faults: u32,
    pub kills: u32,
}

impl State {
    pub fn deliver(&mut self, in_flight: InFlight) {
        match in_flight {
            InFlight::LeaseRequest(proxy, server, request) => {
                let grant = self.servers[server].on_request(self.now, &request);
                self.in_flight.extend(grant.map(|grant| InFlight::LeaseGrant(proxy, server, grant)));
            }
            InFlight::LeaseGrant(proxy, server, grant) => self.proxies[proxy].leases.on_grant(server, &grant),
            InFlight::Write(proxy, write, _) => {
                self.commits.push(self.now + self.primary_clock_offset);
                self.in_flight.push(InFlight::WriteAck(proxy, write));
            }
            InFlight::WriteAck(proxy, write) => {
                let p = &mut self.proxies[proxy];
                p.writes.on_answered(self.now + p.clock_offset, write);
            }
        }
    }

    /// Returns whether no entry can cross a commit of its key, including commits after a slot was sealed.
    pub fn crosses_no_commit(&self) -> bool {
        let config = config();
        let mut closed = ClosedTimestamps::new(config.clone(), self.servers.len(), self.now);
        self.seals.iter().for_each(|seal| {
            closed.apply(self.now, seal);
        });
        let from = self.commits.iter().min().map_or(self.now, |c| c - 2 * config.slot_length);
        (from..=self.now).all(|position| {
            let to = closed.advance_position(position, KEY, KeyHash(0));
            !self.commits.iter().any(|commit| position < *commit && *commit <= to)
        })
    }

    /// Returns whether an entry can cross a slot in which a holder had a lease.
    pub fn can_advance(&self) -> bool {
        let last = self.seals.iter().map(|s| s.slot).max();
        last.is_some_and(|slot| {
            self.servers.iter().any(|server| server.holder_count() > 0)
                && (0..self.servers.len())
                    .all(|index| self.seals.iter().any(|s| s.server == index as u32 && s.slot == slot))
        })
    }
}
