//! Decides what happened.
//!
//! Each kind has a series of bins in which it holds, does not hold or is unknown; a run of bins in which it holds is
//! an incident of that kind and subject. Runs with a short break between them are one; a bin that nobody knows of ends
//! neither a run nor carries it on for longer than [`BRIDGE`]. Incidents of different kinds or subjects never merge.

use crate::evidence::{Evidence, State};
use crate::words;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_records::reader::GapCause;
use wharfplank_records::{FailureReason, Micros, Outcome};

const SECOND: Micros = 1_000_000;
/// A replica that gained less than this part of the time that passed applies slowly; measured over at least so long.
const SLOW_RATE: f64 = 0.6;
const RATE_SPAN: Micros = 2 * SECOND;
/// More than this part of the replicas applies slowly at a time, and how many at least, that make it one event. A single
/// one that stands still most likely holds a long read.
const MOST: f64 = 0.5;
const LEAST: usize = 2;
/// A member whose answers take this many times as long as those of the others is slow, if there are so many answers
/// within the span looked at.
const SLOW_ANSWERS: f64 = 2.0;
const ANSWERS: u64 = 3;
/// A member that is given this many times its usual work, over so many bins to each side, is crowded.
const CROWDED: f64 = 1.2;
const CROWD: i64 = 2;
/// Bins looked at together, to each side.
const AROUND: i64 = 1;
/// Breaks up to this long do not end an incident; what is shorter than `SHORTEST` is none.
const BRIDGE: Micros = 5 * SECOND;
const SHORTEST: Micros = 3 * SECOND;
/// Single answers vary: a member that is slow for less than this is not told from chance.
const SLOW_SHORTEST: Micros = 6 * SECOND;
/// A knowledge of a member this old is none.
const HEARD: Micros = 4 * SECOND;
/// Proxies that restart within this time of each other do so in a wave.
const WAVE: Micros = 30 * SECOND;
/// Refusals are a surge from so many in a bin of a second on, and from this part of the answers on.
const SURGE: u64 = 5;
const SURGE_PART: f64 = 0.1;
/// Troubled answers fall to an incident until this long after its end: what waited then is still refused.
const AFTER: Micros = 2 * SECOND;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Log apply was slow on many replicas.
    SlowApply,
    /// A member answered slowly.
    SlowMember,
    /// A group had no primary.
    NoPrimary,
    /// A zone was cut off from the others.
    Cut,
    /// Proxies restarted in a wave.
    RestartWave,
    /// Many requests were refused or failed.
    Surge,
    /// A member drained.
    Drain,
}

/// How much stands behind a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strength {
    /// One proxy alone, or records are missing for most of the time.
    Weak,
    /// Some proxies' records are missing for a part of it.
    Likely,
    /// All proxies' records cover it.
    Clear,
}

impl Strength {
    /// Its name for people.
    pub fn name(self) -> &'static str {
        match self {
            Strength::Weak => "weak",
            Strength::Likely => "likely",
            Strength::Clear => "clear",
        }
    }
}

/// One incident.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Incident {
    /// What happened.
    pub kind: Kind,
    /// The member, group or zone, empty for the fleet.
    pub subject: String,
    /// Its start, in µs of Unix time, to the bin.
    pub from: Micros,
    /// Its end.
    pub to: Micros,
    /// Whether it went on when the records end, or before they begin.
    pub open: bool,
    /// Members touched.
    pub members: Vec<String>,
    /// Groups touched.
    pub groups: Vec<u64>,
    /// How sure it is.
    pub strength: Strength,
    /// What discovery or the members told.
    pub told: Vec<String>,
    /// What follows from measurements.
    pub inferred: Vec<String>,
    /// What is not known.
    pub unknown: Vec<String>,
    /// Refusals and failures that fall to it, by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Late answers that fall to it.
    pub late: u64,
}

/// Bins of one subject: whether the trouble held. A bin that is absent is unknown.
type Series = BTreeMap<Micros, bool>;

