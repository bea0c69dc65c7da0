//! The tallies of a release at one proxy: what its attempts came to, by whether the member was released.

use crate::{Id, Plan, PlanId, Step, Tally, Trial, View};
use std::collections::BTreeMap;

/// What is counted so far.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    /// Each member's sums as they were counted last.
    last: BTreeMap<Id, Trial>,
    tallies: BTreeMap<PlanId, Tally>,
}

impl Sums {
    /// Counts what came since the last view. A member on its way counts for neither side: its failures are those of
    /// going out and coming back. Gives the new tally of each release that is not over.
    pub fn count<'a>(
        &mut self,
        rank: u64,
        view: &View,
        plans: impl Iterator<Item = &'a Plan>,
    ) -> Vec<(PlanId, Tally)> {
        let mut new = Vec::new();
        for (id, look) in &view.members {
            let last = self.last.insert(*id, look.trial).unwrap_or_default();
            new.push((*id, look.launch, look.trial.since(&last)));
        }
        self.last.retain(|id, _| view.members.contains_key(id));
        let mut tallies = BTreeMap::new();
        for plan in plans.filter(|plan| !plan.over()) {
            // A process that starts anew goes on from what the one before it told.
            let known = || plan.tallies.get(&rank).copied().unwrap_or_default();
            let mut tally = self.tallies.get(&plan.id).copied().unwrap_or_else(known);
            for (id, launch, trial) in &new {
                match plan.step(*id) {
                    Step::Released(at) if *launch >= at => tally.released = tally.released.plus(trial),
                    Step::Waiting | Step::Undone => tally.others = tally.others.plus(trial),
                    _ => {}
                }
            }
            tallies.insert(plan.id, tally);
        }
        self.tallies = tallies;
        self.tallies.iter().map(|(plan, tally)| (*plan, *tally)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Look;

    fn view(answers: [u64; 3]) -> View {
        let look = |answers| Look {
            launch: 9,
            well: true,
            trial: Trial { answers, refused: answers / 10, late: 0 },
            ..Look::default()
        };
        View { at: 0, members: answers.into_iter().enumerate().map(|(id, a)| (id as Id, look(a))).collect() }
    }

    /// Guards against answers from before a release, of members on their way, or counted twice.
    #[test]
    fn each_answer_since_the_release_began_counts_once_on_its_side() {
        let id = PlanId { started_ms: 1, by: 1 };
        let mut plan = Plan::new(id, 7, 6, &[0, 1, 2], 1);
        plan.advance(0, Step::Released(9));
        plan.advance(1, Step::Ordered(9));
        let mut sums = Sums::default();
        sums.count(1, &view([1000, 1000, 1000]), std::iter::empty());
        let told = sums.count(1, &view([1010, 1020, 1040]), [&plan].into_iter());
        assert_eq!((told[0].1.released.answers, told[0].1.others.answers), (10, 40));
        assert_eq!((told[0].1.released.refused, told[0].1.others.refused), (1, 4));
        let told = sums.count(1, &view([1010, 1020, 1040]), [&plan].into_iter());
        assert_eq!((told[0].1.released.answers, told[0].1.others.answers), (10, 40), "counted twice");
        // Another process at the same rank goes on from what is told.
        plan.tallied(1, &told[0].1);
        let mut anew = Sums::default();
        anew.count(1, &view([5, 5, 5]), std::iter::empty());
        let told = anew.count(1, &view([6, 6, 6]), [&plan].into_iter());
        assert_eq!((told[0].1.released.answers, told[0].1.others.answers), (11, 41));
    }
}
