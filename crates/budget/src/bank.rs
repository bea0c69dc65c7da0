//! A bank: a fixed part of every whole, leased out by demand.

use crate::{Ask, Budget, Grant, Micros, Terms};
use std::collections::BTreeMap;
use twox_hash::XxHash3_64;

/// Holders kept at most; past that a new one gets no lease until one has been silent for a lease's life.
pub const HOLDERS_MOST: usize = 1024;
/// Leases of one holder that may be in force beside each other; past that its asks wait until one has ended.
const LEASES_MOST: usize = 16;
/// Where there are fewer units than holders, they go round this often.
const TURN: Micros = 5_000_000;
/// A division by what all want stands for this long, unless a new holder asks: an ask then costs what its holder has.
const DIVIDED: Micros = 50_000;

/// How a budget was divided, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Division {
    at: Micros,
    gets: BTreeMap<u64, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    number: u64,
    until: Micros,
    amounts: BTreeMap<Budget, u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Account {
    asked: u64,
    heard_at: Micros,
    wants: BTreeMap<Budget, u64>,
    leases: Vec<Lease>,
}

impl Account {
    /// The most that the holder may be using now.
    fn out(&self, budget: Budget) -> u64 {
        self.leases.iter().filter_map(|lease| lease.amounts.get(&budget)).max().copied().unwrap_or(0)
    }
}

/// A bank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bank {
    terms: Terms,
    parts: BTreeMap<Budget, u64>,
    opens_at: Micros,
    accounts: BTreeMap<u64, Account>,
    divisions: BTreeMap<Budget, Division>,
    /// Asks that were not answered: before the bank opens, out of order, or past a bound.
    pub ignored: u64,
}

impl Bank {
    /// A bank with its part of each whole, in units a second, whose process has just started.
    pub fn new(terms: Terms, parts: BTreeMap<Budget, u64>, now: Micros) -> Bank {
        let opens_at = now + terms.abstain();
        let (accounts, divisions) = (BTreeMap::new(), BTreeMap::new());
        Bank { terms, parts, opens_at, accounts, divisions, ignored: 0 }
    }

    /// From when on it leases.
    pub fn opens_at(&self) -> Micros {
        self.opens_at
    }

    /// What is leased out of a budget and may be in use now.
    pub fn out(&self, budget: Budget) -> u64 {
        self.accounts.values().map(|account| account.out(budget)).sum()
    }

    /// Answers an ask, with at most one lease.
    pub fn asked(&mut self, now: Micros, ask: &Ask) -> Option<Grant> {
        self.end(now);
        let full = !self.accounts.contains_key(&ask.holder) && self.accounts.len() >= HOLDERS_MOST;
        if now < self.opens_at || full {
            self.ignored += 1;
            return None;
        }
        let account = self.accounts.entry(ask.holder).or_default();
        // An ask that comes late or twice would take back what a newer one said.
        if ask.number <= account.asked || account.leases.len() >= LEASES_MOST {
            self.ignored += 1;
            return None;
        }
        (account.asked, account.heard_at) = (ask.number, now);
        account.leases.retain(|lease| lease.number >= ask.uses);
        account.wants = ask.wants.iter().copied().filter(|(b, _)| self.parts.contains_key(b)).collect();
        let budgets: Vec<Budget> = account.wants.keys().copied().collect();
        let number = ask.number;
        let (mut amounts, mut more) = (BTreeMap::new(), false);
        for budget in budgets {
            let others: u64 =
                self.accounts.iter().filter(|(h, _)| **h != ask.holder).map(|(_, a)| a.out(budget)).sum();
            let free = self.parts.get(&budget).copied().unwrap_or(0).saturating_sub(others);
            let fair = self.fair(now, budget, ask.holder);
            more |= fair > free;
            amounts.insert(budget, fair.min(free));
        }
        let lease = Lease { number, until: now + self.terms.life, amounts: amounts.clone() };
        if let Some(account) = self.accounts.get_mut(&ask.holder) {
            account.leases.push(lease);
        }
        let amounts = amounts.into_iter().collect();
        Some(Grant { holder: ask.holder, ask: ask.number, number, amounts, more })
    }

    /// Ends leases that are over, and forgets holders without one.
    fn end(&mut self, now: Micros) {
        for account in self.accounts.values_mut() {
            account.leases.retain(|lease| lease.until > now);
        }
        // Not before its newest ask must have arrived or is lost: an old one could else be taken for new.
        let life = self.terms.life;
        self.accounts.retain(|_, account| !account.leases.is_empty() || now - account.heard_at <= 2 * life);
    }

    /// A holder's part of the division in force.
    fn fair(&mut self, now: Micros, budget: Budget, holder: u64) -> u64 {
        let stands = |d: &Division| now - d.at < DIVIDED && d.gets.contains_key(&holder);
        if !self.divisions.get(&budget).is_some_and(stands) {
            let gets = self.divide(now, budget);
            self.divisions.insert(budget, Division { at: now, gets });
        }
        let division = self.divisions.get(&budget);
        division.and_then(|d| d.gets.get(&holder)).copied().unwrap_or(0)
    }

