//! Event counts of many proxies, summed from their logs: from the `counts` line that each proxy writes every
//! second at level `debug`, and from the `ended` line of each connection. The sums show events that are rare
//! at one proxy but frequent over all of them.
//!
//! A log is either text (`counts at_ms=… what=a.b=1,…`) or JSON (`{"event":"counts","at_ms":…,"what":"…"}`).
//! A malformed line is skipped and counted.

use std::collections::BTreeMap;

/// The longest series by second: later seconds count only in the totals. Runs of the bench are far shorter.
pub const MAX_SECONDS: usize = 24 * 3600;
/// The most members that are counted by name; the rest are summed under `others`.
pub const MAX_NAMED_MEMBERS: usize = 4096;

/// Sums over all logs read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// The total of each counter over all proxies and seconds, by its name in the log
    /// (`refused.shed.lookup`).
    pub totals: BTreeMap<String, u64>,
    /// Each counter by second since the first second in any log: `by_second[name][second]`.
    pub by_second: BTreeMap<String, Vec<u64>>,
    /// The start of the first second in any log, in Unix milliseconds.
    pub first_ms: Option<u64>,
    /// The number of ended connections to members, by member name and reason.
    pub members: BTreeMap<String, BTreeMap<String, u64>>,
    /// The number of ended connections to members that carried no request, by member name.
    pub unused_connections: BTreeMap<String, u64>,
    /// The number of ended calls to discovery, by reason.
    pub discovery: BTreeMap<String, u64>,
    /// The number of ended client connections, by reason.
    pub clients: BTreeMap<String, u64>,
    /// The number of logs read.
    pub logs: usize,
    /// The number of malformed lines and counters.
    pub malformed: u64,
}

/// A parsed line of a log.
#[derive(Debug, PartialEq)]
enum Line<'a> {
    Counts { at_ms: u64, what: String },
    Ended { side: String, name: String, reason: String, requests: u64 },
    Other,
    Malformed(&'a str),
}

impl Tally {
    /// Adds one proxy's log.
    pub fn add_log(&mut self, text: &str) {
        self.logs += 1;
        // Counters are added last: their places in the series depend on the first second of all logs.
        let mut counts: Vec<(u64, String)> = Vec::new();
        for line in text.lines() {
            match parse(line) {
                Line::Counts { at_ms, what } => counts.push((at_ms, what)),
                Line::Ended { side, name, reason, requests } => self.add_ended(&side, name, reason, requests),
                Line::Other => {}
                Line::Malformed(_) => self.malformed += 1,
            }
        }
        for (at_ms, what) in counts {
            self.add_counts(at_ms, &what);
        }
    }

    fn add_ended(&mut self, side: &str, name: String, reason: String, requests: u64) {
        match side {
            "member" => {
                let is_named = self.members.len() < MAX_NAMED_MEMBERS || self.members.contains_key(&name);
                let name = if is_named { name } else { "others".to_string() };
                if requests == 0 {
                    *self.unused_connections.entry(name.clone()).or_default() += 1;
                }
                *self.members.entry(name).or_default().entry(reason).or_default() += 1;
            }
            "discovery" => *self.discovery.entry(reason).or_default() += 1,
            "client" => *self.clients.entry(reason).or_default() += 1,
            _ => self.malformed += 1,
        }
    }

    fn add_counts(&mut self, at_ms: u64, what: &str) {
        // A `counts` line covers the second before its time.
        let at_ms = at_ms.saturating_sub(1000);
        let first = *self.first_ms.get_or_insert(at_ms);
        if at_ms < first {
            // This log starts before those read so far: shift their series by the difference.
            let shift = ((first - at_ms) / 1000) as usize;
            for row in self.by_second.values_mut() {
                row.splice(0..0, std::iter::repeat_n(0, shift));
                row.truncate(MAX_SECONDS);
            }
            self.first_ms = Some(first - shift as u64 * 1000);
        }
        let second = ((at_ms - self.first_ms.unwrap_or(at_ms)) / 1000) as usize;
        for part in what.split(',') {
            let Some((name, count)) = part.rsplit_once('=') else {
                self.malformed += 1;
                continue;
            };
            let Ok(count) = count.parse::<u64>() else {
                self.malformed += 1;
                continue;
            };
            *self.totals.entry(name.to_string()).or_default() += count;
            if second < MAX_SECONDS {
                let row = self.by_second.entry(name.to_string()).or_default();
                if row.len() <= second {
                    row.resize(second + 1, 0);
                }
                row[second] += count;
            }
        }
    }

    /// Returns the sum of all counters whose names start with `prefix`, such as `refused.` for all
    /// rejections.
    pub fn total(&self, prefix: &str) -> u64 {
        self.totals.iter().filter(|(name, _)| name.starts_with(prefix)).map(|(_, n)| n).sum()
    }

