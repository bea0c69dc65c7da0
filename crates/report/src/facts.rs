//! The facts of a report.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_incidents::evidence::StaleRead;
use wharfplank_incidents::{find, Evidence, Incident, Kind, Micros, Strength};
use wharfplank_records::Outcome;

/// The version of the JSON form. It grows when a field changes its meaning or goes; new fields may come without that.
pub const VERSION: u32 = 1;
/// What was heard of a member this long ago says nothing of it now.
const HEARD: Micros = 4_000_000;

/// All facts of a span.
#[derive(Debug, Serialize)]
pub struct Facts {
    /// [`VERSION`].
    pub version: u32,
    /// The span, in µs of Unix time.
    pub from: Micros,
    /// Its end.
    pub to: Micros,
    /// The length of a bin of the series, in µs.
    pub bin: Micros,
    /// What happened, in sentences.
    pub summary: Vec<String>,
    /// The incidents.
    pub incidents: Vec<Incident>,
    /// The proxies.
    pub proxies: Vec<ProxyFacts>,
    /// The members.
    pub members: Vec<MemberFacts>,
    /// Answers by class, over all proxies.
    pub classes: BTreeMap<String, Answers>,
    /// Answers by bin, over all proxies; a bin in which a proxy's records are missing says how many proxies it is of.
    pub series: Vec<BinFacts>,
    /// Reads refused as too stale: how many, and the first of them.
    pub stale_count: u64,
    /// See [`Facts::stale_count`].
    pub stale: Vec<StaleRead>,
    /// What could not be read.
    pub problems: Vec<String>,
}

/// Answers of a class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Answers {
    /// Within the aim.
    pub served: u64,
    /// Later.
    pub late: u64,
    /// Refused, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Failed, by reason.
    pub failed: BTreeMap<String, u64>,
    /// Attempts of all of them.
    pub attempts: u64,
    /// Their times together, in µs.
    pub took: Micros,
}

impl Answers {
    fn add(&mut self, outcome: Outcome, count: u64) {
        match outcome {
            Outcome::Served => self.served += count,
            Outcome::Late => self.late += count,
            Outcome::Rejected(reason) => *self.refused.entry(reason.name().to_string()).or_default() += count,
            Outcome::Failed(reason) => *self.failed.entry(reason.name().to_string()).or_default() += count,
        }
    }

    /// All of them.
    pub fn all(&self) -> u64 {
        self.served + self.late + self.lost()
    }

    /// Refused and failed ones.
    pub fn lost(&self) -> u64 {
        self.refused.values().sum::<u64>() + self.failed.values().sum::<u64>()
    }
}

/// A proxy.
#[derive(Debug, Serialize)]
pub struct ProxyFacts {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: Option<String>,
    /// Its answers by class.
    pub classes: BTreeMap<String, Answers>,
    /// Spans without records, and why.
    pub gaps: Vec<GapFacts>,
}

/// A span without records.
#[derive(Debug, Serialize)]
pub struct GapFacts {
    /// Its start.
    pub from: Micros,
    /// Its end.
    pub to: Micros,
    /// Why.
    pub cause: &'static str,
    /// Records known to be missing; absent where nobody counted.
    pub count: Option<u64>,
}

/// A member.
#[derive(Debug, Serialize)]
pub struct MemberFacts {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: u64,
    /// Its zone.
    pub zone: Option<String>,
    /// By bin: how far it was behind when a proxy last heard of it, in ms; absent where none had lately.
    pub behind_ms: Vec<Option<i64>>,
    /// By bin: whether most proxies that know took it for the primary.
    pub primary: Vec<Option<bool>>,
    /// By bin: how many proxies suspected it.
    pub suspected: Vec<u32>,
    /// By bin: requests of all proxies in flight there, as last seen of each; absent where no proxy tells.
    pub in_flight: Vec<Option<u32>>,
}

