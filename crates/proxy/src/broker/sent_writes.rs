//! The writes that this process has sent and that must not run twice.

use wharfplank_protocol::pipeline::RequestNumber;
use wharfplank_routing::{Class, ClassId, Idempotency, Micros};
use wharfplank_shared_state::{hash_name, ClaimId, ClaimRegistry, MAX_REGISTERED_CLAIMS};

/// A bounded table of the writes that were sent to a member, by the ids that their clients assigned. A write
/// stays in it, however its request ends, unless it was certainly not executed: its client may send it again,
/// on another connection and long after it has left.
pub(super) struct SentWrites {
    /// For each class, whether its requests must not be executed twice.
    not_idempotent: Vec<bool>,
    registry: ClaimRegistry,
}

impl SentWrites {
    pub(super) fn new(classes: &[Class]) -> Self {
        let not_idempotent = |class: &Class| class.idempotency == Idempotency::NotIdempotent;
        SentWrites {
            not_idempotent: classes.iter().map(not_idempotent).collect(),
            registry: ClaimRegistry::new(MAX_REGISTERED_CLAIMS),
        }
    }

    /// Records that the write of a request is sent, unless it may run twice.
    pub(super) fn insert(&mut self, now: Micros, class: ClassId, client_id: &str, number: RequestNumber) {
        self.registry.expire(now);
        if self.not_idempotent.get(class.0) == Some(&true) {
            self.registry.register(now, hash_name(client_id), claim(number));
        }
    }

    /// Removes the write of a request that was certainly not executed.
    pub(super) fn remove(&mut self, client_id: &str, number: RequestNumber) {
        self.registry.release(hash_name(client_id), claim(number));
    }

    /// Returns whether another request has sent the write with this id.
    pub(super) fn contains(&mut self, now: Micros, client_id: &str, number: RequestNumber) -> bool {
        self.registry.expire(now);
        self.registry.is_held_by_other(hash_name(client_id), claim(number))
    }
}

fn claim(number: RequestNumber) -> ClaimId {
    ClaimId { process: 0, request: number.0 }
}