/// Answers and their times together, by bin.
type Sums = BTreeMap<Micros, (u64, Micros)>;

/// By group and bin: what each proxy that knows the group takes for its primary.
type Primaries = BTreeMap<u64, BTreeMap<Micros, Vec<Option<String>>>>;

/// All incidents, by their start.
pub fn find(evidence: &Evidence) -> Vec<Incident> {
    let mut all = Vec::new();
    let primaries = primaries(evidence);
    let cuts = cuts(evidence);
    no_primary(evidence, &primaries, &mut all);
    slow_apply(evidence, &primaries, &cuts, &mut all);
    slow_members(evidence, &mut all);
    for (zone, series) in &cuts {
        let members: Vec<String> =
            evidence.zones.iter().filter(|(_, z)| *z == zone).map(|(name, _)| name.clone()).collect();
        for run in runs(evidence, series) {
            all.push(incident(evidence, Kind::Cut, zone, run, members.clone()));
        }
    }
    restarts(evidence, &mut all);
    drains(evidence, &mut all);
    surges(evidence, &mut all);
    all.iter_mut().for_each(|incident| words::explain(evidence, incident));
    all.sort_by(|a, b| (a.from, a.kind, &a.subject).cmp(&(b.from, b.kind, &b.subject)));
    all
}

/// Runs of bins in which something held, as times, and whether they touch an end of the records.
fn runs(evidence: &Evidence, series: &Series) -> Vec<(Micros, Micros, bool)> {
    let mut runs: Vec<(Micros, Micros)> = Vec::new();
    let mut broken = true;
    for (at, holds) in series {
        let end = at + evidence.bin;
        match runs.last_mut() {
            _ if !holds => {
                // Only a break that is known to be long ends a run; see below for the unknown.
                broken |= runs.last().is_some_and(|(_, to)| at - to >= BRIDGE);
            }
            Some((_, to)) if !broken && at - *to <= BRIDGE.max(evidence.bin) => *to = end,
            _ => {
                runs.push((*at, end));
                broken = false;
            }
        }
    }
    let (first, last) =
        (series.keys().next().copied().unwrap_or(0), series.keys().last().copied().unwrap_or(0));
    let long = runs.into_iter().filter(|(from, to)| to - from >= SHORTEST.max(evidence.bin));
    long.map(|(from, to)| (from, to, from <= first || to >= last + evidence.bin)).collect()
}

/// By group and bin: the members that proxies take for the primary; a bin in which no proxy knows is absent.
fn primaries(evidence: &Evidence) -> Primaries {
    let mut all = Primaries::new();
    for proxy in evidence.proxies.values() {
        let mut by: BTreeMap<(u64, Micros), Option<String>> = BTreeMap::new();
        for (name, states) in &proxy.states {
            for state in states {
                let at = by.entry((state.group, evidence.bin_of(state.at))).or_default();
                if state.primary && !state.suspected {
                    *at = Some(name.clone());
                }
            }
        }
        for ((group, bin), primary) in by {
            all.entry(group).or_default().entry(bin).or_default().push(primary);
        }
    }
    all
}

fn no_primary(evidence: &Evidence, primaries: &Primaries, all: &mut Vec<Incident>) {
    for (group, bins) in primaries {
        // A proxy that has just started does not know it yet: most of them must miss it.
        let lacks = |seen: &Vec<Option<String>>| seen.iter().filter(|p| p.is_none()).count() * 2 > seen.len();
        let series: Series = bins.iter().map(|(bin, seen)| (*bin, lacks(seen))).collect();
        for run in runs(evidence, &series) {
            let of = |states: &Vec<State>| states.iter().any(|s| s.group == *group);
            let members: BTreeSet<&String> = evidence
                .proxies
                .values()
                .flat_map(|p| p.states.iter().filter(|(_, states)| of(states)).map(|(name, _)| name))
                .collect();
            let members = members.into_iter().cloned().collect();
            all.push(incident(evidence, Kind::NoPrimary, &format!("group {group}"), run, members));
        }
    }
}

