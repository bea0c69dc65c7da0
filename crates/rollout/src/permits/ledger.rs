//! The durable state of a permit server.

use crate::{NodeId, Permit, RolloutId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of rollouts whose phase revisions are stored. Beyond that the oldest is dropped.
const MAX_PHASE_REVISIONS: usize = 64;

/// A permit, and the rollout and process to which it was granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PermitGrant {
    pub(crate) rollout: RolloutId,
    pub(crate) holder: u64,
    pub(crate) permit: Permit,
}

/// The state that a permit server must not lose. It is on disk before a response that depends on it is
/// sent. The encoding is positional: the order of the fields is part of the file format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitLedger {
    last_sequence: u64,
    grants: BTreeMap<NodeId, PermitGrant>,
    phase_revisions: BTreeMap<RolloutId, u64>,
    /// The number of changes. The ledger is written whenever it has increased.
    pub revision: u64,
}

impl PermitLedger {
    /// Returns the permits that are held.
    pub fn permits(&self) -> impl Iterator<Item = Permit> + '_ {
        self.grants.values().map(|grant| grant.permit)
    }

    /// Returns whether a permit for a node is held.
    pub(crate) fn has_permit(&self, id: NodeId) -> bool {
        self.grants.contains_key(&id)
    }

    /// Returns the permit for a node, with its rollout and holder.
    pub(crate) fn grant(&self, id: NodeId) -> Option<&PermitGrant> {
        self.grants.get(&id)
    }

    /// Grants a permit with the next sequence number. If a permit for an earlier incarnation is still
    /// held, it is extended to this one and can't be returned, since the node was taken out of service
    /// under the earlier one.
    pub(crate) fn insert(&mut self, rollout: RolloutId, holder: u64, permit: NewPermit) {
        self.last_sequence += 1;
        self.revision += 1;
        let shared = self.has_permit(permit.id);
        let NewPermit { id, incarnation, only_if_down } = permit;
        let permit = Permit { id, incarnation, sequence: self.last_sequence, only_if_down, shared };
        self.grants.insert(id, PermitGrant { rollout, holder, permit });
    }

    /// Ends the permit for a node.
    pub(crate) fn remove(&mut self, id: NodeId) {
        if self.grants.remove(&id).is_some() {
            self.revision += 1;
        }
    }

    /// Returns all permits of a rollout to a process. Permits that were granted to another process are
    /// marked as shared, since this process now knows them.
    pub(crate) fn share_permits(&mut self, rollout: RolloutId, reader: u64) -> Vec<Permit> {
        let mut permits = Vec::new();
        for grant in self.grants.values_mut().filter(|grant| grant.rollout == rollout) {
            if grant.holder != reader && !grant.permit.shared {
                grant.permit.shared = true;
                self.revision += 1;
            }
            permits.push(grant.permit);
        }
        permits
    }

    /// Records the phase revision that a controller knows. Returns whether a newer one was known already.
    pub(crate) fn observe_phase_revision(&mut self, rollout: RolloutId, revision: u64) -> bool {
        let known = self.phase_revisions.entry(rollout).or_default();
        let is_stale = revision < *known;
        if revision > *known {
            *known = revision;
            self.revision += 1;
        }
        while self.phase_revisions.len() > MAX_PHASE_REVISIONS {
            self.phase_revisions.pop_first();
        }
        is_stale
    }
}

/// The node and incarnation for which a permit is granted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewPermit {
    pub(crate) id: NodeId,
    pub(crate) incarnation: crate::Incarnation,
    pub(crate) only_if_down: bool,
}
