//! A bank: who of its groups is out, and who may still go.

use crate::{Answer, Ask, Id, Launch, Micros, Permit, Place, PlanId, Return, Roster, Terms, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Drivers kept at most; past that the one heard longest ago is forgotten.
const HOLDERS_MOST: usize = wharfplank_budget::MAX_HOLDERS;
/// Releases whose course is kept at most; past that the oldest is forgotten.
pub(crate) const CONTROLS_MOST: usize = 64;
/// Wants of one ask that are looked at.
const WANTS_MOST: usize = 256;

/// What a member was seen to be, by one that asked it itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Sight {
    /// Its launch.
    pub launch: Launch,
    /// Its version.
    pub version: Version,
    /// Whether it serves, in the eyes of its agent and the broker.
    pub sound: bool,
    /// Whether its own agent says that it doesn't serve: only then is an order followed that takes out who is down.
    pub down: bool,
    /// Whether it is its group's primary.
    pub primary: bool,
    /// When it was asked, on the asker's clock: an answer that comes late is as old as its question.
    pub at: Micros,
}

/// Why one counts as out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// A permit for it is held by a release.
    Release,
    /// Discovery drains it.
    Drain,
    /// An operator cordoned it.
    Cordon,
    /// It was seen not to serve.
    Failed,
    /// It was not seen to serve for a while, or not since the bank started.
    Unseen,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Held {
    pub(crate) plan: PlanId,
    holder: u64,
    pub(crate) permit: Permit,
}

/// What a bank must not forget: it is on disk before the answer that follows from it leaves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    number: u64,
    pub(crate) held: BTreeMap<Id, Held>,
    pub(crate) controls: BTreeMap<PlanId, u64>,
    /// Counts changes: the driver writes the ledger when it has grown.
    pub changes: u64,
}

impl Ledger {
    /// The permits that are held.
    pub fn held(&self) -> impl Iterator<Item = Permit> + '_ {
        self.held.values().map(|held| held.permit)
    }
}

/// A bank's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bank {
    pub(crate) me: u32,
    pub(crate) roster: Roster,
    terms: Terms,
    pub(crate) ledger: Option<Ledger>,
    pub(crate) sights: BTreeMap<Id, Sight>,
    told: BTreeSet<(Id, Cause)>,
    asked: BTreeMap<u64, (u64, Micros)>,
    /// Asks and returns that changed nothing: late, doubled, or not this bank's.
    pub ignored: u64,
}

impl Bank {
    /// A bank that has just started. Everyone counts as out until it is seen to be sound. Without the ledger of the
    /// process before it the bank stays closed: what that one gave out is not known, and no clock ends it.
    pub fn new(me: u32, roster: Roster, terms: Terms, ledger: Option<Ledger>) -> Bank {
        let (sights, told, asked) = (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
        Bank { me, roster, terms, ledger, sights, told, asked, ignored: 0 }
    }

    /// What is to be written to disk.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.ledger.as_ref()
    }

    /// Opens a bank that waits for a ledger; one that has its own keeps that.
    pub fn open(&mut self, ledger: Ledger) {
        self.ledger.get_or_insert(ledger);
    }

    /// What a member was seen to be. It ends a permit once it is back at a later launch and sound; one given since it
    /// was down also where it serves again as it was, sound or not, since no order by that takes it out then.
    pub fn seen(&mut self, now: Micros, id: Id, sight: Sight) {
        let newer = |old: &Sight| (sight.launch, sight.at) >= (old.launch, old.at);
        if sight.at > now || self.roster.place(id).is_none() || !self.sights.get(&id).is_none_or(newer) {
            self.ignored += 1;
            return;
        }
        self.sights.insert(id, sight);
        let Some(ledger) = self.ledger.as_mut() else { return };
        let back = |Held { permit, .. }: &Held| {
            let up_again = permit.down && sight.launch == permit.launch && !sight.down;
            up_again || sight.sound && sight.launch > permit.launch
        };
        if ledger.held.get(&id).is_some_and(back) {
            ledger.held.remove(&id);
            ledger.changes += 1;
        }
    }

