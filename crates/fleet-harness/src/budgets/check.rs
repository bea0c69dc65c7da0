//! The checker of budgets: from all proxies' logs it adds up what was in force, spent and held at any time, and counts
//! where that was more than the whole.

use crate::check::lines;
use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Clocks of processes are read once from the machine's: they may differ by a little, and a second counts as shorter by
/// this, in µs.
const APART: i64 = 1_000;
const SECOND: i64 = 1_000_000;

/// What was found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Found {
    /// Leases that were told, units spent and changes of what is held.
    pub leases: u64,
    /// See `leases`.
    pub spends: u64,
    /// See `leases`.
    pub changes: u64,
    /// Times at which more was in force than the whole.
    pub in_force: u64,
    /// Spends with which a second had more than the whole.
    pub spent: u64,
    /// Times at which more was held than the whole.
    pub held: u64,
    /// Spends of the first budget, sorted by time.
    #[serde(skip)]
    pub times: Vec<i64>,
    /// How leases of the first budget changed what was in force, and when.
    #[serde(skip)]
    pub in_force_of_first: Vec<(i64, i64)>,
}

impl Found {
    /// What was leased out of the first budget and in force at a time.
    pub fn leased(&self, at: i64) -> i64 {
        self.in_force_of_first.iter().filter(|(when, _)| *when <= at).map(|(_, change)| change).sum()
    }

    /// All breaches.
    pub fn breaches(&self) -> u64 {
        self.in_force + self.spent + self.held
    }
}

/// A lease: from when, until when, and the line that tells of it.
type Lease = (i64, i64, Value);

/// What is told in one line, as `number@time` or `number=amount`, apart by commas.
fn parts(line: &Value, between: char) -> impl Iterator<Item = (u32, &str)> {
    let what = line.get("what").and_then(Value::as_str).unwrap_or("");
    what.split(',').filter_map(move |one| {
        let (budget, rest) = one.split_once(between)?;
        Some((budget.parse().ok()?, rest))
    })
}

fn number(line: &Value, name: &str) -> i64 {
    line.get(name).and_then(Value::as_i64).unwrap_or(0)
}

/// The most that the sum of values which change at times has been: how often it was more than `most`.
fn past(mut changes: Vec<(i64, i64)>, most: u64) -> u64 {
    // What ends at a time ends before what begins then.
    changes.sort_unstable();
    let (mut sum, mut past) = (0, 0);
    for (_, change) in changes {
        sum += change;
        past += u64::from(change > 0 && sum > most as i64);
    }
    past
}

/// Reads the logs of so many proxies. `whole` gives each budget's whole less what is not leased: first what banks may
/// have leased out, then what may be spent or held.
pub fn check(directory: &Path, proxies: usize, first: u32, whole: impl Fn(u32) -> (u64, u64)) -> Found {
    let mut found = Found::default();
    let mut in_force: BTreeMap<u32, Vec<(i64, i64)>> = BTreeMap::new();
    let mut held: BTreeMap<u32, Vec<(i64, i64)>> = BTreeMap::new();
    let mut spent: BTreeMap<u32, Vec<i64>> = BTreeMap::new();
    for proxy in 0..proxies {
        let starts: Vec<i64> =
            lines(directory, proxy, "budgets_started").iter().map(|l| number(l, "time_ms") * 1000).collect();
        let process = |at: i64| starts.iter().filter(|start| **start <= at).count();
        // One lease of a bank takes the place of the one before it, in the same process.
        let mut leases: BTreeMap<(usize, i64), Vec<Lease>> = BTreeMap::new();
        for line in lines(directory, proxy, "budget_leased") {
            let (at, ends, bank) = (number(&line, "at_us"), number(&line, "ends_us"), number(&line, "bank"));
            leases.entry((process(at), bank)).or_default().push((at, ends, line));
            found.leases += 1;
        }
        for leases in leases.values() {
            for (n, (at, ends, line)) in leases.iter().enumerate() {
                let until = leases.get(n + 1).map_or(*ends, |(next, ..)| *next.min(ends));
                for (budget, amount) in parts(line, '=').filter(|_| until > *at) {
                    let amount = amount.parse().unwrap_or(0);
                    in_force.entry(budget).or_default().extend([(*at, amount), (until, -amount)]);
                }
            }
        }
        for line in lines(directory, proxy, "budget_spent") {
            let ahead = number(&line, "ahead_us");
            for (budget, at) in parts(&line, '@') {
                spent.entry(budget).or_default().push(at.parse().unwrap_or(0) - ahead);
            }
        }
        let mut now: BTreeMap<(usize, u32), (i64, i64)> = BTreeMap::new();
        for line in lines(directory, proxy, "budget_held") {
            let ahead = number(&line, "ahead_us");
            for (budget, rest) in parts(&line, '@') {
                let Some((at, count)) = rest.split_once('=') else { continue };
                let at = at.parse().unwrap_or(0) - ahead;
                let count: i64 = count.parse().unwrap_or(0);
                let before = now.insert((process(at), budget), (at, count)).map_or(0, |(_, count)| count);
                held.entry(budget).or_default().push((at, count - before));
                found.changes += 1;
            }
        }
        // What a process held that was killed is free once it is dead, at the latest when the next one starts.
        for ((process, budget), (_, count)) in now {
            let next = starts.get(process).copied();
            held.entry(budget).or_default().extend(next.map(|at| (at, -count)));
        }
    }
    let budgets: BTreeSet<u32> = in_force.keys().chain(spent.keys()).chain(held.keys()).copied().collect();
    for budget in budgets {
        let (leased, all) = whole(budget);
        let changes = in_force.remove(&budget).unwrap_or_default();
        if budget == first {
            found.in_force_of_first = changes.clone();
        }
        found.in_force += past(changes, leased);
        found.held += past(held.remove(&budget).unwrap_or_default(), all);
        let mut times = spent.remove(&budget).unwrap_or_default();
        times.sort_unstable();
        found.spends += times.len() as u64;
        let within = |n: usize| {
            n.checked_sub(all as usize).is_some_and(|n| times[n + all as usize] - times[n] < SECOND - APART)
        };
        found.spent += (0..times.len()).filter(|n| within(*n)).count() as u64;
        if budget == first {
            found.times = times;
        }
    }
    found
}
