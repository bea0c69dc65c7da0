//! The part of a process that is a lease server: the server, the addresses of its holders, and the seals it sends them.

use super::message::Message;
use crate::{
    Micros, NegativeCacheConfig, SealedSlot, WriteLeaseGrant, WriteLeaseRequest, WriteLeaseServer,
    MAX_HOLDERS,
};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How often each seal is sent: a lost one is a gap that no entry crosses.
const SEAL_TRANSMISSIONS: u32 = 4;
/// The bound on seals in one message.
const MAX_SEALS_PER_MESSAGE: usize = 32;
/// After so many lease durations without a request, a holder is sent nothing any more.
const HOLDER_TIMEOUT_LEASES: i64 = 4;

struct OutgoingSeal {
    seal: SealedSlot,
    transmissions_left: u32,
}

/// A lease server with its holders' addresses.
pub(super) struct LocalServer {
    server: WriteLeaseServer,
    holder_timeout: Micros,
    /// When each holder last sent a request.
    holders: BTreeMap<SocketAddrV4, Micros>,
    outgoing_seals: Vec<OutgoingSeal>,
}

impl LocalServer {
    pub(super) fn new(id: u32, config: NegativeCacheConfig, now: Micros) -> LocalServer {
        LocalServer {
            holder_timeout: HOLDER_TIMEOUT_LEASES * config.lease_duration,
            server: WriteLeaseServer::new(id, config, now),
            holders: BTreeMap::new(),
            outgoing_seals: Vec::new(),
        }
    }

    pub(super) fn id(&self) -> u32 {
        self.server.id()
    }

    pub(super) fn holder_addresses(&self) -> Vec<SocketAddrV4> {
        self.holders.keys().copied().collect()
    }

    pub(super) fn is_holder(&self, address: SocketAddrV4) -> bool {
        self.holders.contains_key(&address)
    }

    /// Handles a holder's request, and remembers the holder's address.
    pub(super) fn on_request(
        &mut self,
        now: Micros,
        from: SocketAddrV4,
        request: &WriteLeaseRequest,
    ) -> Option<WriteLeaseGrant> {
        let grant = self.server.on_request(now, request);
        if self.holders.len() < MAX_HOLDERS || self.is_holder(from) {
            self.holders.insert(from, now);
        }
        grant
    }

    /// Seals slots, and returns the messages for all holders: those with the new seals, and with older ones again.
    pub(super) fn seal(&mut self, now: Micros) -> Vec<Message> {
        let timeout = self.holder_timeout;
        self.holders.retain(|_, requested_at| now - *requested_at <= timeout);
        let seals = self.server.seal(now);
        let seals =
            seals.into_iter().map(|seal| OutgoingSeal { seal, transmissions_left: SEAL_TRANSMISSIONS });
        self.outgoing_seals.extend(seals);
        let messages = self.seal_messages();
        for outgoing in &mut self.outgoing_seals {
            outgoing.transmissions_left -= 1;
        }
        self.outgoing_seals.retain(|outgoing| outgoing.transmissions_left > 0);
        messages
    }

    fn seal_messages(&self) -> Vec<Message> {
        let messages = self.seal_messages_of(MAX_SEALS_PER_MESSAGE);
        if messages.iter().all(|message| message.encode().is_some()) {
            return messages;
        }
        // They are too large to share a message.
        self.seal_messages_of(1)
    }

    fn seal_messages_of(&self, seals_per_message: usize) -> Vec<Message> {
        self.outgoing_seals
            .chunks(seals_per_message)
            .map(|chunk| Message::SealedSlots(chunk.iter().map(|outgoing| outgoing.seal.clone()).collect()))
            .collect()
    }
}
