//! The responses of members to reads of missing keys. Most responses are identical, so each distinct one is
//! stored once.

use crate::KeyHasher;
use std::collections::HashMap;
use std::rc::Rc;

/// Maximum number of distinct responses. When it is reached, entries with a new response are not cached.
pub const MAX_RESPONSES: usize = 1_024;
/// Maximum size of a response in bytes. Entries with a longer response are not cached.
pub const MAX_RESPONSE_BYTES: usize = 512;

/// The responses, keyed by their hash.
pub(super) struct ResponseTable {
    hasher: KeyHasher,
    responses: HashMap<u32, Rc<[u8]>>,
}

impl ResponseTable {
    pub(super) fn new(hasher: KeyHasher) -> ResponseTable {
        ResponseTable { hasher, responses: HashMap::new() }
    }

    /// Returns the response with a hash.
    pub(super) fn get(&self, hash: u32) -> Option<&Rc<[u8]>> {
        self.responses.get(&hash)
    }

    /// Stores a response and returns its hash. Returns `None` if the table is full, the response is too long,
    /// or a different response has the same hash.
    pub(super) fn insert(&mut self, bytes: &[u8]) -> Option<u32> {
        let hash = self.hasher.response(bytes);
        if let Some(known) = self.responses.get(&hash) {
            return (**known == *bytes).then_some(hash);
        }
        if self.responses.len() >= MAX_RESPONSES || bytes.len() > MAX_RESPONSE_BYTES {
            return None;
        }
        self.responses.insert(hash, bytes.into());
        Some(hash)
    }
}
