//! The claims that a proxy has registered, its own and those of its peers.

use super::ClaimId;
use crate::key::Key;
use crate::Micros;
use std::collections::{BTreeSet, HashMap};

/// The maximum number of registered claims. Beyond it the oldest one is evicted.
pub const MAX_REGISTERED_CLAIMS: usize = 16_384;

/// A registered claim.
#[derive(Clone, Copy, Debug)]
struct RegisteredClaim {
    claim: ClaimId,
    registered_at: Micros,
}

/// A bounded table with at most one claim for each write.
#[derive(Debug)]
pub struct ClaimRegistry {
    claims: HashMap<u64, RegisteredClaim>,
    /// Time of registration and write, oldest first.
    by_age: BTreeSet<(Micros, u64)>,
    max_claims: usize,
    /// The number of claims evicted before their time to live was over.
    pub evicted: u64,
}

impl ClaimRegistry {
    /// Creates an empty registry for at most `max_claims` claims, or one if that is 0.
    pub fn new(max_claims: usize) -> ClaimRegistry {
        ClaimRegistry {
            claims: HashMap::new(),
            by_age: BTreeSet::new(),
            max_claims: max_claims.max(1),
            evicted: 0,
        }
    }

    /// Registers a claim unless another one holds the write. Returns whether the claim holds it now.
    ///
    /// A later claim of the same process replaces an earlier one: a process releases a claim before it makes
    /// another one for the same write, and the release may have been lost.
    pub fn register(&mut self, now: Micros, write: u64, claim: ClaimId) -> bool {
        let holder = self.claims.get(&write).map(|registered| registered.claim);
        if holder.is_some_and(|holder| !claim.is_same_or_replaces(holder)) {
            return false;
        }
        self.remove(write);
        self.claims.insert(write, RegisteredClaim { claim, registered_at: now });
        self.by_age.insert((now, write));
        if self.claims.len() > self.max_claims {
            self.evict_oldest();
        }
        true
    }

    /// Returns whether a claim other than this one holds the write.
    pub fn is_held_by_other(&self, write: u64, claim: ClaimId) -> bool {
        self.claims.get(&write).is_some_and(|registered| registered.claim != claim)
    }

    /// Releases a write if this claim holds it.
    pub fn release(&mut self, write: u64, claim: ClaimId) {
        if self.claims.get(&write).is_some_and(|registered| registered.claim == claim) {
            self.remove(write);
        }
    }

    /// Removes the claims whose time to live is over.
    pub fn expire(&mut self, now: Micros) {
        let oldest_valid = now - Key::WriteOutcome(0).time_to_live();
        while let Some((_, write)) = self.by_age.first().copied().filter(|(at, _)| *at < oldest_valid) {
            self.remove(write);
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, write)) = self.by_age.first().copied() {
            self.remove(write);
            self.evicted += 1;
        }
    }

    fn remove(&mut self, write: u64) {
        if let Some(removed) = self.claims.remove(&write) {
            self.by_age.remove(&(removed.registered_at, write));
        }
    }

    /// Returns the number of registered claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is registered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}
