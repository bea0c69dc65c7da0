//! One proxy's counts for each rollout: the outcomes of its attempts, by whether the member was upgraded.

use super::{AttemptCounts, CanaryCounts};
use crate::{FleetView, Incarnation, NodeId, Rollout, RolloutId, UpgradeState};
use std::collections::BTreeMap;

/// The attempts at a member since the view before.
struct NewAttempts {
    member: NodeId,
    incarnation: Incarnation,
    attempts: AttemptCounts,
}

/// Attributes the attempts of a proxy to the rollouts that it knows.
#[derive(Clone, Debug, Default)]
pub struct AttemptCounter {
    /// Each member's counts in the view before.
    last: BTreeMap<NodeId, AttemptCounts>,
    counts: BTreeMap<RolloutId, CanaryCounts>,
}

impl AttemptCounter {
    /// Counts the attempts since the view before, and returns the new counts of each unfinished rollout. A member in
    /// transition counts for neither side: its failures are those of going out and coming back.
    pub fn count<'a>(
        &mut self,
        rank: u64,
        view: &FleetView,
        rollouts: impl Iterator<Item = &'a Rollout>,
    ) -> Vec<(RolloutId, CanaryCounts)> {
        let new = self.new_attempts(view);
        let mut counts = BTreeMap::new();
        for rollout in rollouts.filter(|rollout| !rollout.is_finished()) {
            // A process that has just started continues from the counts that the one before it published.
            let published = || rollout.counts.get(&rank).copied().unwrap_or_default();
            let before = self.counts.get(&rollout.id).copied().unwrap_or_else(published);
            counts.insert(rollout.id, attribute(rollout, before, &new));
        }
        self.counts = counts;
        self.counts.iter().map(|(rollout, counts)| (*rollout, *counts)).collect()
    }

    fn new_attempts(&mut self, view: &FleetView) -> Vec<NewAttempts> {
        let mut new = Vec::new();
        for (id, member) in &view.members {
            let last = self.last.insert(*id, member.attempts).unwrap_or_default();
            let attempts = member.attempts.since(&last);
            new.push(NewAttempts { member: *id, incarnation: member.incarnation, attempts });
        }
        self.last.retain(|id, _| view.members.contains_key(id));
        new
    }
}

/// Adds attempts to a rollout's counts, each to the side that its member is on.
fn attribute(rollout: &Rollout, mut counts: CanaryCounts, new: &[NewAttempts]) -> CanaryCounts {
    for NewAttempts { member, incarnation, attempts } in new {
        match rollout.state_of(*member) {
            UpgradeState::Upgraded(since) if *incarnation >= since => {
                counts.canary = counts.canary.plus(attempts);
            }
            UpgradeState::Pending | UpgradeState::RolledBack => {
                counts.baseline = counts.baseline.plus(attempts);
            }
            _ => {}
        }
    }
    counts
}