/// One bin.
#[derive(Clone, Debug, Default, Serialize)]
pub struct BinFacts {
    /// Its start.
    pub at: Micros,
    /// Proxies whose records cover it.
    pub proxies: usize,
    /// Answers within the aim.
    pub served: u64,
    /// Later ones.
    pub late: u64,
    /// Refused and failed ones, by reason.
    pub lost: BTreeMap<String, u64>,
    /// The same by class: within the aim, later, refused or failed.
    pub classes: BTreeMap<String, (u64, u64, u64)>,
}

impl BinFacts {
    /// Answers within the aim, later ones, and refused or failed ones, of one class or of all.
    pub fn of(&self, class: Option<&str>) -> (u64, u64, u64) {
        match class {
            Some(class) => self.classes.get(class).copied().unwrap_or_default(),
            None => (self.served, self.late, self.lost.values().sum()),
        }
    }
}

impl Facts {
    /// The facts that evidence holds.
    pub fn of(evidence: Evidence) -> Facts {
        let incidents = find(&evidence);
        let mut classes: BTreeMap<String, Answers> = BTreeMap::new();
        let mut proxies = Vec::new();
        let mut bins: BTreeMap<Micros, BinFacts> = BTreeMap::new();
        for at in evidence.bins() {
            let covered = evidence.coverage(at, at + evidence.bin).0;
            bins.insert(at, BinFacts { at, proxies: covered, ..BinFacts::default() });
        }
        for (name, proxy) in &evidence.proxies {
            let mut own: BTreeMap<String, Answers> = BTreeMap::new();
            for ((bin, class, outcome), count) in &proxy.answers {
                for of in [own.entry(class.clone()).or_default(), classes.entry(class.clone()).or_default()] {
                    of.add(*outcome, count.count);
                    of.attempts += count.attempts;
                    of.took += count.took;
                }
                let at = bins.entry(*bin).or_default();
                let of = at.classes.entry(class.clone()).or_default();
                match outcome {
                    Outcome::Served => of.0 += count.count,
                    Outcome::Late => of.1 += count.count,
                    _ => of.2 += count.count,
                }
                match outcome {
                    Outcome::Served => at.served += count.count,
                    Outcome::Late => at.late += count.count,
                    Outcome::Rejected(reason) | Outcome::Failed(reason) => {
                        *at.lost.entry(reason.name().to_string()).or_default() += count.count;
                    }
                }
            }
            let gap = |g: &wharfplank_records::reader::Gap| {
                let (from, to) = (g.from.max(evidence.from), g.to.min(evidence.to));
                GapFacts { from, to, cause: g.cause.name(), count: g.count }
            };
            let gaps = proxy.gaps.iter().map(gap).collect();
            proxies.push(ProxyFacts { name: name.clone(), zone: proxy.zone.clone(), classes: own, gaps });
        }
        let members = members(&evidence);
        let mut facts = Facts {
            version: VERSION,
            from: evidence.from,
            to: evidence.to,
            bin: evidence.bin,
            summary: Vec::new(),
            incidents,
            proxies,
            members,
            classes,
            series: bins.into_values().collect(),
            stale_count: evidence.stale_count,
            stale: evidence.stale,
            problems: evidence.problems,
        };
        facts.summary = facts.sentences();
        facts
    }

    /// Seconds since the span's start.
    pub fn second(&self, at: Micros) -> f64 {
        (at - self.from) as f64 / 1e6
    }

