//! A rollout as replicated state: any proxy that has a copy can lead it, and copies that differ can be
//! merged.

use super::waves::doubling_waves;
use super::{HaltReason, Phase, PhaseRevision, UpgradeState};
use crate::{CanaryAnalysis, CanaryCounts, NodeId, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of proxies whose counts are stored.
const MAX_COUNTING_PROXIES: usize = 1024;

/// The identity of a rollout: when it was started, by the wall clock of the proxy that started it, and
/// that proxy's rank. Of two rollouts the one with the lower id has precedence. Nothing else depends on
/// the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RolloutId {
    /// The Unix time of the start in milliseconds.
    pub started_ms: u64,
    /// The rank of the proxy that started it.
    pub started_by: u64,
}

/// A rollout. The encoding is positional: the order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The identity of the rollout.
    pub id: RolloutId,
    /// The version that the members are to run.
    pub target: Version,
    /// The version that the members ran before, and run again after a rollback.
    pub previous: Version,
    /// The rollouts that were finished where and when this one was started, to which it need not yield.
    pub finished_before: BTreeSet<RolloutId>,
    /// The members of each wave: 1, 2, 4 and so on. They never change.
    pub waves: Vec<Vec<NodeId>>,
    /// The newest change of its phase.
    pub phase_revision: PhaseRevision,
    /// The state of each member. A member without an entry is pending.
    pub progress: BTreeMap<NodeId, UpgradeState>,
    /// Each proxy's counts at the upgraded members and at the others since the rollout began.
    pub counts: BTreeMap<u64, CanaryCounts>,
    /// The sequential test after its newest evaluation.
    pub analysis: CanaryAnalysis,
}

impl Rollout {
    /// Creates a rollout of the members, in this order, in waves that double in size. `budget` members
    /// may be out of service at the same time.
    pub fn new(
        id: RolloutId,
        target: Version,
        previous: Version,
        members: &[NodeId],
        budget: usize,
    ) -> Rollout {
        Rollout {
            id,
            target,
            previous,
            finished_before: BTreeSet::new(),
            waves: doubling_waves(members, budget),
            phase_revision: PhaseRevision { number: 0, phase: Phase::Forward },
            progress: BTreeMap::new(),
            counts: BTreeMap::new(),
            analysis: CanaryAnalysis::default(),
        }
    }

    /// Merges another copy into this one, field by field. Merging is commutative, associative and idempotent.
    pub fn merge(&mut self, other: &Rollout) {
        self.phase_revision = self.phase_revision.max(other.phase_revision);
        for (id, state) in &other.progress {
            self.advance(*id, *state);
        }
        for (proxy, counts) in &other.counts {
            self.record_counts(*proxy, counts);
        }
        self.analysis.merge(&other.analysis);
    }

    /// Records a proxy's totals, which never decrease.
    pub fn record_counts(&mut self, proxy: u64, counts: &CanaryCounts) {
        if self.counts.len() < MAX_COUNTING_PROXIES || self.counts.contains_key(&proxy) {
            self.counts.entry(proxy).or_default().merge(counts);
        }
    }

    /// Returns the totals over all proxies.
    pub fn total_counts(&self) -> CanaryCounts {
        self.counts.values().fold(CanaryCounts::default(), |sum, counts| sum.plus(counts))
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase_revision.phase
    }

    /// Returns the state of a member.
    pub fn state_of(&self, id: NodeId) -> UpgradeState {
        self.progress.get(&id).copied().unwrap_or(UpgradeState::Pending)
    }

    /// Advances a member to a later state. Returns whether it advanced; an earlier state has no effect.
    pub fn advance(&mut self, id: NodeId, state: UpgradeState) -> bool {
        let advances = state > self.state_of(id) && self.members().any(|member| *member == id);
        if advances {
            self.progress.insert(id, state);
        }
        advances
    }

    /// Changes the phase. Returns whether it changed, which it can't once the rollout is rolling back.
    pub fn set_phase(&mut self, phase: Phase) -> bool {
        let changes = !matches!(self.phase(), Phase::RollingBack(_)) && self.phase() != phase;
        if changes {
            self.phase_revision = PhaseRevision { number: self.phase_revision.number + 1, phase };
        }
        changes
    }

    /// Returns the version to which members return in a rollback.
    pub fn rollback_version(&self) -> Version {
        match self.phase() {
            Phase::RollingBack(HaltReason::OtherRollout(version)) => version,
            _ => self.previous,
        }
    }

    /// Returns the index of the first wave with members that are not upgraded yet.
    pub fn current_wave(&self) -> usize {
        let is_upgraded = |id: &NodeId| matches!(self.state_of(*id), UpgradeState::Upgraded(_));
        self.waves.iter().position(|wave| !wave.iter().all(is_upgraded)).unwrap_or(self.waves.len())
    }

    /// Returns whether the rollout is complete: all members are upgraded, or all members that it touched
    /// are rolled back.
    pub fn is_finished(&self) -> bool {
        match self.phase() {
            Phase::Forward => self.current_wave() == self.waves.len(),
            Phase::Halted(_) => false,
            Phase::RollingBack(_) => self.progress.values().all(|state| state.is_untouched()),
        }
    }

    /// Returns all members in the order of the waves.
    pub fn members(&self) -> impl DoubleEndedIterator<Item = &NodeId> {
        self.waves.iter().flatten()
    }

    /// Returns the members that run or may run the new version, with the most recently upgraded first.
    pub fn touched_members(&self) -> impl Iterator<Item = (NodeId, UpgradeState)> + '_ {
        let newest_first = self.members().rev();
        newest_first.map(|id| (*id, self.state_of(*id))).filter(|(_, state)| !state.is_untouched())
    }
}