/// By member and bin: the part of the time that its position gained, as the proxies heard it.
fn rates(evidence: &Evidence) -> BTreeMap<&str, BTreeMap<Micros, f64>> {
    let mut all: BTreeMap<&str, BTreeMap<Micros, f64>> = BTreeMap::new();
    for name in evidence.members() {
        // What any proxy heard counts for all: positions are the member's own.
        let mut heard: BTreeMap<Micros, Micros> = BTreeMap::new();
        for state in evidence.proxies.values().filter_map(|p| p.states.get(name)).flatten() {
            if state.heard > 0 && state.position > 0 {
                let at = heard.entry(state.heard).or_default();
                *at = (*at).max(state.position);
            }
        }
        let points: Vec<(Micros, Micros)> = heard.into_iter().collect();
        let mut from = 0;
        for to in 1..points.len() {
            while from + 1 < to && points[to].0 - points[from + 1].0 >= RATE_SPAN {
                from += 1;
            }
            let (a, b) = (points[from], points[to]);
            let span = b.0 - a.0;
            if !(RATE_SPAN..=HEARD.max(evidence.bin) + RATE_SPAN).contains(&span) {
                continue;
            }
            let rate = (b.1 - a.1) as f64 / span as f64;
            // The rate holds for the midst of what it was measured over.
            let middle = evidence.bin_of(a.0 + span / 2);
            all.entry(name).or_default().insert(middle, rate);
        }
    }
    all
}

fn slow_apply(
    evidence: &Evidence,
    primaries: &Primaries,
    cuts: &BTreeMap<String, Series>,
    all: &mut Vec<Incident>,
) {
    let rates = rates(evidence);
    let group = |name: &str| {
        evidence.proxies.values().filter_map(|p| p.states.get(name)).flatten().map(|s| s.group).next()
    };
    let (mut series, mut slow_at): (Series, BTreeMap<Micros, Vec<&str>>) = Default::default();
    for bin in evidence.bins() {
        let (mut known, mut slow) = (0, Vec::new());
        for (name, rates) in &rates {
            let Some(rate) = rates.get(&bin) else { continue };
            // Positions stand still without a primary, and behind a cut: that is another kind.
            let seen = group(name).and_then(|g| primaries.get(&g)).and_then(|bins| bins.get(&bin));
            let led = seen.is_some_and(|seen| seen.iter().flatten().next().is_some());
            let leads = seen.is_some_and(|seen| seen.iter().flatten().any(|p| p == name));
            let cut =
                evidence.zones.get(*name).and_then(|z| cuts.get(z)).and_then(|s| s.get(&bin)) == Some(&true);
            if led && !leads && !cut {
                known += 1;
                if *rate < SLOW_RATE {
                    slow.push(*name);
                }
            }
        }
        // What a few tell says nothing of most.
        if known * 2 > rates.len() {
            series.insert(bin, slow.len() >= LEAST && slow.len() as f64 > known as f64 * MOST);
            slow_at.insert(bin, slow);
        }
    }
    for run in runs(evidence, &series) {
        // One that stood still for a moment in it held a long read: it must have been slow for a good part.
        let within = || slow_at.range(run.0..run.1);
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        within().flat_map(|(_, names)| names).for_each(|name| *counts.entry(name).or_default() += 1);
        let known = within().count();
        let members = counts.into_iter().filter(|(_, n)| n * 2 >= known).map(|(name, _)| name.to_string());
        all.push(incident(evidence, Kind::SlowApply, "", run, members.collect()));
    }
}

