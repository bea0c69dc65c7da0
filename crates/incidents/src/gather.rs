//! Reads evidence out of stores, one pass over their blocks.

use crate::evidence::{Count, Evidence, Proxy, StaleRead, State};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use wharfplank_records::reader::{BlockFilter, NameKind, StoreReader, StoreSet};
use wharfplank_records::store::SUMMARY_WINDOW;
use wharfplank_records::{Micros, Outcome, Record};

/// Up to this span bins are one second, past it ten.
const FINE: Micros = 3_600_000_000;
const SECOND: Micros = 1_000_000;

/// What the stores say of a span; what cannot be read stands in [`Evidence::problems`]. Each store is read by a thread
/// of its own.
pub fn gather(set: &StoreSet, from: Micros, to: Micros) -> Evidence {
    let bin = if to - from <= FINE { SECOND } else { 10 * SECOND };
    let mut evidence = Evidence { from, to, bin, problems: set.problem_texts(), ..Evidence::default() };
    let frame = Evidence { from, to, bin, ..Evidence::default() };
    let parts: Vec<(&StoreReader, Result<Part, String>)> = std::thread::scope(|scope| {
        let read = |source: &StoreReader| {
            let (path, frame) = (source.path.clone(), &frame);
            scope.spawn(move || {
                let source = StoreReader::open(&path).map_err(|e| e.to_string())?;
                read(&source, frame)
            })
        };
        let threads: Vec<_> = set.stores.iter().map(|source| (source, read(source))).collect();
        let join = |thread: std::thread::ScopedJoinHandle<'_, Result<Part, String>>| {
            thread.join().unwrap_or_else(|_| Err("reading it failed".to_string()))
        };
        threads.into_iter().map(|(source, thread)| (source, join(thread))).collect()
    });
    for (source, part) in parts {
        let mut part = part.unwrap_or_else(|e| {
            evidence.problems.push(format!("{}: {e}", source.proxy));
            Part::default()
        });
        part.proxy.alive = source.runs.iter().map(|r| (r.started_at, r.last_alive_at)).collect();
        part.proxy.gaps.extend(source.gaps());
        part.proxy.alive.retain(|(a, b)| *a <= to && from <= *b);
        part.proxy.gaps.retain(|g| g.from <= to && from <= g.to);
        evidence.proxies.insert(source.proxy.clone(), part.proxy);
        evidence.zones.extend(part.zones);
        evidence.problems.extend(part.notes);
        evidence.stale.extend(part.stale);
        evidence.stale_count += part.stale_count;
    }
    evidence.stale.sort_by_key(|s| s.at);
    evidence.stale.truncate(Evidence::STALE_MOST);
    evidence
}

