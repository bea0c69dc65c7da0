//! Reads evidence out of stores, one pass over their blocks.

use crate::evidence::{Count, Evidence, Proxy, StaleRead, State};
use std::collections::{BTreeMap, HashMap};
use wharfplank_records::reader::{Reader, Source};
use wharfplank_records::{Micros, Outcome, Record};

/// Up to this span bins are one second, past it ten.
const FINE: Micros = 3_600_000_000;
const SECOND: Micros = 1_000_000;

/// What the stores say of a span; what cannot be read stands in [`Evidence::problems`].
pub fn gather(reader: &Reader, from: Micros, to: Micros) -> Evidence {
    let bin = if to - from <= FINE { SECOND } else { 10 * SECOND };
    let mut evidence = Evidence { from, to, bin, problems: reader.problems.clone(), ..Evidence::default() };
    for source in &reader.sources {
        let mut proxy = Proxy {
            alive: source.runs.iter().map(|r| (r.started, r.alive)).collect(),
            gaps: source.gaps(),
            ..Proxy::default()
        };
        match read(source, &mut evidence, &mut proxy) {
            Ok(()) => {}
            Err(e) => evidence.problems.push(format!("{}: {e}", source.proxy)),
        }
        proxy.alive.retain(|(a, b)| *a <= to && from <= *b);
        proxy.gaps.retain(|g| g.from <= to && from <= g.to);
        evidence.proxies.insert(source.proxy.clone(), proxy);
    }
    evidence.stale.sort_by_key(|s| s.at);
    evidence
}

/// Counts of one run by numbers: names come in once at the end, since a day has millions of answers.
#[derive(Default)]
struct Tally {
    answers: HashMap<(Micros, u16, Outcome), Count>,
    served: HashMap<(Micros, u32, u16), Count>,
    troubled: HashMap<(Micros, u64, Outcome), u64>,
    states: HashMap<u32, Vec<State>>,
    listed: HashMap<u32, Vec<(Micros, String)>>,
}

fn read(source: &Source, evidence: &mut Evidence, proxy: &mut Proxy) -> Result<(), String> {
    let name = |run: i64, kind: &str, number: i64| {
        let known = source.name(run, kind, number).map(|n| n.name.clone());
        known.unwrap_or_else(|| format!("{kind} {number}"))
    };
    for run in &source.runs {
        if let Some(zone) = source.name(run.run, "proxy", 0) {
            proxy.zone = Some(zone.more.clone());
        }
    }
    let span = (evidence.from, evidence.to);
    let mut tallies: BTreeMap<i64, Tally> = BTreeMap::new();
    let gaps = source.records(span, false, |run, at, record| {
        let bin = evidence.bin_of(at);
        let tally = tallies.entry(run).or_default();
        match record {
            Record::Name { name, zone, .. } => {
                evidence.zones.insert(name, zone);
            }
            Record::Answer { class, group, member, attempts, took, outcome, stale } => {
                let attempts = u64::from(attempts);
                tally.answers.entry((bin, class, outcome)).or_default().add(attempts, took);
                if outcome != Outcome::Served {
                    *tally.troubled.entry((bin, group, outcome)).or_default() += 1;
                }
                if let Some(member) = member {
                    // What an answer took says how its member was when it was asked.
                    let bin = evidence.bin_of(at - took);
                    tally.served.entry((bin, member, class)).or_default().add(attempts, took);
                }
                if let Some((needed, known)) = stale {
                    evidence.stale_count += 1;
                    if evidence.stale.len() < Evidence::STALE_MOST {
                        let (proxy, class) = (source.proxy.clone(), name(run, "class", i64::from(class)));
                        evidence.stale.push(StaleRead { at, proxy, class, group, needed, known });
                    }
                }
            }
            Record::Seen(seen) => {
                let state = State {
                    at,
                    group: seen.group,
                    primary: seen.primary,
                    active: seen.active,
                    position: seen.position,
                    heard: seen.heard,
                    suspected: seen.suspected.is_some(),
                };
                let states = tally.states.entry(seen.member).or_default();
                // One state a bin is enough for a long span; the last of it stands.
                match states.last_mut() {
                    Some(last) if evidence.bin > SECOND && evidence.bin_of(last.at) == bin => *last = state,
                    _ => states.push(state),
                }
            }
            Record::Listed { member, health, .. } => {
                tally.listed.entry(member).or_default().push((at, health))
            }
            _ => {}
        }
    });
    proxy.gaps.extend(gaps.map_err(|e| e.to_string())?);
    for (run, tally) in tallies {
        let class = |number: u16| name(run, "class", i64::from(number));
        let member = |number: u32| name(run, "member", i64::from(number));
        let merge = |into: &mut Count, of: Count| {
            *into = Count {
                count: into.count + of.count,
                attempts: into.attempts + of.attempts,
                took: into.took + of.took,
            };
        };
        for ((bin, number, outcome), count) in tally.answers {
            merge(proxy.answers.entry((bin, class(number), outcome)).or_default(), count);
        }
        for ((bin, number, of), count) in tally.served {
            merge(proxy.served.entry((bin, member(number), class(of))).or_default(), count);
        }
        for (key, count) in tally.troubled {
            *proxy.troubled.entry(key).or_default() += count;
        }
        for (number, states) in tally.states {
            proxy.states.entry(member(number)).or_default().extend(states);
        }
        for (number, listed) in tally.listed {
            proxy.listed.entry(member(number)).or_default().extend(listed);
        }
    }
    Ok(())
}
