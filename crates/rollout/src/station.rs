//! One proxy's side of all of it: its bank where it has one, the releases it knows, the driver, and what goes between
//! proxies as bytes. An answer of the bank leaves once the ledger that it rests on is kept.

use crate::message::{Deed, Identity, Message, To};
use crate::{
    Action, Answer, Bank, Cause, Course, Driver, Id, Ledger, Micros, Plan, PlanId, Plans, Reason, Roster,
    Sight, Tally, Terms, Wheel, Word,
};
use std::collections::{BTreeSet, VecDeque};

/// How often a proxy tells another one its releases.
const TELL_EVERY: Micros = 200_000;
/// Answers that wait for the ledger at most; past that the oldest goes, and its driver asks again.
const ANSWERS_MOST: usize = 64;

/// One proxy's side.
#[derive(Clone, Debug)]
pub struct Station {
    me: Identity,
    roster: Roster,
    bank: Option<Bank>,
    driver: Driver,
    plans: Plans,
    wheel: Wheel,
    others: Vec<u64>,
    tell_at: Micros,
    told: usize,
    /// When all others are next told that this proxy drives, and whether it did when it was last asked.
    here_at: Micros,
    silent: Micros,
    drives: bool,
    primaries: BTreeSet<Id>,
    answers: VecDeque<(u64, u64, Answer)>,
    kept: u64,
    sends: Vec<(To, Vec<u8>)>,
    deeds: Vec<Deed>,
    /// Messages that could not be read.
    pub rejected: u64,
}

impl Station {
    /// A process that has just started; `ledger` is its bank's, as it was kept last.
    pub fn new(me: Identity, roster: Roster, terms: Terms, ledger: Option<Ledger>, now: Micros) -> Station {
        let kept = ledger.as_ref().map_or(0, |ledger| ledger.changes);
        let bank = me.bank.filter(|bank| *bank < roster.banks());
        Station {
            me,
            bank: bank.map(|bank| Bank::new(bank, roster.clone(), terms.clone(), ledger)),
            driver: Driver::new(me.number, roster.clone(), terms.clone()),
            plans: Plans::default(),
            wheel: Wheel::new(me.rank, terms.silent, now),
            roster,
            others: Vec::new(),
            tell_at: now,
            silent: terms.silent,
            here_at: now,
            drives: false,
            primaries: BTreeSet::new(),
            told: me.rank as usize,
            answers: VecDeque::new(),
            kept,
            sends: Vec::new(),
            deeds: Vec::new(),
            rejected: 0,
        }
    }

    /// The other proxies that are alive, by their ranks.
    pub fn alive(&mut self, others: Vec<u64>) {
        self.others = others;
    }

    /// What a member was seen to be, by this proxy.
    pub fn seen(&mut self, now: Micros, id: Id, sight: Sight) {
        self.driver.seen(id, sight);
        self.bank.iter_mut().for_each(|bank| bank.seen(now, id, sight));
    }

    /// Who is out by a cause that nobody asks leave for, as discovery or an operator has it now.
    pub fn told(&mut self, cause: Cause, out: &[Id]) {
        let Some(bank) = &mut self.bank else { return };
        self.roster.places().for_each(|place| bank.told(place.id, cause, out.contains(&place.id)));
    }

    /// Who is a primary, for the order of a release that starts here.
    pub fn primaries(&mut self, primaries: impl IntoIterator<Item = Id>) {
        self.primaries = primaries.into_iter().collect();
    }

    /// Gives a bank that lost its ledger another one; an operator's word that nothing is out by the lost one.
    pub fn open(&mut self, ledger: Ledger) {
        self.bank.iter_mut().for_each(|bank| bank.open(ledger.clone()));
    }

    /// Whether it is a bank that is used.
    pub fn is_bank(&self) -> bool {
        self.bank.is_some()
    }

    /// Whether its bank waits for a ledger.
    pub fn closed(&self) -> bool {
        self.bank.as_ref().is_some_and(|bank| bank.ledger().is_none())
    }

    /// Whether this proxy has to know what members are: as a bank, or since it drives a release that goes on.
    pub fn watches(&self) -> bool {
        self.bank.is_some() || self.drives && self.plans.iter().any(|plan| !plan.over())
    }

    /// Whether it drove when it was last asked.
    pub fn drives(&self) -> bool {
        self.drives
    }

    /// What this proxy saw of the released and the others of a release.
    pub fn tallied(&mut self, plan: PlanId, tally: &Tally) {
        let plans = self.plans.iter_mut().filter(|known| known.id == plan);
        plans.for_each(|plan| plan.tallied(self.me.rank, tally));
    }