/// By member and bin: how many times as long its answers took as those of its class elsewhere.
fn slow_members(evidence: &Evidence, all: &mut Vec<Incident>) {
    let mut took: BTreeMap<(&str, &str), Sums> = BTreeMap::new();
    for ((bin, member, class), count) in evidence.proxies.values().flat_map(|p| &p.served) {
        let at = took.entry((&**member, &**class)).or_default().entry(*bin).or_default();
        *at = (at.0 + count.count, at.1 + count.took);
    }
    // What a class takes: the median of its members' means, so that one slow member does not move it.
    let mut usual: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    for ((_, class), bins) in &took {
        let (count, sum) = bins.values().fold((0, 0), |(c, s), (count, took)| (c + count, s + took));
        if count >= ANSWERS {
            usual.entry(class).or_default().push(sum as f64 / count as f64);
        }
    }
    let usual: BTreeMap<&str, f64> = usual
        .into_iter()
        .map(|(class, mut means)| {
            means.sort_by(f64::total_cmp);
            (class, means[(means.len() - 1) / 2].max(1.0))
        })
        .collect();
    let mut ratios: BTreeMap<&str, BTreeMap<Micros, (u64, f64)>> = BTreeMap::new();
    let mut work: BTreeMap<&str, BTreeMap<Micros, f64>> = BTreeMap::new();
    let mut covered: BTreeMap<Micros, (usize, usize)> = BTreeMap::new();
    for ((member, class), bins) in &took {
        let Some(usual) = usual.get(class) else { continue };
        for (bin, (count, took)) in bins {
            let at = ratios.entry(member).or_default().entry(*bin).or_default();
            *at = (at.0 + count, at.1 + *took as f64 / usual);
            // Of proxies whose records are missing nobody knows what they gave it: taken as much as the others.
            let (known, proxies) =
                *covered.entry(*bin).or_insert_with(|| evidence.coverage(*bin, bin + evidence.bin));
            let of = work.entry(member).or_default().entry(*bin).or_default();
            *of += *count as f64 * usual * proxies as f64 / known.max(1) as f64;
        }
    }
    // Where most members are slow at once it is load, or the network, and none of them.
    let ratio = |bins: &BTreeMap<Micros, (u64, f64)>, bin: Micros| {
        let around = bins.range(bin - AROUND * evidence.bin..=bin + AROUND * evidence.bin);
        let (count, sum) = around.fold((0, 0.0), |(c, s), (_, (count, ratio))| (c + count, s + ratio));
        (count >= ANSWERS).then(|| sum / count as f64)
    };
    let most = ratios.values().flat_map(BTreeMap::keys).max().copied().unwrap_or(0);
    for (member, bins) in &ratios {
        let mut series = Series::new();
        let own_work = &work[member];
        let mut usual: Vec<f64> = own_work.values().copied().collect();
        usual.sort_by(f64::total_cmp);
        let usual = usual[usual.len() / 4];
        // One that is given more than it usually is, and more than others, answers late because of that: it is
        // crowded, and not at fault. A slow one is avoided.
        let given = |work: &BTreeMap<Micros, f64>, bin: Micros| {
            work.range(bin - CROWD * evidence.bin..=bin + CROWD * evidence.bin)
                .map(|(_, work)| work)
                .sum::<f64>()
        };
        let crowded = |bin: Micros| {
            let own = given(own_work, bin);
            let others = work.iter().filter(|(m, _)| *m != member).map(|(_, work)| given(work, bin));
            let mean = others.sum::<f64>() / (work.len().max(2) - 1) as f64;
            own >= CROWDED * usual * (2 * CROWD + 1) as f64 && own >= CROWDED * mean
        };
        for bin in evidence.bins().take_while(|bin| *bin < most) {
            let Some(own) = ratio(bins, bin) else { continue };
            let mut others: Vec<f64> =
                ratios.iter().filter(|(m, _)| *m != member).filter_map(|(_, b)| ratio(b, bin)).collect();
            others.sort_by(f64::total_cmp);
            let middle = others.get(others.len() / 2).copied().unwrap_or(1.0).max(0.5);
            series.insert(bin, own >= SLOW_ANSWERS * middle.max(1.0) && !crowded(bin));
        }
        for run in runs(evidence, &series).into_iter().filter(|(from, to, _)| to - from >= SLOW_SHORTEST) {
            all.push(incident(evidence, Kind::SlowMember, member, run, vec![member.to_string()]));
        }
    }
}

