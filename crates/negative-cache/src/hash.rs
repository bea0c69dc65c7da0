//! Keyed hashes: 128 bits for a statement, enough to identify it, and 32 bits for a key that a write touches,
//! where a collision only costs an additional read at a member.

use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher as _;

/// The hash of a statement and its group. Among a million of them, the probability of any collision is below
/// 2^-88.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StatementHash(pub u128);

/// The hash of a key that a write may touch, or the hash that stands for all keys of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub u32);

/// The domain of a hash, which separates the hash functions of different kinds of input.
#[derive(Clone, Copy)]
enum HashDomain {
    Statement = 0,
    Key = 1,
    Group = 2,
    Secret = 3,
    Response = 4,
}

/// A hasher keyed with the secret of a fleet. Without the secret, collisions cannot be constructed on
/// purpose.
#[derive(Clone)]
pub struct KeyHasher {
    secret: [u8; 16],
}

impl KeyHasher {
    /// Creates a hasher with a secret shared by all proxies of the fleet.
    pub fn new(secret: [u8; 16]) -> KeyHasher {
        KeyHasher { secret }
    }

    /// Creates a hasher with a secret derived from a passphrase shared by all proxies of the fleet.
    pub fn from_passphrase(passphrase: &str) -> KeyHasher {
        let secret = KeyHasher::new([0; 16]).hash(HashDomain::Secret, 0, passphrase.as_bytes());
        KeyHasher { secret: secret.to_le_bytes() }
    }

    /// Hashes a member's response.
    pub fn response(&self, bytes: &[u8]) -> u32 {
        self.hash(HashDomain::Response, 0, bytes) as u32
    }

    /// Hashes a statement to a group. `statement` is given without its leading comment.
    pub fn statement(&self, group: u64, statement: &[u8]) -> StatementHash {
        StatementHash(self.hash(HashDomain::Statement, group, statement))
    }

    /// Hashes a key of a group.
    pub fn key(&self, group: u64, key: &[u8]) -> KeyHash {
        KeyHash(self.hash(HashDomain::Key, group, key) as u32)
    }

    /// Returns the hash that stands for all keys of a group, used for writes whose keys are unknown.
    pub fn whole_group(&self, group: u64) -> KeyHash {
        KeyHash(self.hash(HashDomain::Group, group, &[]) as u32)
    }

    fn hash(&self, domain: HashDomain, group: u64, bytes: &[u8]) -> u128 {
        let mut hasher = SipHasher13::new_with_key(&self.secret);
        // The fields before the bytes have a fixed length, so different triples never produce the same input.
        hasher.write_u8(domain as u8);
        hasher.write_u64(group);
        hasher.write(bytes);
        hasher.finish128().as_u128()
    }
}
