//! The responses of members to reads of missing keys. Most of them are alike, so each is kept once.

use crate::KeyHasher;
use std::collections::HashMap;
use std::rc::Rc;

/// The bound on responses; entries with another response are not cached.
pub const MAX_RESPONSES: usize = 1_024;
/// The bound on one response, in bytes; an entry with a longer one is not cached.
pub const MAX_RESPONSE_BYTES: usize = 512;

/// The responses by their hash.
pub(super) struct ResponseTable {
    hasher: KeyHasher,
    responses: HashMap<u32, Rc<[u8]>>,
}

impl ResponseTable {
    pub(super) fn new(hasher: KeyHasher) -> ResponseTable {
        ResponseTable { hasher, responses: HashMap::new() }
    }

    /// The response of a hash.
    pub(super) fn get(&self, hash: u32) -> Option<&Rc<[u8]>> {
        self.responses.get(&hash)
    }

    /// Keeps a response. Returns its hash; `None` if there is no room for it, or another response has its hash.
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