/// By zone and bin: whether proxies elsewhere suspect most of its members, while those inside do not, or the other
/// way round for the rest.
fn cuts(evidence: &Evidence) -> BTreeMap<String, Series> {
    let zones: BTreeSet<&String> = evidence.zones.values().collect();
    let mut all: BTreeMap<String, Series> = BTreeMap::new();
    for zone in zones.iter().filter(|_| zones.len() >= 2) {
        for proxy in evidence.proxies.values().filter(|p| p.zone.as_ref().is_some_and(|z| z != *zone)) {
            let mut inside: BTreeMap<Micros, (u32, u32)> = BTreeMap::new();
            let mut others: BTreeMap<Micros, (u32, u32)> = BTreeMap::new();
            for (name, states) in &proxy.states {
                let of = if evidence.zones.get(name) == Some(*zone) { &mut inside } else { &mut others };
                for state in states.iter().filter(|s| s.active) {
                    let at = of.entry(evidence.bin_of(state.at)).or_default();
                    *at = (at.0 + 1, at.1 + u32::from(state.suspected));
                }
            }
            for (bin, (members, suspected)) in inside {
                let elsewhere = others.get(&bin).is_some_and(|(m, s)| s * 2 < *m);
                let cut = members >= 2 && suspected * 3 >= members * 2 && elsewhere;
                let at = all.entry(zone.to_string()).or_default().entry(bin).or_default();
                *at |= cut;
            }
        }
    }
    all
}

fn restarts(evidence: &Evidence, all: &mut Vec<Incident>) {
    let mut starts: Vec<(Micros, Micros, &String)> = Vec::new();
    for (name, proxy) in &evidence.proxies {
        let again = proxy.gaps.iter().filter(|g| matches!(g.cause, GapCause::Restart | GapCause::Killed));
        starts.extend(again.map(|g| (g.from, g.to, name)));
    }
    starts.sort();
    let mut waves: Vec<Vec<(Micros, Micros, &String)>> = Vec::new();
    for start in starts {
        match waves.last_mut() {
            Some(wave) if wave.last().is_some_and(|last| start.0 - last.1 <= WAVE) => wave.push(start),
            _ => waves.push(vec![start]),
        }
    }
    for wave in waves {
        let proxies: BTreeSet<&String> = wave.iter().map(|(_, _, name)| *name).collect();
        if proxies.len() >= 2 {
            let to = wave.iter().map(|(_, to, _)| *to).max().unwrap_or(0);
            let names: Vec<&str> = proxies.iter().map(|n| n.as_str()).collect();
            all.push(incident(
                evidence,
                Kind::RestartWave,
                &names.join(", "),
                (wave[0].0, to, false),
                vec![],
            ));
        }
    }
}

fn drains(evidence: &Evidence, all: &mut Vec<Incident>) {
    let mut told: BTreeMap<&str, BTreeMap<Micros, &str>> = BTreeMap::new();
    for (name, listed) in evidence.proxies.values().flat_map(|p| &p.listed) {
        told.entry(name).or_default().extend(listed.iter().map(|(at, health)| (*at, health.as_str())));
    }
    for (name, told) in told {
        let mut since = None;
        for (at, health) in told {
            match (health, since) {
                ("leaving", None) => since = Some(at),
                ("leaving", Some(_)) | (_, None) => {}
                (_, Some(from)) => {
                    all.push(incident(
                        evidence,
                        Kind::Drain,
                        name,
                        (from, at, false),
                        vec![name.to_string()],
                    ));
                    since = None;
                }
            }
        }
        if let Some(from) = since {
            all.push(incident(
                evidence,
                Kind::Drain,
                name,
                (from, evidence.to, true),
                vec![name.to_string()],
            ));
        }
    }
}

