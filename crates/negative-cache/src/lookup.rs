//! What a read looks up, how new the answer must be, and the result.

use crate::{KeyHash, KeyHasher, Micros, StatementHash};

/// How new the state must be that answers a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any state will do.
    Any,
    /// A state at most this old.
    MaxStaleness(Micros),
    /// A state with every commit up to the newest one that the read's session has made or seen; `None`: not known.
    Session(Option<Micros>),
    /// A state with every write made before the read arrived.
    Latest,
}

/// A statement, and the one key that it asks for or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The statement.
    pub statement: StatementHash,
    /// The key, as writes name it.
    pub key: KeyHash,
    /// All keys of the group.
    pub whole_group: KeyHash,
    /// The primary that the group has now, by a number on which all proxies agree: a hash of the member and its launch.
    /// Entries of another primary are not used.
    pub primary: u32,
}

impl Lookup {
    /// Creates the look-up of a statement, without its leading comment, that names one key.
    pub fn new(hasher: &KeyHasher, group: u64, statement: &[u8], key: &[u8], primary: u32) -> Lookup {
        Lookup {
            statement: hasher.statement(group, statement),
            key: hasher.key(group, key),
            whole_group: hasher.whole_group(group),
            primary,
        }
    }
}

/// The result of a look-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// The key is known to be missing.
    KnownMissing {
        /// The state that this is known of holds every commit up to this position.
        position: Micros,
        /// The hash of the member's response.
        response: u32,
    },
    /// A member must be asked.
    Miss(MissReason),
}

/// Why a look-up found no usable entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissReason {
    /// Only a member can answer a read that needs the latest state.
    LatestRequired,
    /// The session's position is not known.
    SessionPositionUnknown,
    /// There is no entry for the statement.
    NotCached,
    /// The group has another primary than when the entry was made.
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