    /// What discovery or an operator says of a member: facts that nobody asks leave for.
    pub fn told(&mut self, id: Id, cause: Cause, out: bool) {
        if !out {
            self.told.remove(&(id, cause));
        } else if self.roster.place(id).is_some() {
            self.told.insert((id, cause));
        }
    }

    /// By what cause one counts as out now.
    pub fn cause(&self, now: Micros, id: Id) -> Option<Cause> {
        if self.ledger.as_ref().is_some_and(|ledger| ledger.held.contains_key(&id)) {
            return Some(Cause::Release);
        }
        let told = [Cause::Drain, Cause::Cordon].into_iter().find(|cause| self.told.contains(&(id, *cause)));
        told.or_else(|| match self.sights.get(&id) {
            Some(sight) if now - sight.at <= self.terms.fresh => (!sight.sound).then_some(Cause::Failed),
            _ => Some(Cause::Unseen),
        })
    }

    /// All that count as out now.
    pub fn out(&self, now: Micros) -> Vec<(Place, Cause)> {
        self.roster.places().filter_map(|place| Some((*place, self.cause(now, place.id)?))).collect()
    }

    /// Answers an ask.
    pub fn asked(&mut self, now: Micros, ask: &Ask) -> Option<Answer> {
        let last = self.asked.get(&ask.holder).map_or(0, |(number, _)| *number);
        // One that comes late or twice could want again what was returned since.
        if ask.number <= last {
            self.ignored += 1;
            return None;
        }
        if self.asked.len() >= HOLDERS_MOST && last == 0 {
            let oldest = self.asked.iter().min_by_key(|(_, (_, at))| *at).map(|(holder, _)| *holder);
            oldest.map(|holder| self.asked.remove(&holder));
        }
        self.asked.insert(ask.holder, (ask.number, now));
        let mut answer =
            Answer { plan: ask.plan, holder: ask.holder, ask: ask.number, held: vec![], refused: vec![] };
        let mut out = self.out(now);
        for (id, launch) in ask.wants.iter().take(WANTS_MOST) {
            match self.may_go(&out, ask, *id, *launch) {
                Ok(down) => {
                    self.give(ask, *id, *launch, down);
                    out.retain(|(place, _)| place.id != *id);
                    out.extend(self.roster.place(*id).map(|place| (place, Cause::Release)));
                }
                Err(Some(refusal)) => answer.refused.push((*id, refusal)),
                Err(None) => {}
            }
        }
        let Some(ledger) = self.ledger.as_mut() else { return Some(answer) };
        for held in ledger.held.values_mut().filter(|held| held.plan == ask.plan) {
            if held.holder != ask.holder && !held.permit.shared {
                held.permit.shared = true;
                ledger.changes += 1;
            }
            answer.held.push(held.permit);
        }
        Some(answer)
    }

    /// Gives a permit; one for an earlier launch that is still held moves on to this one, and can't be returned: its
    /// member went out by the earlier.
    fn give(&mut self, ask: &Ask, id: Id, launch: Launch, down: bool) {
        let Some(ledger) = self.ledger.as_mut() else { return };
        ledger.number += 1;
        ledger.changes += 1;
        let shared = ledger.held.contains_key(&id);
        let permit = Permit { id, launch, number: ledger.number, down, shared };
        ledger.held.insert(id, Held { plan: ask.plan, holder: ask.holder, permit });
    }

    /// A permit comes back unused. Only from the process that it was given to, which ordered nothing by it, and not
    /// once another was told of it, which may have; a second or a late return names a permit that is gone.
    pub fn returned(&mut self, back: &Return) {
        let Some(ledger) = self.ledger.as_mut() else { return };
        let same = |held: &Held| held.holder == back.holder && held.permit.number == back.number;
        if ledger.held.get(&back.id).is_some_and(|held| same(held) && !held.permit.shared) {
            ledger.held.remove(&back.id);
            ledger.changes += 1;
        } else {
            self.ignored += 1;
        }
    }
}
