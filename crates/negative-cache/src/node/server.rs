//! The lease server of a process, with the addresses of its holders and the seals to send to them.

use super::message::Message;
use crate::{
    Micros, NegativeCacheConfig, SealedSlot, WriteLeaseGrant, WriteLeaseRequest, WriteLeaseServer,
    MAX_HOLDERS,
};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The number of times that each seal is sent. A seal that is lost every time leaves a gap that no entry can
/// cross.
const SEAL_TRANSMISSIONS: u32 = 4;
/// Maximum number of seals in one message.
const MAX_SEALS_PER_MESSAGE: usize = 32;
/// Number of lease durations without a request after which messages to a holder stop.
const HOLDER_TIMEOUT_LEASES: i64 = 4;

struct OutgoingSeal {
    seal: SealedSlot,
    transmissions_left: u32,
}

/// A lease server with the addresses of its holders.
pub(super) struct LocalServer {
    server: WriteLeaseServer,
    holder_timeout: Micros,
    /// The time of each holder's last request.
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

    /// Handles a request from a holder and records the holder's address.
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

    /// Seals slots and returns the messages for all holders, which contain the new seals and retransmissions
    /// of older ones.
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
        let messages = self.seal_messages_in_chunks(MAX_SEALS_PER_MESSAGE);
        if messages.iter().all(|message| message.encode().is_some()) {
            return messages;
        }
        // Some message is too large with several seals; send one seal per message.
        self.seal_messages_in_chunks(1)
    }

    fn seal_messages_in_chunks(&self, seals_per_message: usize) -> Vec<Message> {
        self.outgoing_seals
            .chunks(seals_per_message)
            .map(|chunk| Message::SealedSlots(chunk.iter().map(|outgoing| outgoing.seal.clone()).collect()))
            .collect()
    }
}
