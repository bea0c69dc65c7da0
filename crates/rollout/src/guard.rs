//! What halts a release, and what its driver says to the banks.

use crate::driver::{Action, Driver, Work};
use crate::{Ask, Course, Id, Launch, Micros, Plan, Reason, Return, Step};
use std::collections::BTreeMap;

impl Driver {
    /// Looks at the evidence, and at the released that have been away for long.
    pub(crate) fn watch(&self, now: Micros, plan: &mut Plan, work: &mut Work, actions: &mut Vec<Action>) {
        if plan.control.course != Course::Forward || now - work.looked_at < self.terms.look {
            return;
        }
        work.looked_at = now;
        plan.evidence.look(plan.wave(), &plan.tally());
        match plan.evidence.bad() {
            (true, _) => self.halt(plan, Reason::Refusals, actions),
            (_, true) => self.halt(plan, Reason::Late, actions),
            _ => {}
        }
        let released: Vec<Id> =
            plan.touched().filter(|(_, step)| matches!(step, Step::Released(_))).map(|(id, _)| id).collect();
        for id in released {
            if self.sights.get(&id).is_some_and(|sight| sight.sound) {
                work.out.remove(&id);
            } else {
                self.late(now, plan, work, id, actions);
            }
        }
    }

    /// Halts a release whose member is away for too long, or was sent too often.
    pub(crate) fn late(
        &self,
        now: Micros,
        plan: &mut Plan,
        work: &mut Work,
        id: Id,
        actions: &mut Vec<Action>,
    ) {
        let launch = self.sights.get(&id).map_or(0, |sight| sight.launch);
        let (since, tries, _) = *work.out.entry(id).or_insert((now, 0, launch));
        let forward = plan.control.course == Course::Forward;
        if forward && (now - since >= self.terms.ready_within || tries > self.terms.tries) {
            self.halt(plan, Reason::NotReady(id), actions);
        }
    }

    fn halt(&self, plan: &mut Plan, reason: Reason, actions: &mut Vec<Action>) {
        let courses = [Some(Course::Halted(reason)), self.terms.undo.then_some(Course::Back(reason))];
        for course in courses.into_iter().flatten() {
            if plan.turn(course) {
                actions.push(Action::Turned(course));
            }
        }
    }

    /// Hands over the groups of primaries that are to go, once none of their replicas is to go before them.
    pub(crate) fn hand_over(
        &self,
        now: Micros,
        wants: &[(Id, Launch)],
        work: &mut Work,
        actions: &mut Vec<Action>,
    ) {
        let group = |id: Id| self.roster.place(id).map(|place| place.group);
        for (id, launch) in wants {
            let primary = |id: &Id| self.sights.get(id).is_some_and(|sight| sight.primary);
            let kin_first =
                wants.iter().any(|(kin, _)| kin != id && group(*kin) == group(*id) && !primary(kin));
            let Some(at) = work.primaries.get_mut(id).filter(|_| primary(id) && !kin_first) else { continue };
            if now.saturating_sub(*at) >= self.terms.again {
                *at = now;
                actions.push(Action::HandOver(*id, *launch));
            }
        }
    }

    /// Gives back what the course has no use for any more, where nothing was ordered by it and nobody else knows it.
    pub(crate) fn give_back(&self, plan: &Plan, work: &mut Work, actions: &mut Vec<Action>) {
        let unused = |id: &Id| matches!(plan.step(*id), Step::Waiting | Step::Undone);
        let returnable = |id: &Id, bank: &u32, permit: &crate::Permit| {
            let idle =
                plan.control.course != Course::Forward || !plan.waves.iter().flatten().any(|m| m == id);
            (idle && unused(id) && !permit.shared).then_some((*id, *bank, permit.number))
        };
        let idle: Vec<_> = work
            .permits
            .iter()
            .filter(|(id, _)| !work.said_at.contains_key(id))
            .filter_map(|(id, (bank, permit))| returnable(id, bank, permit))
            .collect();
        actions.extend(work.return_again.drain(..).map(|(bank, back)| Action::Return(bank, back)));
        for (id, bank, number) in idle {
            work.permits.remove(&id);
            work.returned.insert(id, number);
            actions.push(Action::Return(bank, Return { id, number, holder: self.me }));
        }
    }

    /// Asks the banks: for what is wanted, and in any case what the release holds there.
    pub(crate) fn ask(
        &mut self,
        now: Micros,
        plan: &Plan,
        wants: &[(Id, Launch)],
        work: &mut Work,
        actions: &mut Vec<Action>,
    ) {
        for bank in 0..self.roster.banks() {
            let due = work.due.entry(bank).or_insert(now);
            if now < *due {
                continue;
            }
            let of = |id: Id| self.roster.place(id).map(|place| self.roster.bank_of(place.group));
            let mut wants: Vec<(Id, Launch)> =
                wants.iter().copied().filter(|(id, _)| of(*id) == Some(bank)).collect();
            if plan.control.course == Course::Forward {
                // Zones with the most left go first: a zone that is left alone has only its own allowance at the end.
                let zone = |id: Id| self.roster.place(id).map(|place| place.zone);
                let left = wants.iter().fold(BTreeMap::<_, usize>::new(), |mut left, (id, _)| {
                    *left.entry(zone(*id)).or_default() += 1;
                    left
                });
                wants.sort_by_key(|(id, _)| std::cmp::Reverse(left.get(&zone(*id)).copied()));
            }
            // Where nothing is wanted, what others left there is asked for seldom.
            *due = now + self.terms.again * if wants.is_empty() { 1 } else { 0 } + self.terms.again / 4;
            let number = self.asks.entry(bank).or_default();
            *number += 1;
            let control = plan.control.number;
            let roster = self.roster.digest();
            let ask = Ask { plan: plan.id, control, roster, holder: self.me, number: *number, wants };
            actions.push(Action::Ask(bank, ask));
        }
    }
}