    /// An operator's word; what it did, or why it did nothing.
    pub fn word(&mut self, now_ms: u64, word: &Word) -> Result<PlanId, &'static str> {
        if let Word::Start { target, back } = word {
            let id = PlanId { started_ms: now_ms, by: self.me.rank };
            let ids = self.roster.order(|id| self.primaries.contains(&id) || self.driver.is_primary(id));
            let plan = Plan::new(id, *target, *back, &ids, self.roster.allowance().fleet as usize);
            return self.plans.start(plan).then_some(id).ok_or("as many releases are under way as are kept");
        }
        let course = match word {
            Word::Resume => Course::Forward,
            Word::Undo => Course::Back(Reason::Operator),
            _ => Course::Halted(Reason::Operator),
        };
        // One that is over can still be undone: the newest.
        let open = |plan: &&mut Plan| !plan.over() || *word == Word::Undo;
        let plan = self.plans.iter_mut().filter(open).last().ok_or("no release is under way")?;
        plan.turn(course).then_some(plan.id).ok_or("the release goes that way, or back, already")
    }

    /// A message from the proxy with this rank.
    pub fn received(&mut self, now: Micros, from: u64, bytes: &[u8]) {
        let Ok(message) = postcard::from_bytes(bytes) else {
            self.rejected += 1;
            return;
        };
        match message {
            Message::Ask(ask) => {
                let Some(bank) = &mut self.bank else { return };
                let Some(answer) = bank.asked(now, &ask) else { return };
                let changes = bank.ledger().map_or(0, |ledger| ledger.changes);
                if self.answers.len() >= ANSWERS_MOST {
                    self.answers.pop_front();
                }
                self.answers.push_back((changes, from, answer));
                self.answer();
            }
            Message::Answer(bank, answer) => self.driver.answered(bank, &answer),
            Message::Return(back) => self.bank.iter_mut().for_each(|bank| bank.returned(&back)),
            Message::Plan(plan) => {
                self.wheel.heard(now, from);
                self.plans.merge(&plan);
            }
            Message::Here => self.wheel.heard(now, from),
        }
    }

    /// The bank's ledger, where it is not kept as it is now.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.bank.as_ref().and_then(Bank::ledger).filter(|ledger| ledger.changes > self.kept)
    }

    /// The ledger is kept with so many changes.
    pub fn kept(&mut self, changes: u64) {
        self.kept = self.kept.max(changes);
        self.answer();
    }

    /// Sends the answers that rest on nothing but what is kept.
    fn answer(&mut self) {
        let Some(me) = self.me.bank else { return };
        while let Some((_, to, answer)) = self.answers.pop_front_if(|(changes, ..)| *changes <= self.kept) {
            self.send(To::Proxy(to), &Message::Answer(me, answer));
        }
    }

    /// What is due now.
    pub fn tick(&mut self, now: Micros) {
        if now >= self.tell_at && !self.others.is_empty() {
            self.tell_at = now + TELL_EVERY;
            self.told += 1;
            let to = To::Proxy(self.others[self.told % self.others.len()]);
            let plans: Vec<Message> = self.plans.iter().cloned().map(Message::Plan).collect();
            plans.iter().for_each(|message| self.send(to, message));
            if plans.is_empty() {
                self.send(to, &Message::Here);
            }
        }
        self.drives = self.wheel.drives(now);
        if !self.drives {
            return;
        }
        // In a large fleet the turns above are too seldom for the others to know that they need not drive.
        if now >= self.here_at {
            self.here_at = now + self.silent / 3;
            let others = self.others.clone();
            others.into_iter().for_each(|other| self.send(To::Proxy(other), &Message::Here));
        }
        let (driver, mut done) = (&mut self.driver, Vec::new());
        for plan in self.plans.iter_mut() {
            done.extend(driver.tick(now, plan).into_iter().map(|action| (plan.id, action)));
        }
        for (plan, action) in done {
            match action {
                Action::Ask(bank, ask) => self.send(To::Bank(bank), &Message::Ask(ask)),
                Action::Return(bank, back) => self.send(To::Bank(bank), &Message::Return(back)),
                Action::Order(order) => self.deeds.push(Deed::Order(order)),
                Action::HandOver(id, launch) => self.deeds.push(Deed::HandOver(id, launch)),
                action => self.deeds.push(Deed::Did(plan, action)),
            }
        }
    }

    fn send(&mut self, to: To, message: &Message) {
        self.sends.extend(postcard::to_allocvec(message).map(|bytes| (to, bytes)));
    }

    /// Messages that are to leave; one to its own bank or rank comes back by [`Station::received`].
    pub fn take_sends(&mut self) -> Vec<(To, Vec<u8>)> {
        std::mem::take(&mut self.sends)
    }

    /// What is to be done at members and told the log.
    pub fn take_deeds(&mut self) -> Vec<Deed> {
        std::mem::take(&mut self.deeds)
    }

    /// The releases that it knows.
    pub fn plans(&self) -> &Plans {
        &self.plans
    }
}
