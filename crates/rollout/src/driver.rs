//! What the proxy that drives a release does next. All that another needs to go on is in the plan, at the banks and
//! seen at the members; what is kept here only spaces out what is said again.

use crate::steps::{next, Next};
use crate::{Answer, Ask, Course, Id, Launch, Micros, Order, Permit, Plan, PlanId, Refusal, Return};
use crate::{Roster, Sight, Step, Terms};
use std::collections::BTreeMap;

/// Members of a release that goes back which are asked for at once, as a multiple of the fleet's allowance: the newest
/// go first.
const BACK_AHEAD: usize = 2;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask a bank.
    Ask(u32, Ask),
    /// Give a permit back to a bank.
    Return(u32, Return),
    /// Tell a member.
    Order(Order),
    /// Hand over this primary's group, at this launch of it, to a sound replica.
    HandOver(Id, Launch),
    /// For the log: a step was taken.
    Stepped(Id, Step),
    /// For the log: a wave begins.
    Wave(usize),
    /// For the log: the course changed.
    Turned(Course),
}

/// One release at a driver.
#[derive(Clone, Debug, Default)]
pub(crate) struct Work {
    pub(crate) permits: BTreeMap<Id, (u32, Permit)>,
    answered: BTreeMap<u32, u64>,
    /// Permits that were given back, by their numbers: a late answer may name them still.
    pub(crate) returned: BTreeMap<Id, u64>,
    pub(crate) return_again: Vec<(u32, Return)>,
    pub(crate) due: BTreeMap<u32, Micros>,
    pub(crate) said_at: BTreeMap<Id, Micros>,
    /// Since when one is on its way, and how often it was sent.
    pub(crate) out: BTreeMap<Id, (Micros, u32, Launch)>,
    pub(crate) primaries: BTreeMap<Id, Micros>,
    wave: usize,
    begun: bool,
    done_at: Option<Micros>,
    pub(crate) looked_at: Micros,
    ticked_at: Micros,
}

/// One process that may drive.
#[derive(Clone, Debug)]
pub struct Driver {
    pub(crate) me: u64,
    pub(crate) roster: Roster,
    pub(crate) terms: Terms,
    pub(crate) sights: BTreeMap<Id, Sight>,
    work: BTreeMap<PlanId, Work>,
    pub(crate) asks: BTreeMap<u32, u64>,
}

impl Driver {
    /// A process with a number that no other has, nor had.
    pub fn new(me: u64, roster: Roster, terms: Terms) -> Driver {
        let (sights, work, asks) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Driver { me, roster, terms, sights, work, asks }
    }

    /// What a member was seen to be.
    pub fn seen(&mut self, id: Id, sight: Sight) {
        let newer = |old: &Sight| (sight.launch, sight.at) >= (old.launch, old.at);
        if self.roster.place(id).is_some() && self.sights.get(&id).is_none_or(newer) {
            self.sights.insert(id, sight);
        }
    }

    /// Whether one was seen last as its group's primary.
    pub fn is_primary(&self, id: Id) -> bool {
        self.sights.get(&id).is_some_and(|sight| sight.primary)
    }

    /// A bank's answer; one to another process, or older than one before it, says nothing.
    pub fn answered(&mut self, bank: u32, answer: &Answer) {
        let Some(work) = self.work.get_mut(&answer.plan).filter(|_| answer.holder == self.me) else { return };
        let last = work.answered.entry(bank).or_default();
        if answer.ask <= *last {
            return;
        }
        *last = answer.ask;
        work.permits.retain(|_, (of, _)| *of != bank);
        for permit in &answer.held {
            // One that others were told of before it came back is held for good, and a return of it does nothing. Any
            // other came back, or the return was lost: it is said again.
            if permit.shared || work.returned.get(&permit.id).is_none_or(|number| permit.number > *number) {
                work.permits.insert(permit.id, (bank, *permit));
            } else {
                work.return_again
                    .push((bank, Return { id: permit.id, number: permit.number, holder: self.me }));
            }
        }
        for (id, refusal) in &answer.refused {
            match refusal {
                Refusal::Primary => work.primaries.entry(*id).or_insert(Micros::MIN),
                _ => continue,
            };
        }
    }

