//! CancelKeys of connections, and the cancel requests that name them.

use crate::client_listener::ClientListener;
use crate::ProxyEvent;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use wharfplank_protocol::client_session::CancelKey;

/// Draws keys. Each ends with its connection, which alone holds it.
#[derive(Default)]
pub(crate) struct CancelKeys {
    /// Keyed by the operating system, and never told: who knows some secrets cannot reckon others.
    secrets: RandomState,
}

impl CancelKeys {
    /// The key of the connection with this number: a positive number, as a process has, and a secret that is not zero.
    pub(crate) fn of(&self, number: u64) -> CancelKey {
        let process = (number % i32::MAX as u64) as u32 + 1;
        CancelKey { process_id: process, secret: (self.secrets.hash_one(number) as u32).max(1) }
    }
}

impl ClientListener {
    /// ConnectionEndObserver what is open on the connection that the key names, if it names one: each request is answered in its place,
    /// and no attempt of it begins.
    pub(super) async fn cancel(&self, key: CancelKey) {
        let named = self.peers.borrow().values().find(|peer| peer.key == key).cloned();
        let Some(peer) = named else { return };
        for ticket in peer.lane.cancel() {
            let _ = self.events.send(ProxyEvent::RequestCancelled(ticket)).await;
        }
    }
}
