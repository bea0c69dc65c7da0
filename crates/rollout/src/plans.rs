//! The releases that a proxy knows of.

use crate::{Course, Id, Plan, PlanId, Reason, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Releases kept at most; past that one that is over and the oldest goes.
pub const PLANS_MOST: usize = 8;

/// A proxy's releases.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plans {
    plans: BTreeMap<PlanId, Plan>,
}

impl Plans {
    /// A release that starts here. Whether there was room.
    pub fn start(&mut self, mut plan: Plan) -> bool {
        plan.after.extend(self.plans.values().filter(|known| known.over()).map(|known| known.id));
        self.merge(&plan)
    }

    /// Another proxy's copy of a release. Whether there was room.
    pub fn merge(&mut self, plan: &Plan) -> bool {
        if let Some(known) = self.plans.get_mut(&plan.id) {
            known.merge(plan);
        } else {
            let over = self.plans.values().find(|known| known.over()).map(|known| known.id);
            if self.plans.len() >= PLANS_MOST && over.map(|id| self.plans.remove(&id)).is_none() {
                return false;
            }
            self.plans.insert(plan.id, plan.clone());
        }
        self.settle();
        true
    }

    /// Of two releases that share members and are not over, the younger one goes back: each proxy that knows both
    /// says so by itself, with the same word.
    fn settle(&mut self) {
        let mut going: Vec<(PlanId, Version, BTreeSet<Id>)> = Vec::new();
        for plan in self.plans.values_mut() {
            // One that goes back neither stands in another's way nor gives way again.
            if matches!(plan.control.course, Course::Back(_)) || plan.over() {
                continue;
            }
            let ids: BTreeSet<Id> = plan.waves.iter().flatten().copied().collect();
            let first =
                going.iter().find(|(id, _, taken)| !plan.after.contains(id) && !taken.is_disjoint(&ids));
            if let Some(version) = first.map(|(_, version, _)| *version) {
                plan.turn(Course::Back(Reason::OtherRelease(version)));
            } else {
                going.push((plan.id, plan.target, ids));
            }
        }
    }

    /// One release.
    pub fn get(&self, id: PlanId) -> Option<&Plan> {
        self.plans.get(&id)
    }

    /// All of them, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values()
    }

    /// All of them, to go on with.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Plan> {
        self.plans.values_mut()
    }
}
