//! The history of budgets from the proxies' logs: leases, units spent and connections held open.

use crate::check::log_entries;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;

const MICROS_PER_MS: i64 = 1000;

/// A change of a level, such as the amount leased out or held open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LevelChange {
    /// The time in microseconds.
    pub at: i64,
    /// The amount of the change.
    pub change: i64,
}

/// The history of one budget at all proxies.
#[derive(Clone, Debug, Default)]
pub(super) struct BudgetHistory {
    /// The changes of the amount leased out.
    pub leased: Vec<LevelChange>,
    /// The times at which units were spent.
    pub spends: Vec<i64>,
    /// The changes of the amount held open.
    pub in_use: Vec<LevelChange>,
}

/// The history of all budgets at all proxies.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    pub by_budget: BTreeMap<u32, BudgetHistory>,
    /// The number of leases in the logs.
    pub leases: u64,
    /// The number of logged changes of the amount held open.
    pub in_use_changes: u64,
}

impl History {
    /// Reads the logs of this number of proxies.
    pub fn read(directory: &Path, proxies: usize) -> History {
        let mut history = History::default();
        for proxy in 0..proxies {
            let log = ProxyLog::new(directory, proxy);
            history.add_leases(&log);
            history.add_spends(&log);
            history.add_in_use(&log);
        }
        history
    }

    fn budget(&mut self, budget: u32) -> &mut BudgetHistory {
        self.by_budget.entry(budget).or_default()
    }

    /// Adds the logged leases. A lease replaces the previous one of the same allocator to the same process.
    fn add_leases(&mut self, log: &ProxyLog) {
        let mut by_allocator: BTreeMap<(usize, i64), Vec<Lease>> = BTreeMap::new();
        for line in log.lines("budget_leased") {
            let lease = Lease::read(&line);
            by_allocator.entry((log.process(lease.from), number(&line, "bank"))).or_default().push(lease);
            self.leases += 1;
        }
        for leases in by_allocator.values() {
            for (index, lease) in leases.iter().enumerate() {
                let replaced_at = leases.get(index + 1).map_or(lease.expires_at, |next| next.from);
                self.add_lease(lease, replaced_at.min(lease.expires_at));
            }
        }
    }

    fn add_lease(&mut self, lease: &Lease, until: i64) {
        if until <= lease.from {
            return;
        }
        for (budget, amount) in &lease.amounts {
            let begin = LevelChange { at: lease.from, change: *amount };
            let end = LevelChange { at: until, change: -amount };
            self.budget(*budget).leased.extend([begin, end]);
        }
    }

    fn add_spends(&mut self, log: &ProxyLog) {
        for line in log.lines("budget_spent") {
            let ahead = number(&line, "ahead_us");
            for (budget, at) in entries(&line, '@') {
                self.budget(budget).spends.push(parse(at) - ahead);
            }
        }
    }

    fn add_in_use(&mut self, log: &ProxyLog) {
        let mut counts: BTreeMap<(usize, u32), i64> = BTreeMap::new();
        for line in log.lines("budget_held") {
            let ahead = number(&line, "ahead_us");
            for (budget, rest) in entries(&line, '@') {
                let Some((at, count)) = rest.split_once('=') else { continue };
                let at = parse(at) - ahead;
                let count = parse(count);
                let before = counts.insert((log.process(at), budget), count).unwrap_or(0);
                self.budget(budget).in_use.push(LevelChange { at, change: count - before });
                self.in_use_changes += 1;
            }
        }
        // What a killed process held open is released when it dies, at the latest when the next process
        // starts.
        for ((process, budget), count) in counts {
            let released = log.next_start(process).map(|at| LevelChange { at, change: -count });
            self.budget(budget).in_use.extend(released);
        }
    }
}

/// A lease as a proxy logged it.
struct Lease {
    from: i64,
    expires_at: i64,
    amounts: Vec<(u32, i64)>,
}

impl Lease {
    fn read(line: &Value) -> Lease {
        Lease {
            from: number(line, "at_us"),
            expires_at: number(line, "ends_us"),
            amounts: entries(line, '=').map(|(budget, amount)| (budget, parse(amount))).collect(),
        }
    }
}

/// The log of one proxy, over all processes that it ran as.
struct ProxyLog<'a> {
    directory: &'a Path,
    proxy: usize,
    /// The start times of the processes.
    starts: Vec<i64>,
}

impl<'a> ProxyLog<'a> {
    fn new(directory: &'a Path, proxy: usize) -> ProxyLog<'a> {
        let start_events = log_entries(directory, proxy, "budgets_started");
        let starts = start_events.iter().map(|line| number(line, "time_ms") * MICROS_PER_MS).collect();
        ProxyLog { directory, proxy, starts }
    }

    fn lines(&self, event: &str) -> Vec<Value> {
        log_entries(self.directory, self.proxy, event)
    }

    /// Returns the number of the process that ran at a time, counted from one.
    fn process(&self, at: i64) -> usize {
        self.starts.iter().filter(|start| **start <= at).count()
    }

    /// Returns the time at which the next process started.
    fn next_start(&self, process: usize) -> Option<i64> {
        self.starts.get(process).copied()
    }
}

/// Returns the entries `budget@rest` or `budget=rest` of a line, which are separated by commas.
fn entries(line: &Value, separator: char) -> impl Iterator<Item = (u32, &str)> {
    let what = line.get("what").and_then(Value::as_str).unwrap_or("");
    what.split(',').filter_map(move |entry| {
        let (budget, rest) = entry.split_once(separator)?;
        Some((budget.parse().ok()?, rest))
    })
}

fn number(line: &Value, name: &str) -> i64 {
    line.get(name).and_then(Value::as_i64).unwrap_or(0)
}

fn parse(text: &str) -> i64 {
    text.parse().unwrap_or(0)
}
