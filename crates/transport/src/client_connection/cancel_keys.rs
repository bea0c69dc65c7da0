//! Generation of cancel keys and handling of cancel requests.

use crate::client_listener::ClientListener;
use crate::ProxyEvent;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use wharfplank_protocol::client_session::CancelKey;

/// A generator of cancel keys. A key is valid for the lifetime of its connection and is sent only to that
/// client.
#[derive(Default)]
pub(crate) struct CancelKeys {
    /// Keyed with random data from the operating system that is never disclosed, so that known secrets do not
    /// reveal others.
    hasher: RandomState,
}

impl CancelKeys {
    /// Returns the key of the connection with this number: a positive process ID and a nonzero secret.
    pub(crate) fn key_of(&self, number: u64) -> CancelKey {
        let process = (number % i32::MAX as u64) as u32 + 1;
        let secret = (self.hasher.hash_one(number) as u32).max(1);
        CancelKey { process_id: process, secret }
    }
}

impl ClientListener {
    /// Cancels the open requests of the connection with this key, if there is one. Each request is answered
    /// in order, and no further attempt is started for it.
    pub(super) async fn cancel(&self, key: CancelKey) {
        let Some(state) = self.connection_with_key(key) else { return };
        for number in state.response_writer.cancel() {
            let _ = self.events.send(ProxyEvent::RequestCancelled(number)).await;
        }
    }
}
