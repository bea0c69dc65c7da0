//! The leases and spends that the log has not got yet, where each is logged.

use super::BudgetLogEvent;
use std::fmt::Write;
use wharfplank_budget::{BudgetAmount, BudgetId, LeaseGrant, Micros};

/// Records of one kind that are kept between two lines; further ones are left out.
const MAX_RECORDS: usize = 65_536;

/// The leases and spends since the last line.
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
    /// Records that one was spent.
    pub(super) fn record_spend(&mut self, at: Micros, budget: BudgetId) {
        push_bounded(&mut self.spends, Spend { at, budget });
    }

    /// Records how many are in use from now on.
    pub(super) fn record_in_use(&mut self, since: Micros, budget: BudgetId, count: u64) {
        push_bounded(&mut self.in_use, InUse { since, budget, count });
    }

    /// Records a lease that is in force from now on.
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

    /// Logs all records and forgets them.
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

/// Joins texts by commas.
fn joined(texts: impl Iterator<Item = String>) -> String {
    let mut joined = String::new();
    for text in texts {
        let separator = if joined.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(joined, "{separator}{text}");
    }
    joined
}