    fn sentences(&self) -> Vec<String> {
        let all: u64 = self.classes.values().map(Answers::all).sum();
        let lost: u64 = self.classes.values().map(Answers::lost).sum();
        let late: u64 = self.classes.values().map(|a| a.late).sum();
        let percent = |n: u64| if all == 0 { 0.0 } else { n as f64 * 100.0 / all as f64 };
        let mut out = vec![format!(
            "{} proxies recorded {all} answers in {:.0} s: {:.1}% in time, {:.1}% late, {:.1}% refused or failed.",
            self.proxies.len(),
            self.second(self.to),
            percent(all - late - lost),
            percent(late),
            percent(lost)
        )];
        for incident in &self.incidents {
            let lost: u64 = incident.refusals.values().sum();
            let sure = match incident.strength {
                Strength::Clear => "",
                Strength::Likely => " Some records of it are missing.",
                Strength::Weak => " Most records of it are missing: it may have been otherwise.",
            };
            out.push(format!(
                "{} from second {:.0} to {:.0}{}; {lost} refusals or failures and {} late answers fall to it.{sure}",
                title(incident),
                self.second(incident.from),
                self.second(incident.to),
                if incident.open { ", where the records end" } else { "" },
                incident.late
            ));
        }
        if self.incidents.is_empty() {
            out.push("No incident was found in what was recorded.".to_string());
        }
        let gaps: Vec<_> = self.proxies.iter().flat_map(|p| p.gaps.iter().map(move |g| (p, g))).collect();
        for (proxy, gap) in &gaps {
            let missing = gap.count.map_or("how many answers fell into it is unknown".to_string(), |n| {
                format!("{n} records are missing")
            });
            out.push(format!(
                "Nothing is known of {} from second {:.1} to {:.1} ({}): {missing}.",
                proxy.name,
                self.second(gap.from),
                self.second(gap.to),
                gap.cause
            ));
        }
        if self.stale_count > 0 {
            let of = self.stale.len() as u64;
            let shown =
                if of < self.stale_count { format!(" The first {of} are listed.") } else { String::new() };
            out.push(format!("{} reads were refused as too stale.{shown}", self.stale_count));
        }
        out
    }
}

/// An incident's headline.
pub fn title(incident: &Incident) -> String {
    match incident.kind {
        Kind::SlowApply => format!("Slow log apply on {} members", incident.members.len()),
        Kind::SlowMember => format!("Slow member {}", incident.subject),
        Kind::NoPrimary => format!("No primary in {}", incident.subject),
        Kind::Cut => format!("Zone {} cut off", incident.subject),
        Kind::RestartWave => format!("Restarts of {}", incident.subject),
        Kind::Surge => "Surge of refusals".to_string(),
        Kind::Drain => format!("Drain of {}", incident.subject),
    }
}

fn members(evidence: &Evidence) -> Vec<MemberFacts> {
    let bins: Vec<Micros> = evidence.bins().collect();
    let names: BTreeSet<String> = evidence.members().into_iter().map(str::to_string).collect();
    let mut all = Vec::new();
    for name in names {
        let mut behind: Vec<Option<(Micros, i64)>> = vec![None; bins.len()];
        let mut leads: Vec<(u32, u32)> = vec![(0, 0); bins.len()];
        let mut suspected = vec![0; bins.len()];
        let mut in_flight: Vec<Option<u32>> = vec![None; bins.len()];
        let mut group = 0;
        for state in evidence.proxies.values().filter_map(|p| p.states.get(&name)).flatten() {
            group = state.group;
            let since = state.at - evidence.bin_of(evidence.from);
            let Some(i) = usize::try_from(since / evidence.bin).ok().filter(|i| *i < bins.len()) else {
                continue;
            };
            leads[i] = (leads[i].0 + 1, leads[i].1 + u32::from(state.primary));
            suspected[i] += u32::from(state.suspected);
            in_flight[i] = Some(in_flight[i].unwrap_or(0) + state.in_flight);
            if state.heard > 0 && state.at - state.heard <= HEARD {
                let newest = behind[i].is_none_or(|(heard, _)| state.heard > heard);
                if newest {
                    behind[i] = Some((state.heard, (state.heard - state.position) / 1000));
                }
            }
        }
        all.push(MemberFacts {
            zone: evidence.zones.get(&name).cloned(),
            name,
            group,
            behind_ms: behind.into_iter().map(|b| b.map(|(_, ms)| ms.max(0))).collect(),
            primary: leads.into_iter().map(|(n, yes)| (n > 0).then_some(yes * 2 > n)).collect(),
            suspected,
            in_flight,
        });
    }
    all
}
