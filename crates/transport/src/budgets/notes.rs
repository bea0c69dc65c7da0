//! What the log hears of the budgets: figures every few seconds, and each lease and spend where that is recorded, from
//! which a checker adds up the whole fleet.

use super::Done;
use std::fmt::Write;
use wharfplank_budget::{BudgetAmount, BudgetId, BudgetKind, LeaseGrant, LeaseHolder, Micros};

/// Notes kept between two lines; further ones are left out.
const NOTES_MOST: usize = 65_536;

/// What the log hears.
#[derive(Debug)]
pub enum Said<'a> {
    /// Banks that answer, and what this proxy's thread did.
    Reached {
        /// How many of the banks answer.
        reached: usize,
        /// What the thread did so far.
        done: Done,
    },
    /// What was done of the budgets of one kind.
    Figure(BudgetKind, Figure),
    /// A lease that is in force from now on: whose, until when, and each budget's amount, as `number=amount,...`.
    Leased {
        /// Its time.
        at: Micros,
        /// The bank.
        bank: usize,
        /// When it ends by itself.
        ends: Micros,
        /// The amounts.
        what: &'a str,
    },
    /// What was spent, as `number@time,...`.
    Spent(&'a str),
    /// What is held since when, as `number@time=count,...`.
    Held(&'a str),
    /// The thread has ended.
    Ended,
}

/// What was done of the budgets of one kind, added up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figure {
    /// The shares in force.
    pub share: u64,
    /// What was permitted since the start, or is held.
    pub spent: u64,
    /// What was denied since the start, or is held past the share.
    pub denied: u64,
}

impl Figure {
    /// The figure of a kind; `None` where there is no budget of it.
    pub fn of(holder: &LeaseHolder, now: Micros, kind: BudgetKind) -> Option<Figure> {
        let is = |budget: &BudgetId| BudgetKind::of(*budget) == Some(kind);
        let done = holder.rate_meters().filter(|(b, _)| is(b)).map(|(b, m)| Figure {
            share: holder.quota(now, b),
            spent: m.spent,
            denied: m.denied,
        });
        let held = holder.concurrency_budgets().filter(|(b, _)| is(b)).map(|(b, h)| Figure {
            share: holder.quota(now, b),
            spent: h.in_use(),
            denied: h.over_quota(),
        });
        done.chain(held).reduce(|a, b| Figure {
            share: a.share + b.share,
            spent: a.spent + b.spent,
            denied: a.denied + b.denied,
        })
    }
}

/// Leases and spends that are not told yet.
#[derive(Debug, Default)]
pub struct Notes {
    spent: Vec<(BudgetId, Micros)>,
    held: Vec<(BudgetId, Micros, u64)>,
    leased: Vec<(Micros, usize, Micros, LeaseGrant)>,
}

impl Notes {
    /// One was spent.
    pub fn spent(&mut self, at: Micros, budget: BudgetId) {
        if self.spent.len() < NOTES_MOST {
            self.spent.push((budget, at));
        }
    }

    /// So many are held from now on.
    pub fn held(&mut self, at: Micros, budget: BudgetId, held: u64) {
        if self.held.len() < NOTES_MOST {
            self.held.push((budget, at, held));
        }
    }

    /// A lease is in force from now on.
    pub fn leased(&mut self, at: Micros, bank: usize, ends: Micros, grant: &LeaseGrant) {
        if self.leased.len() < NOTES_MOST {
            self.leased.push((at, bank, ends, grant.clone()));
        }
    }

    /// Tells all, and forgets it.
    pub fn tell(&mut self, say: &impl Fn(Said<'_>)) {
        for (at, bank, ends, grant) in self.leased.drain(..) {
            let what = joined(
                grant.amounts.iter().map(|BudgetAmount { budget, amount }| format!("{budget}={amount}")),
            );
            say(Said::Leased { at, bank, ends, what: &what });
        }
        if !self.spent.is_empty() {
            say(Said::Spent(&joined(self.spent.drain(..).map(|(budget, at)| format!("{budget}@{at}")))));
        }
        if !self.held.is_empty() {
            let held = self.held.drain(..);
            say(Said::Held(&joined(held.map(|(budget, at, held)| format!("{budget}@{at}={held}")))));
        }
    }
}

fn joined(all: impl Iterator<Item = String>) -> String {
    let mut text = String::new();
    for one in all {
        let comma = if text.is_empty() { "" } else { "," };
        let _ = write!(text, "{comma}{one}");
    }
    text
}
