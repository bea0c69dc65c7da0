//! The rollouts that a proxy knows.

use super::{HaltReason, Phase, Rollout, RolloutId};
use crate::{NodeId, Version};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The maximum number of rollouts that are stored. Beyond that the oldest finished one is dropped.
pub const MAX_ROLLOUTS: usize = 8;

/// The error that the table already holds [`MAX_ROLLOUTS`] rollouts, none of which is finished.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the maximum of {MAX_ROLLOUTS} unfinished rollouts is reached")]
pub struct TableFull;

/// The rollouts that a proxy knows, by id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutTable {
    rollouts: BTreeMap<RolloutId, Rollout>,
}

/// An unfinished rollout, its target version, and the members that it claims.
struct Claim {
    rollout: RolloutId,
    target: Version,
    members: BTreeSet<NodeId>,
}

impl RolloutTable {
    /// Adds a rollout that starts at this proxy.
    ///
    /// # Errors
    ///
    /// Returns an error if the table is full.
    pub fn start(&mut self, mut rollout: Rollout) -> Result<(), TableFull> {
        let finished = self.rollouts.values().filter(|known| known.is_finished()).map(|known| known.id);
        rollout.finished_before.extend(finished);
        self.merge(&rollout)
    }

    /// Merges another proxy's copy of a rollout.
    ///
    /// # Errors
    ///
    /// Returns an error if the table is full.
    pub fn merge(&mut self, rollout: &Rollout) -> Result<(), TableFull> {
        if let Some(known) = self.rollouts.get_mut(&rollout.id) {
            known.merge(rollout);
        } else {
            self.make_room()?;
            self.rollouts.insert(rollout.id, rollout.clone());
        }
        self.resolve_conflicts();
        Ok(())
    }

    fn make_room(&mut self) -> Result<(), TableFull> {
        if self.rollouts.len() < MAX_ROLLOUTS {
            return Ok(());
        }
        let finished = self.rollouts.values().find(|known| known.is_finished()).map(|known| known.id);
        self.rollouts.remove(&finished.ok_or(TableFull)?);
        Ok(())
    }

    /// Rolls back the younger of two unfinished rollouts that have members in common. Each proxy that
    /// knows both decides this on its own, with the same result.
    fn resolve_conflicts(&mut self) {
        let mut claims: Vec<Claim> = Vec::new();
        for rollout in self.rollouts.values_mut() {
            // A rollout that rolls back neither blocks another one nor yields again.
            if matches!(rollout.phase(), Phase::RollingBack(_)) || rollout.is_finished() {
                continue;
            }
            let members: BTreeSet<NodeId> = rollout.members().copied().collect();
            let conflicts = |claim: &&Claim| {
                !rollout.finished_before.contains(&claim.rollout) && !claim.members.is_disjoint(&members)
            };
            let older_target = claims.iter().find(conflicts).map(|claim| claim.target);
            if let Some(version) = older_target {
                rollout.set_phase(Phase::RollingBack(HaltReason::OtherRollout(version)));
            } else {
                claims.push(Claim { rollout: rollout.id, target: rollout.target, members });
            }
        }
    }

    /// Looks up a rollout.
    pub fn get(&self, id: RolloutId) -> Option<&Rollout> {
        self.rollouts.get(&id)
    }

    /// Looks up a rollout to change it.
    pub fn get_mut(&mut self, id: RolloutId) -> Option<&mut Rollout> {
        self.rollouts.get_mut(&id)
    }

    /// Returns all rollouts, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values()
    }

    /// Returns all rollouts for changes, the oldest first.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Rollout> {
        self.rollouts.values_mut()
    }
}