fn surges(evidence: &Evidence, all: &mut Vec<Incident>) {
    let mut bins: BTreeMap<Micros, (u64, u64)> = BTreeMap::new();
    for ((bin, _, outcome), count) in evidence.proxies.values().flat_map(|p| &p.answers) {
        let lost = !matches!(outcome, Outcome::Served | Outcome::Late);
        let at = bins.entry(*bin).or_default();
        *at = (at.0 + count.count, at.1 + if lost { count.count } else { 0 });
    }
    let least = SURGE * (evidence.bin / SECOND).max(1) as u64;
    let series: Series = bins
        .into_iter()
        .map(|(bin, (all, lost))| (bin, lost >= least && lost as f64 >= all as f64 * SURGE_PART))
        .collect();
    for run in runs(evidence, &series) {
        all.push(incident(evidence, Kind::Surge, "", run, vec![]));
    }
}

/// An incident with what falls to it.
fn incident(
    evidence: &Evidence,
    kind: Kind,
    subject: &str,
    (from, to, open): (Micros, Micros, bool),
    members: Vec<String>,
) -> Incident {
    let groups: BTreeSet<u64> = evidence
        .proxies
        .values()
        .flat_map(|p| members.iter().filter_map(|m| p.states.get(m)))
        .filter_map(|states| states.first().map(|s| s.group))
        .collect();
    let (covering, proxies) = evidence.coverage(from, to);
    let strength = match covering {
        n if n == proxies && proxies > 1 => Strength::Clear,
        n if n * 2 >= proxies && n > 0 => Strength::Likely,
        _ => Strength::Weak,
    };
    let mut refusals: BTreeMap<String, u64> = BTreeMap::new();
    let mut late = 0;
    for ((bin, group, outcome), count) in evidence.proxies.values().flat_map(|p| &p.troubled) {
        let inside = (from..to + AFTER).contains(bin) && (groups.is_empty() || groups.contains(group));
        match outcome {
            _ if !inside => {}
            Outcome::Late => late += count,
            Outcome::Rejected(reason) | Outcome::Failed(reason) if falls(kind, *reason) => {
                *refusals.entry(reason.name().to_string()).or_default() += count;
            }
            _ => {}
        }
    }
    let (groups, subject) = (groups.into_iter().collect(), subject.to_string());
    let (told, inferred, unknown) = Default::default();
    Incident {
        kind,
        subject,
        from,
        to,
        open,
        members,
        groups,
        strength,
        told,
        inferred,
        unknown,
        refusals,
        late,
    }
}

/// Whether a refusal for this reason can be due to an incident of this kind.
fn falls(kind: Kind, reason: FailureReason) -> bool {
    use FailureReason::{
        AttemptsExhausted, DeadlineExceeded, LoadShed, MayHaveRun, NoMember, NoPrimary, QueuedTooLong,
        ShuttingDown, TooStale,
    };
    match kind {
        Kind::SlowApply => matches!(reason, TooStale | LoadShed | QueuedTooLong | DeadlineExceeded),
        Kind::SlowMember => {
            matches!(reason, QueuedTooLong | DeadlineExceeded | AttemptsExhausted | LoadShed | MayHaveRun)
        }
        Kind::NoPrimary => {
            matches!(reason, NoPrimary | TooStale | QueuedTooLong | DeadlineExceeded | MayHaveRun)
        }
        Kind::Cut => reason != ShuttingDown,
        Kind::RestartWave => {
            matches!(reason, ShuttingDown | QueuedTooLong | DeadlineExceeded | TooStale | NoPrimary)
        }
        Kind::Drain => {
            matches!(reason, NoPrimary | NoMember | QueuedTooLong | DeadlineExceeded | AttemptsExhausted)
        }
        Kind::Surge => true,
    }
}
