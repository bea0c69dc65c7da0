//! Cancel keys of connections, and the cancel requests that name them.

use crate::client_listener::ClientListener;
use crate::ProxyEvent;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use wharfplank_protocol::client_session::CancelKey;

/// Draws cancel keys. A key is valid as long as its connection, which alone knows it.
#[derive(Default)]
pub(crate) struct CancelKeys {
    /// Seeded by the operating system, and never disclosed: some secrets do not reveal others.
    hasher: RandomState,
}

impl CancelKeys {
    /// The key of the connection with this number: a positive process number, and a secret that is not zero.
    pub(crate) fn key_of(&self, number: u64) -> CancelKey {
        let process = (number % i32::MAX as u64) as u32 + 1;
        let secret = (self.hasher.hash_one(number) as u32).max(1);
        CancelKey { process_id: process, secret }
    }
}

impl ClientListener {
    /// Cancels the open requests of the connection that the key names, if it names one: each is answered in its
    /// place, and no attempt of it begins.
    pub(super) async fn cancel(&self, key: CancelKey) {
        let Some(state) = self.connection_with_key(key) else { return };
        for number in state.response_writer.cancel() {
            let _ = self.events.send(ProxyEvent::RequestCancelled(number)).await;
        }
    }
}
