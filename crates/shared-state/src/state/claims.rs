//! Claims of writes, on the datagrams of the shared state.

use super::query::is_in_doubt;
use super::SharedState;
use crate::anti_entropy::Message;
use crate::claims::{ClaimDecision, ClaimMessage, ClaimRegistry};
use crate::Micros;
use std::net::SocketAddrV4;

impl SharedState {
    /// Claims a write for a request of this process before the write is sent. See
    /// [`WriteClaims`](crate::WriteClaims).
    pub fn claim_write(&mut self, now: Micros, write: u64, request: u64) {
        let is_in_doubt = self.is_in_doubt(write);
        self.claims.claim(now, write, request, is_in_doubt);
    }

    /// Releases the claim of a request whose write was not executed.
    pub fn release_write(&mut self, now: Micros, write: u64, request: u64) {
        self.claims.release(now, write, request);
    }

    /// Takes the decisions on claims and releases since the last call, each with the number of its request.
    pub fn take_claim_decisions(&mut self) -> Vec<(u64, ClaimDecision)> {
        self.claims.take_decisions()
    }

    /// Returns the claims that are registered at this proxy.
    pub fn claim_registry(&self) -> &ClaimRegistry {
        self.claims.registry()
    }

    pub(super) fn on_claim_message(&mut self, now: Micros, from: SocketAddrV4, message: ClaimMessage) {
        let store = &self.store;
        self.claims.on_message(now, from, message, |write| is_in_doubt(store, write));
    }

    /// Queues the messages about claims. They are not charged to the budget of bytes, since a write waits for
    /// each, and there are a few for each write.
    pub(super) fn queue_claim_messages(&mut self) {
        for (to, message) in self.claims.take_messages() {
            let bytes = postcard::to_allocvec(&Message::Claim(message)).unwrap_or_default();
            self.queue_datagram(to, bytes);
        }
    }
}
