//! The write leases of one proxy. The proxy may write while it holds an active lease from any server.

use crate::{Micros, NegativeCacheConfig, PendingWrites, Slot, WriteLeaseGrant, WriteLeaseRequest};
use std::collections::BTreeMap;

/// Maximum number of unanswered requests tracked per server. A grant for an older request does not extend the
/// lease.
const MAX_OPEN_REQUESTS: usize = 16;

/// A holder's state regarding one lease server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ServerState {
    last_sequence: u64,
    requested_at: Micros,
    /// The time at which each unanswered request was sent, by its sequence number.
    open_requests: BTreeMap<u64, Micros>,
    expires_at: Micros,
    /// The server has received all closed slots up to this one.
    acknowledged: Slot,
}

impl Default for ServerState {
    fn default() -> Self {
        // Half of the minimum values, so that differences do not overflow.
        ServerState {
            last_sequence: 0,
            requested_at: Micros::MIN / 2,
            open_requests: BTreeMap::new(),
            expires_at: Micros::MIN / 2,
            acknowledged: Slot::MIN / 2,
        }
    }
}

/// The write leases that one proxy holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WriteLeases {
    holder: u64,
    config: NegativeCacheConfig,
    servers: Vec<ServerState>,
    is_shut_down: bool,
}

impl WriteLeases {
    /// Creates the state of a holder without a lease. `holder` must be unique among all processes, past and
    /// present; `servers` is the number of lease servers.
    pub fn new(holder: u64, config: NegativeCacheConfig, servers: usize) -> WriteLeases {
        WriteLeases { holder, config, servers: vec![ServerState::default(); servers], is_shut_down: false }
    }

    /// Returns whether the first byte of a write may be sent now. Must be checked after
    /// [`PendingWrites::begin`] and immediately before sending.
    pub fn can_write(&self, now: Micros) -> bool {
        !self.is_shut_down && self.active_count(now) > 0
    }

    /// Returns when the last lease expires by the local clock. The last byte of a write must be sent by then.
    /// Returns `None` after shutdown and if there are no servers.
    pub fn expires_at(&self) -> Option<Micros> {
        if self.is_shut_down {
            return None;
        }
        self.servers.iter().map(|server| server.expires_at).max()
    }

    /// Creates the requests that are due, each with the index of its server.
    pub fn take_due_requests(
        &mut self,
        now: Micros,
        writes: &PendingWrites,
    ) -> Vec<(usize, WriteLeaseRequest)> {
        let final_slot = if self.is_shut_down { writes.last_commit_slot() } else { None };
        let mut requests = Vec::new();
        for (index, server) in self.servers.iter_mut().enumerate() {
            if now - server.requested_at < self.config.renewal_interval {
                continue;
            }
            server.requested_at = now;
            server.last_sequence += 1;
            if server.open_requests.len() >= MAX_OPEN_REQUESTS {
                server.open_requests.pop_first();
            }
            server.open_requests.insert(server.last_sequence, now);
            let request = WriteLeaseRequest {
                holder: self.holder,
                sequence: server.last_sequence,
                closed_slots: writes.closed_slots_after(server.acknowledged),
                final_slot,
            };
            requests.push((index, request));
        }
        requests
    }

    /// Handles a grant from a server.
    pub fn on_grant(&mut self, server: usize, grant: &WriteLeaseGrant) {
        if grant.holder != self.holder {
            return;
        }
        let Some(server) = self.servers.get_mut(server) else { return };
        server.acknowledged = server.acknowledged.max(grant.acknowledged);
        let Some(sent_at) = server.open_requests.remove(&grant.sequence) else { return };
        let expires_at = sent_at + self.config.safe_lease_duration();
        server.expires_at = server.expires_at.max(expires_at);
    }

    /// Begins a graceful shutdown. No further write may begin, and the next requests tell the servers after
    /// which slot they need not wait for this process.
    pub fn shut_down(&mut self) {
        self.is_shut_down = true;
    }

    /// Returns the number of servers whose lease is active.
    pub fn active_count(&self, now: Micros) -> usize {
        self.servers.iter().filter(|server| now < server.expires_at).count()
    }
}