    /// Returns the sum of all counters whose names start with `prefix`, by second.
    pub fn totals_by_second(&self, prefix: &str) -> Vec<u64> {
        let mut sums: Vec<u64> = Vec::new();
        for (_, row) in self.by_second.iter().filter(|(name, _)| name.starts_with(prefix)) {
            if sums.len() < row.len() {
                sums.resize(row.len(), 0);
            }
            sums.iter_mut().zip(row).for_each(|(s, n)| *s += n);
        }
        sums
    }

    /// Renders the sums as text: totals, ended connections, and a series by second for each of `prefixes`.
    pub fn render(&self, prefixes: &[String]) -> String {
        let mut out = String::new();
        let served = self.total("served.");
        out.push_str(&format!("logs {}, lines not read {}\n", self.logs, self.malformed));
        out.push_str(&format!("{:<48} {:>10} {:>10}\n", "counter", "total", "per served"));
        for (name, count) in &self.totals {
            let per_served = if served > 0 { *count as f64 / served as f64 } else { 0.0 };
            out.push_str(&format!("{name:<48} {count:>10} {per_served:>10.3}\n"));
        }
        let ended: u64 = self.members.values().flat_map(|r| r.values()).sum();
        let unused: u64 = self.unused_connections.values().sum();
        out.push_str(&format!(
            "member connections ended {ended} ({unused} carried nothing) over {} members\n",
            self.members.len()
        ));
        let mut busiest: Vec<(&String, u64)> =
            self.members.iter().map(|(name, reasons)| (name, reasons.values().sum())).collect();
        busiest.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
        for (name, count) in busiest.iter().take(10) {
            let reasons: Vec<String> = self.members[*name].iter().map(|(r, n)| format!("{r}={n}")).collect();
            out.push_str(&format!("  {name:<24} {count:>8}  {}\n", reasons.join(" ")));
        }
        for (title, table) in
            [("discovery calls ended", &self.discovery), ("client connections ended", &self.clients)]
        {
            let parts: Vec<String> = table.iter().map(|(r, n)| format!("{r}={n}")).collect();
            out.push_str(&format!("{title}: {}\n", parts.join(" ")));
        }
        for prefix in prefixes {
            let row = self.totals_by_second(prefix);
            let cells: Vec<String> = row.iter().map(u64::to_string).collect();
            out.push_str(&format!("by second {prefix}*: {}\n", cells.join(" ")));
        }
        out
    }
}

/// Parses a line of the log in either form.
fn parse(line: &str) -> Line<'_> {
    // A line of the text form may start with a time that the bench added: the event's name is the first word
    // that is no number.
    let trimmed = line.trim();
    if trimmed.is_empty() {
        return Line::Other;
    }
    if trimmed.starts_with('{') {
        let Ok(value) = serde_json::from_str::<serde_json::Value>(trimmed) else {
            return Line::Malformed(line);
        };
        let field = |name: &str| value.get(name).and_then(|v| v.as_str()).map(str::to_string);
        let number = |name: &str| value.get(name).and_then(serde_json::Value::as_u64);
        return match field("event").as_deref() {
            Some("counts") => match (number("at_ms"), field("what")) {
                (Some(at_ms), Some(what)) => Line::Counts { at_ms, what },
                _ => Line::Malformed(line),
            },
            Some("ended") => match (field("side"), field("reason")) {
                (Some(side), Some(reason)) => Line::Ended {
                    side,
                    name: field("name").unwrap_or_default(),
                    reason,
                    requests: number("requests").unwrap_or(0),
                },
                _ => Line::Malformed(line),
            },
            Some(_) => Line::Other,
            None => Line::Malformed(line),
        };
    }
    let mut words = trimmed.split(' ').skip_while(|w| w.parse::<f64>().is_ok());
    let Some(event) = words.next() else { return Line::Other };
    let parts: BTreeMap<&str, &str> = words.filter_map(|w| w.split_once('=')).collect();
    match event {
        "counts" => match (parts.get("at_ms").and_then(|v| v.parse().ok()), parts.get("what")) {
            (Some(at_ms), Some(what)) => Line::Counts { at_ms, what: what.to_string() },
            _ => Line::Malformed(line),
        },
        "ended" => match (parts.get("side"), parts.get("reason")) {
            (Some(side), Some(reason)) => Line::Ended {
                side: side.to_string(),
                name: parts.get("name").copied().unwrap_or("-").to_string(),
                reason: reason.to_string(),
                requests: parts.get("requests").and_then(|v| v.parse().ok()).unwrap_or(0),
            },
            _ => Line::Malformed(line),
        },
        _ => Line::Other,
    }
}
