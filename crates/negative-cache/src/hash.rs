//! Keyed hashes: 128 bits for a statement, which are as good as the statement itself, and 32 bits for a key that a write
//! touches, where a collision costs a look-up and no more.

use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher as _;

/// The hash of a statement to a group. Of a million of them the chance that any two collide is under 2^-88.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StatementHash(pub u128);

/// The hash of a key that a write may touch, or of all keys of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub u32);

/// What a hash is of. Each kind of input has a hash function of its own.
#[derive(Clone, Copy)]
enum Kind {
    Statement = 0,
    Key = 1,
    Group = 2,
    Secret = 3,
    Response = 4,
}

/// Hashes with the secret of a fleet: who does not know it cannot make two inputs collide on purpose.
#[derive(Clone)]
pub struct KeyHasher {
    secret: [u8; 16],
}

impl KeyHasher {
    /// Creates a hasher with a secret that all proxies of the fleet share.
    pub fn new(secret: [u8; 16]) -> KeyHasher {
        KeyHasher { secret }
    }

    /// Creates a hasher with a secret derived from a passphrase that all proxies of the fleet share.
    pub fn from_passphrase(passphrase: &str) -> KeyHasher {
        let secret = KeyHasher::new([0; 16]).hash(Kind::Secret, 0, passphrase.as_bytes());
        KeyHasher { secret: secret.to_le_bytes() }
    }

    /// The hash of a member's response.
    pub fn response(&self, bytes: &[u8]) -> u32 {
        self.hash(Kind::Response, 0, bytes) as u32
    }

    /// The hash of a statement to a group, without the statement's leading comment.
    pub fn statement(&self, group: u64, statement: &[u8]) -> StatementHash {
        StatementHash(self.hash(Kind::Statement, group, statement))
    }

    /// The hash of a key in a group.
    pub fn key(&self, group: u64, key: &[u8]) -> KeyHash {
        KeyHash(self.hash(Kind::Key, group, key) as u32)
    }

    /// The hash that stands for all keys of a group: a write whose keys are not known touches it.
    pub fn whole_group(&self, group: u64) -> KeyHash {
        KeyHash(self.hash(Kind::Group, group, &[]) as u32)
    }

    fn hash(&self, kind: Kind, group: u64, bytes: &[u8]) -> u128 {
        let mut hasher = SipHasher13::new_with_key(&self.secret);
        // The fields before the bytes are of fixed length, so no two triples give the same input.
        hasher.write_u8(kind as u8);
        hasher.write_u64(group);
        hasher.write(bytes);
        hasher.finish128().as_u128()
    }
}
