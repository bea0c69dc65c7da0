//! Reads evidence out of stores, one pass over their blocks.

use crate::evidence::{Evidence, Proxy, StaleRead, State};
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

fn read(source: &Source, evidence: &mut Evidence, proxy: &mut Proxy) -> Result<(), String> {
    let mut unnamed = 0_u64;
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
    let gaps = source.records(span, false, |run, at, record| {
        let bin = evidence.bin_of(at);
        match record {
            Record::Name { name, zone, .. } => {
                evidence.zones.insert(name, zone);
            }
            Record::Answer { class, group, member, attempts, took, outcome, stale } => {
                let class = name(run, "class", i64::from(class));
                let attempts = u64::from(attempts);
                let key = (bin, class.clone(), outcome);
                proxy.answers.entry(key).or_default().add(attempts, took);
                if outcome != Outcome::Served {
                    *proxy.troubled.entry((bin, group, outcome)).or_default() += 1;
                }
                if let Some(member) = member {
                    let member = name(run, "member", i64::from(member));
                    // What an answer took says how its member was when it was asked.
                    let bin = evidence.bin_of(at - took);
                    proxy.served.entry((bin, member, class.clone())).or_default().add(attempts, took);
                }
                if let Some((needed, known)) = stale {
                    evidence.stale_count += 1;
                    if evidence.stale.len() < Evidence::STALE_MOST {
                        let proxy = source.proxy.clone();
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
                proxy.states.entry(name(run, "member", i64::from(seen.member))).or_default().push(state);
            }
            Record::Listed { member, health, .. } => {
                proxy.listed.entry(name(run, "member", i64::from(member))).or_default().push((at, health));
            }
            _ => unnamed += 1,
        }
    });
    proxy.gaps.extend(gaps.map_err(|e| e.to_string())?);
    Ok(())
}