    /// What is due now for a release that this process drives.
    pub fn tick(&mut self, now: Micros, plan: &mut Plan) -> Vec<Action> {
        let mut work = self.work.remove(&plan.id).unwrap_or_default();
        // One that stood still, or did not drive, has not watched anybody meanwhile.
        if now - std::mem::replace(&mut work.ticked_at, now) > self.terms.fresh {
            work.out.clear();
            work.done_at = None;
        }
        let mut actions = Vec::new();
        self.watch(now, plan, &mut work, &mut actions);
        let mut wants = Vec::new();
        for id in self.concerned(now, plan, &mut work, &mut actions) {
            let step = plan.step(id);
            let held = work.permits.get(&id).map(|(_, permit)| *permit);
            match next(plan, step, self.sights.get(&id), held.is_some()) {
                Next::Rest => {}
                Next::Await => self.late(now, plan, &mut work, id, &mut actions),
                Next::Reached(step) => {
                    work.out.remove(&id);
                    work.primaries.remove(&id);
                    plan.advance(id, step);
                    actions.push(Action::Stepped(id, step));
                }
                Next::Go(launch, version) => {
                    let leave = held.filter(|permit| permit.launch == launch);
                    if leave.is_none() {
                        wants.push((id, launch));
                    }
                    let ordered = match plan.control.course {
                        Course::Back(_) => Step::OrderedBack(launch),
                        _ => Step::Ordered(launch),
                    };
                    if leave.is_some() && plan.advance(id, ordered) {
                        actions.push(Action::Stepped(id, ordered));
                        work.said_at.remove(&id);
                        let (_, tries, last) = work.out.entry(id).or_insert((now, 0, launch));
                        (*tries, *last) = (*tries + u32::from(*tries == 0 || *last != launch), launch);
                    }
                    // Whoever took the step held the permit for this launch, and it is held until the launch is over.
                    let may = leave.is_some()
                        || [Step::Ordered(launch), Step::OrderedBack(launch)].contains(&plan.step(id));
                    if may && work.said_at.get(&id).is_none_or(|at| now - *at >= self.terms.again) {
                        work.said_at.insert(id, now);
                        let down = leave.is_none_or(|permit| permit.down);
                        actions.push(Action::Order(Order { id, launch, version, down }));
                    }
                    if may {
                        self.late(now, plan, &mut work, id, &mut actions);
                    }
                }
            }
        }
        self.hand_over(now, &wants, &mut work, &mut actions);
        self.give_back(plan, &mut work, &mut actions);
        self.ask(now, plan, &wants, &mut work, &mut actions);
        self.work.insert(plan.id, work);
        actions
    }

    /// The members that may need something now, the first to go first.
    fn concerned(&self, now: Micros, plan: &mut Plan, work: &mut Work, actions: &mut Vec<Action>) -> Vec<Id> {
        match plan.control.course {
            Course::Back(_) => {
                let left = |(id, (_, permit)): &(&Id, &(u32, Permit))| {
                    permit.shared && plan.step(**id) == Step::Waiting
                };
                let held = work.permits.iter().filter(left).map(|(id, _)| *id);
                let most = BACK_AHEAD * self.roster.allowance().fleet as usize;
                held.chain(plan.touched().map(|(id, _)| id).take(most)).collect()
            }
            Course::Halted(_) => plan.touched().map(|(id, _)| id).collect(),
            Course::Forward => {
                let wave = plan.wave();
                if !self.begins(now, plan, work, wave) {
                    return work.permits.keys().copied().collect();
                }
                let begins = |wave: &Vec<Id>| wave.iter().all(|id| plan.step(*id) == Step::Waiting);
                if !std::mem::replace(&mut work.begun, true) && plan.waves.get(wave).is_some_and(begins) {
                    actions.push(Action::Wave(wave));
                }
                plan.waves.get(wave).cloned().unwrap_or_default()
            }
        }
    }

    /// Whether a wave may go: another driver began it, or all before it are sound now and the evidence is in.
    fn begins(&self, now: Micros, plan: &Plan, work: &mut Work, wave: usize) -> bool {
        if work.wave != wave {
            (work.wave, work.begun, work.done_at) = (wave, false, None);
        }
        let members = plan.waves.get(wave).into_iter().flatten();
        if work.begun || wave == 0 || members.clone().any(|id| plan.step(*id) != Step::Waiting) {
            return true;
        }
        let sound = |id: &Id| {
            self.sights.get(id).is_some_and(|sight| sight.sound && now - sight.at <= self.terms.fresh)
        };
        if !plan.waves[..wave.min(plan.waves.len())].iter().flatten().all(sound) {
            work.done_at = None;
            return false;
        }
        let done_at = *work.done_at.get_or_insert(now);
        now - done_at >= self.terms.watch || plan.evidence.accepted() && work.looked_at > done_at
    }
}