/// What one store says.
#[derive(Default)]
struct Part {
    proxy: Proxy,
    zones: BTreeMap<String, String>,
    stale: Vec<StaleRead>,
    stale_count: u64,
    /// What the reader should know of it.
    notes: Vec<String>,
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

fn read(source: &StoreReader, frame: &Evidence) -> Result<Part, String> {
    let mut part = Part::default();
    let class_name = |run: i64, class: u16| {
        let known = source.name(run, NameKind::Class, class.into());
        known.map_or_else(|| format!("class {class}"), |known| known.name.clone())
    };
    let member_name = |run: i64, member: u32| {
        let known = source.name(run, NameKind::Member, member.into());
        known.map_or_else(|| format!("member {member}"), |known| known.name.clone())
    };
    for run in &source.runs {
        if let Some(zone) = source.name(run.id, NameKind::Proxy, 0) {
            part.proxy.zone = Some(zone.detail.clone());
        }
    }
    let mut tallies: BTreeMap<i64, Tally> = BTreeMap::new();
    let gaps = source.records(frame.from..=frame.to, BlockFilter::All, |run, at, record| {
        let bin = frame.bin_of(at);
        let tally = tallies.entry(run).or_default();
        match record {
            Record::Member { name, zone, .. } => {
                part.zones.insert(name, zone);
            }
            Record::Answer { class, group, member, attempts, took, outcome, staleness } => {
                let attempts = u64::from(attempts);
                tally.answers.entry((bin, class, outcome)).or_default().add(attempts, took);
                if outcome != Outcome::Served {
                    *tally.troubled.entry((bin, group, outcome)).or_default() += 1;
                }
                if let Some(member) = member {
                    // What an answer took says how its member was when it was asked.
                    let bin = frame.bin_of(at - took);
                    tally.served.entry((bin, member, class)).or_default().add(attempts, took);
                }
                if let Some(staleness) = staleness {
                    part.stale_count += 1;
                    if part.stale.len() < Evidence::STALE_MOST {
                        part.stale.push(StaleRead {
                            at,
                            proxy: source.proxy.clone(),
                            class: class_name(run, class),
                            group,
                            needed: staleness.needed,
                            known: staleness.known,
                        });
                    }
                }
            }
            Record::MemberState(seen) => {
                let state = State {
                    at,
                    group: seen.group,
                    primary: seen.primary,
                    active: seen.active,
                    position: seen.position,
                    heard: seen.position_seen_at,
                    suspected: seen.suspected_since.is_some(),
                    in_flight: seen.in_flight,
                };
                let states = tally.states.entry(seen.member).or_default();
                // One state a bin is enough for a long span; the last of it stands.
                match states.last_mut() {
                    Some(last) if frame.bin > SECOND && frame.bin_of(last.at) == bin => *last = state,
                    _ => states.push(state),
                }
            }
            Record::EndpointListed { member, health, .. } => {
                tally.listed.entry(member).or_default().push((at, health))
            }
            _ => {}
        }
    });
    let proxy = &mut part.proxy;
    proxy.gaps.extend(gaps.map_err(|e| e.to_string())?);
    for (run, tally) in tallies {
        let class = |number: u16| class_name(run, number);
        let member = |number: u32| member_name(run, number);
        let mut shared: HashMap<(bool, u32), Arc<str>> = HashMap::new();
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
            let by_member = shared.entry((true, number)).or_insert_with(|| member(number).into()).clone();
            let by_class = shared.entry((false, of.into())).or_insert_with(|| class(of).into()).clone();
            merge(proxy.served.entry((bin, by_member, by_class)).or_default(), count);
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
    summed(source, frame, &mut part)?;
    Ok(part)
}

/// Adds the sums of windows whose records are retired. Of those only the answers by class are known: what members
/// did, and which reads were refused, went with the records, and that is said.
fn summed(source: &StoreReader, frame: &Evidence, part: &mut Part) -> Result<(), String> {
    let kept = source.records_from().map_err(|e| e.to_string())?.unwrap_or(Micros::MAX);
    let mut last = None;
    for sum in source.summaries(frame.from, frame.to).map_err(|e| e.to_string())? {
        let end = sum.window + SUMMARY_WINDOW;
        let Some(outcome) =
            Outcome::from_code(sum.outcome_code).filter(|_| end <= kept && sum.window >= frame.from)
        else {
            continue;
        };
        let class = source.name(sum.run, NameKind::Class, i64::from(sum.class)).map(|n| n.name.clone());
        let class = class.unwrap_or_else(|| format!("class {}", sum.class));
        let key = (frame.bin_of(sum.window), class, outcome);
        let at = part.proxy.answers.entry(key).or_default();
        let Count { count, attempts, took } = *at;
        *at = Count { count: count + sum.count, attempts: attempts + sum.attempts, took: took + sum.took };
        last = last.max(Some(end));
    }
    if let Some(until) = last {
        let second = (until - frame.from) / SECOND;
        part.notes.push(format!("{}: up to second {second} only sums of answers are kept", source.proxy));
    }
    Ok(())
}
