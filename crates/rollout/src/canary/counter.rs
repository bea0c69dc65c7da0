//! The outcomes of one proxy's attempts for each rollout, divided by whether the member was upgraded.

use super::{AttemptCounts, CanaryCounts};
use crate::{FleetView, Incarnation, NodeId, Rollout, RolloutId, UpgradeState};
use std::collections::BTreeMap;

/// The attempts at a member since the previous view.
struct NewAttempts {
    member: NodeId,
    incarnation: Incarnation,
    attempts: AttemptCounts,
}

/// Attributes a proxy's attempts to the rollouts that it knows.
#[derive(Clone, Debug, Default)]
pub struct AttemptCounter {
    /// Each member's counts in the previous view.
    last: BTreeMap<NodeId, AttemptCounts>,
    counts: BTreeMap<RolloutId, CanaryCounts>,
}

impl AttemptCounter {
    /// Counts the attempts since the previous view, and returns the new counts of each unfinished
    /// rollout. A member that is being restarted counts for neither side, since its failures are caused
    /// by the restart.
    pub fn count<'a>(
        &mut self,
        rank: u64,
        view: &FleetView,
        rollouts: impl Iterator<Item = &'a Rollout>,
    ) -> Vec<(RolloutId, CanaryCounts)> {
        let new = self.new_attempts(view);
        let mut counts = BTreeMap::new();
        for rollout in rollouts.filter(|rollout| !rollout.is_finished()) {
            // A process that has just started continues from the counts that its predecessor published.
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

/// Adds attempts to a rollout's counts: those at upgraded members to the canary, those at the others to
/// the baseline.
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