    /// Divides by max-min fairness over what all want: nobody gets more than it wants, and who wants more than
    /// the others leave gets as much as any other. What cannot be divided evenly goes round by turns.
    fn divide(&self, now: Micros, budget: Budget) -> BTreeMap<u64, u64> {
        let part = self.parts.get(&budget).copied().unwrap_or(0);
        let turn = now.div_euclid(TURN);
        let recent = |account: &&Account| now - account.heard_at <= self.terms.life;
        let mut wants: Vec<(u64, u64, u64)> = self
            .accounts
            .iter()
            .filter(|(_, account)| recent(account))
            .filter_map(|(h, account)| Some((*account.wants.get(&budget)?, *h)))
            .map(|(want, h)| {
                let lot = [h.to_le_bytes(), turn.to_le_bytes()].concat();
                (want, XxHash3_64::oneshot(&lot), h)
            })
            .collect();
        wants.sort_unstable();
        let (mut left, mut holders, mut all) = (part, wants.len() as u64, BTreeMap::new());
        for (want, _, h) in wants {
            // The rest that does not divide goes to those that come last: they want most, or drew the later lot.
            let even = left / holders.max(1);
            let gets = want.min(even);
            left -= gets;
            holders -= 1;
            all.insert(h, gets);
        }
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask(holder: u64, number: u64, uses: u64, want: u64) -> Ask {
        Ask { holder, number, uses, wants: vec![(1, want)] }
    }

    fn amount(grant: Option<Grant>) -> u64 {
        grant.map_or(0, |g| g.amounts[0].1)
    }

    fn open(part: u64) -> (Bank, Micros) {
        let bank = Bank::new(Terms::default(), [(1, part)].into(), 0);
        let now = bank.opens_at();
        (bank, now)
    }

    #[test]
    fn a_bank_that_has_just_started_leases_nothing() {
        let (mut bank, opens) = open(10);
        assert_eq!(bank.asked(opens - 1, &ask(1, 1, 0, 10)), None);
        assert_eq!(amount(bank.asked(opens, &ask(1, 2, 0, 10))), 10);
    }

    #[test]
    fn what_a_holder_may_still_use_is_not_free_until_it_says_so_or_its_lease_ends() {
        let (mut bank, now) = open(10);
        assert_eq!(amount(bank.asked(now, &ask(1, 1, 0, 10))), 10);
        let second = bank.asked(now + 1, &ask(2, 1, 0, 10)).unwrap();
        assert_eq!((second.amounts[0].1, second.more), (0, true));
        // The first is cut to half, but may not have heard so.
        assert_eq!(amount(bank.asked(now + 2, &ask(1, 2, 1, 10))), 5);
        assert_eq!(amount(bank.asked(now + 3, &ask(2, 2, 1, 10))), 0);
        // Now it uses the newer lease.
        bank.asked(now + 4, &ask(1, 3, 2, 10));
        assert_eq!(amount(bank.asked(now + 5, &ask(2, 3, 2, 10))), 5);
        assert_eq!(bank.out(1), 10);
        // An ask that comes late takes nothing back.
        assert_eq!(bank.asked(now + 6, &ask(1, 1, 0, 10)), None);
        // Silent for a lease's life, the first is gone.
        let later = now + Terms::default().life + 10;
        assert_eq!(amount(bank.asked(later, &ask(2, 4, 3, 10))), 10);
    }

    #[test]
    fn who_wants_little_gets_it_and_the_rest_is_even() {
        let (mut bank, now) = open(100);
        for (holder, want) in [(1, 5), (2, 90), (3, 90)] {
            bank.asked(now, &ask(holder, 1, 0, want));
        }
        let fair: Vec<u64> = [1, 2, 3].map(|h| bank.fair(now, 1, h)).to_vec();
        assert_eq!((fair[0], fair[1] + fair[2]), (5, 95));
        assert!(fair[1].abs_diff(fair[2]) <= 1);
    }

    #[test]
    fn fewer_units_than_holders_go_round() {
        let (mut bank, now) = open(1);
        let mut served = std::collections::BTreeSet::new();
        for turn in 0..60 {
            let now = now + turn * TURN;
            (1..=5).for_each(|h| drop(bank.asked(now, &ask(h, turn as u64 + 1, 0, 1))));
            let gets: Vec<u64> = (1..=5).filter(|h| bank.fair(now, 1, *h) > 0).collect();
            assert_eq!(gets.len(), 1);
            served.extend(gets);
        }
        assert_eq!(served.len(), 5, "some holder never had its turn");
    }

    #[test]
    fn holders_are_bounded() {
        let (mut bank, now) = open(10);
        (0..HOLDERS_MOST as u64 + 5).for_each(|h| drop(bank.asked(now, &ask(h, 1, 0, 1))));
        assert_eq!((bank.accounts.len(), bank.ignored), (HOLDERS_MOST, 5));
    }
}
