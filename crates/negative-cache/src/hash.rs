//! Keyed hashes: 128 bits for what is missing, which is as good as the key itself, and 32 bits for what was written,
//! where two keys that fall together cost a look-up and no more.

use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::hash::Hasher as _;

/// A statement to a group. Of a million of them the chance that any two are equal is under 2^-88.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

/// A key that a write may touch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark(pub u32);

/// Hashes with the fleet's secret: who does not know it cannot make two keys fall together on purpose.
#[derive(Clone)]
pub struct Hasher {
    secret: [u8; 16],
}

impl Hasher {
    /// With a secret that all proxies of the fleet have.
    pub fn new(secret: [u8; 16]) -> Hasher {
        Hasher { secret }
    }

    /// With a secret made of a text that all proxies of the fleet have.
    pub fn of(text: &str) -> Hasher {
        Hasher { secret: Hasher::new([0; 16]).hash(3, 0, text.as_bytes()).to_le_bytes() }
    }

    /// What a member answered.
    pub fn answer(&self, bytes: &[u8]) -> u32 {
        self.hash(4, 0, bytes) as u32
    }

    /// A statement to a group, without its comment.
    pub fn key(&self, group: u64, statement: &[u8]) -> Key {
        Key(self.hash(0, group, statement))
    }

    /// A key of a group that a write names, or a read asks for.
    pub fn mark(&self, group: u64, value: &[u8]) -> Mark {
        Mark(self.hash(1, group, value) as u32)
    }

    /// All keys of a group: the mark of a write whose keys cannot be told.
    pub fn whole(&self, group: u64) -> Mark {
        Mark(self.hash(2, group, &[]) as u32)
    }

    fn hash(&self, kind: u8, group: u64, bytes: &[u8]) -> u128 {
        let mut hasher = SipHasher13::new_with_key(&self.secret);
        // Of fixed length before the bytes: no two triples give the same input.
        hasher.write_u8(kind);
        hasher.write_u64(group);
        hasher.write(bytes);
        hasher.finish128().as_u128()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn kinds_groups_and_secrets_are_kept_apart() {
        let (one, two) = (Hasher::new([1; 16]), Hasher::new([2; 16]));
        assert_eq!(one.key(1, b"x"), one.key(1, b"x"));
        assert_ne!(one.key(1, b"x"), one.key(2, b"x"));
        assert_ne!(one.key(1, b"x"), two.key(1, b"x"));
        assert_ne!(one.mark(1, b""), one.whole(1));
        assert_ne!(one.key(1, b"x").0 as u32, one.mark(1, b"x").0);
    }
}
