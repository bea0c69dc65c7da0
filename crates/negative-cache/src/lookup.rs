//! The input and the result of a lookup: the statement, the required freshness and the outcome.

use crate::{KeyHash, KeyHasher, Micros, StatementHash};

/// The freshness that a read requires of the state that answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any state.
    Any,
    /// A state that is at most this old.
    MaxStaleness(Micros),
    /// A state that contains every commit up to the newest one that the read's session has made or seen;
    /// `None` if that position is unknown.
    Session(Option<Micros>),
    /// A state that contains every write made before the read arrived.
    Latest,
}

/// A statement and the single key that it reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The statement.
    pub statement: StatementHash,
    /// The key, hashed as in writes.
    pub key: KeyHash,
    /// The hash that stands for all keys of the group.
    pub whole_group: KeyHash,
    /// The current primary of the group, as a number on which all proxies agree: a hash of the member and its
    /// start time. Entries recorded under another primary are not used.
    pub primary: u32,
}

impl Lookup {
    /// Creates the lookup of a statement that names a single key. `statement` is given without its leading
    /// comment.
    pub fn new(hasher: &KeyHasher, group: u64, statement: &[u8], key: &[u8], primary: u32) -> Lookup {
        Lookup {
            statement: hasher.statement(group, statement),
            key: hasher.key(group, key),
            whole_group: hasher.whole_group(group),
            primary,
        }
    }
}

/// The result of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The key is known to be missing.
    KnownMissing {
        /// The key is missing in a state that contains every commit up to this position.
        position: Micros,
        /// The hash of the member's response.
        response: u32,
    },
    /// The read must be sent to a member.
    Miss(MissReason),
}

/// The reason why a lookup found no usable entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissReason {
    /// The read needs the latest state, which only a member has.
    LatestRequired,
    /// The position of the session is unknown.
    SessionPositionUnknown,
    /// There is no entry for the statement.
    NotCached,
    /// The primary of the group has changed since the entry was recorded.
    PrimaryChanged,
    /// The entry has expired.
    Expired,
    /// The entry is too old, or its key may have been written since.
    TooOld {
        /// The position that the read needs.
        needed: Micros,
        /// The position of the entry.
        known: Micros,
    },
}
