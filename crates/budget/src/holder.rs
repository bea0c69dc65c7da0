//! One proxy: its leases, its meters, and when it asks which bank for what.

use crate::book::Book;
use crate::meter::Meter;
use crate::{Ask, Budget, Grant, Micros, Terms};
use std::collections::BTreeMap;

/// A bank that is to free more soon is asked again after this part of the usual pause.
const SOON: Micros = 4;

/// One proxy's side of the budgets.
#[derive(Clone, Debug)]
pub struct Holder {
    book: Book,
    terms: Terms,
    meters: BTreeMap<Budget, Meter>,
    due: Vec<Micros>,
    /// The bank that is asked for what does not divide, so that not all ask the same.
    first: u64,
}

impl Holder {
    /// A process that holds nothing yet, of budgets from so many banks.
    pub fn new(holder: u64, terms: Terms, banks: usize, budgets: Vec<Budget>, now: Micros) -> Holder {
        let meters = budgets.into_iter().map(|budget| (budget, Meter::new(now))).collect();
        Holder {
            book: Book::new(holder, terms.clone(), banks),
            terms,
            meters,
            due: vec![now; banks],
            first: holder >> 16 ^ holder,
        }
    }

    /// The asks that are due: which bank, and what. Each bank is asked for an even part of what is wanted, over the
    /// banks in reach: a cut leaves the others to make up for it.
    pub fn tick(&mut self, now: Micros) -> Vec<(usize, Ask)> {
        self.follow(now);
        let (reached, banks) = (self.book.reached(now).max(1) as u64, self.due.len().max(1) as u64);
        let mut out = Vec::new();
        for bank in 0..self.due.len() {
            if now < self.due[bank] {
                continue;
            }
            self.due[bank] = now + self.terms.ask_every;
            // What does not divide goes to other banks first at each proxy: rounded up everywhere, small shares would
            // lie idle by the hundred.
            let place = (bank as u64 + self.first) % banks;
            let even = |want: u64| want / reached + u64::from(place < want % reached);
            let wants = self.meters.iter_mut().map(|(b, meter)| (*b, even(meter.wants(now)))).collect();
            out.extend(self.book.ask(now, bank, wants).map(|ask| (bank, ask)));
        }
        out
    }

    /// A bank's answer.
    pub fn granted(&mut self, now: Micros, bank: usize, grant: &Grant) {
        if let Some(taken) = self.book.granted(now, bank, grant) {
            if taken.less {
                self.due[bank] = now;
            } else if taken.more {
                self.due[bank] = self.due[bank].min(now + self.terms.ask_every / SOON);
            }
        }
        self.follow(now);
    }

    /// Lets the meters know the shares in force: each change, since a share that was smaller meanwhile counts.
    fn follow(&mut self, now: Micros) {
        for (budget, meter) in &mut self.meters {
            meter.set(now, self.book.share(now, *budget));
        }
    }

    /// Whether a unit of a budget may be spent now; a budget without a name here is not limited.
    pub fn spend(&mut self, now: Micros, budget: Budget) -> bool {
        let share = self.book.share(now, budget);
        self.meters.get_mut(&budget).is_none_or(|meter| meter.spend(now, share))
    }

    /// The share in force.
    pub fn share(&self, now: Micros, budget: Budget) -> u64 {
        self.book.share(now, budget)
    }

    /// When [`Holder::tick`] is next due.
    pub fn next_due(&self) -> Micros {
        self.due.iter().copied().min().unwrap_or(Micros::MAX)
    }

    /// A budget's meter.
    pub fn meter(&self, budget: Budget) -> Option<&Meter> {
        self.meters.get(&budget)
    }
}
