//! The leases and spends that are recorded but not logged yet, if the usage is traced.

use super::BudgetLogEvent;
use std::fmt::Write;
use wharfplank_budget::{BudgetAmount, BudgetId, LeaseGrant, Micros};

/// The maximum number of records of one kind that are kept between two flushes; further ones are dropped.
const MAX_RECORDS: usize = 65_536;

/// The leases and spends since the last flush.
#[derive(Debug, Default)]
pub(super) struct UsageTrace {
    spends: Vec<Spend>,
    in_use: Vec<InUse>,
    leases: Vec<LeaseRecord>,
}

#[derive(Debug)]
struct Spend {
    at: Micros,
    budget: BudgetId,
}

#[derive(Debug)]
struct InUse {
    since: Micros,
    budget: BudgetId,
    count: u64,
}

#[derive(Debug)]
struct LeaseRecord {
    at: Micros,
    allocator: usize,
    expires_at: Micros,
    amounts: Vec<BudgetAmount>,
}

impl UsageTrace {
    /// Records a spend of one.
    pub(super) fn record_spend(&mut self, at: Micros, budget: BudgetId) {
        push_bounded(&mut self.spends, Spend { at, budget });
    }

    /// Records a change of the number in use.
    pub(super) fn record_in_use(&mut self, since: Micros, budget: BudgetId, count: u64) {
        push_bounded(&mut self.in_use, InUse { since, budget, count });
    }

    /// Records a lease that came into effect.
    pub(super) fn record_lease(
        &mut self,
        at: Micros,
        allocator: usize,
        expires_at: Micros,
        grant: &LeaseGrant,
    ) {
        let amounts = grant.amounts.clone();
        push_bounded(&mut self.leases, LeaseRecord { at, allocator, expires_at, amounts });
    }

    /// Logs and removes all records.
    pub(super) fn flush(&mut self, log: &impl Fn(BudgetLogEvent<'_>)) {
        for lease in self.leases.drain(..) {
            let amounts = lease.amounts.iter();
            let amounts = amounts.map(|BudgetAmount { budget, amount }| format!("{budget}={amount}"));
            log(BudgetLogEvent::Leased {
                at: lease.at,
                allocator: lease.allocator,
                expires_at: lease.expires_at,
                amounts: &joined(amounts),
            });
        }
        if !self.spends.is_empty() {
            let spends = self.spends.drain(..);
            let spends = spends.map(|Spend { at, budget }| format!("{budget}@{at}"));
            log(BudgetLogEvent::Spent(&joined(spends)));
        }
        if !self.in_use.is_empty() {
            let in_use = self.in_use.drain(..);
            let in_use = in_use.map(|InUse { since, budget, count }| format!("{budget}@{since}={count}"));
            log(BudgetLogEvent::InUse(&joined(in_use)));
        }
    }
}

fn push_bounded<T>(records: &mut Vec<T>, record: T) {
    if records.len() < MAX_RECORDS {
        records.push(record);
    }
}

/// Joins texts with commas.
fn joined(texts: impl Iterator<Item = String>) -> String {
    let mut joined = String::new();
    for text in texts {
        let separator = if joined.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(joined, "{separator}{text}");
    }
    joined
}
