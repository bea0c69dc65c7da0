//! What an incident's statement rests on, in words.

use crate::evidence::Evidence;
use crate::find::{Incident, Kind, Strength};
use wharfplank_records::Micros;

fn seconds(span: Micros) -> String {
    format!("{:.1} s", span as f64 / 1e6)
}

fn list(names: &[String]) -> String {
    match names {
        [] => "no member".to_string(),
        [one] => one.clone(),
        [all @ .., last] => format!("{} and {last}", all.join(", ")),
    }
}

/// Fills in what was told, what is inferred and what is not known.
pub fn explain(evidence: &Evidence, incident: &mut Incident) {
    let members = list(&incident.members);
    let span = seconds(incident.to - incident.from);
    match incident.kind {
        Kind::SlowApply => incident.inferred.push(format!(
            "The positions that {members} told gained less than six tenths of the time that passed, for {span}."
        )),
        Kind::SlowMember => incident
            .inferred
            .push(format!("Answers of {members} took at least twice as long as the same classes elsewhere, for {span}.")),
        Kind::NoPrimary => incident
            .inferred
            .push(format!("Most proxies knew no usable primary of {} for {span}.", incident.subject)),
        Kind::Cut => incident.inferred.push(format!(
            "Proxies elsewhere suspected most members of zone {} for {span}, and not those of other zones.",
            incident.subject
        )),
        Kind::RestartWave => incident
            .told
            .push(format!("The proxies {} ended and started again within {span}.", incident.subject)),
        Kind::Drain => incident.told.push(format!("Discovery listed {members} as leaving.")),
        Kind::Surge => incident
            .told
            .push(format!("At least a tenth of the answers, and five a second, were refusals or failures for {span}.")),
    }
    let (from, to) = (incident.from, incident.to);
    for (name, proxy) in &evidence.proxies {
        for gap in proxy.gaps.iter().filter(|g| g.from < to && from < g.to) {
            let missing =
                gap.count.map_or("an unknown number of records".to_string(), |n| format!("{n} records"));
            let span = seconds(gap.to.min(to) - gap.from.max(from));
            incident.unknown.push(format!("{name}: {} of {span}, {missing} missing.", gap.cause.name()));
        }
        if proxy.alive.iter().all(|(a, b)| *b < from || to < *a) {
            incident.unknown.push(format!("{name}: no records of this time."));
        }
    }
    if incident.open {
        incident.unknown.push("It went on at an end of the records: it may have been longer.".to_string());
    }
    if incident.strength == Strength::Weak {
        incident
            .unknown
            .push("The records of most proxies are missing here: it may have been otherwise.".to_string());
    }
}
