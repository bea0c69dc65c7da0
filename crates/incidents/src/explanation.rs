//! Explains in sentences how an incident was found, and what the records do not show.

use crate::evidence::Evidence;
use crate::find::{Confidence, Incident, Kind};
use wharfplank_records::reader::Gap;
use wharfplank_records::Micros;

/// Fills in what was reported, what is inferred and what is unknown.
pub fn explain(evidence: &Evidence, incident: &mut Incident) {
    explain_cause(incident);
    explain_missing_records(evidence, incident);
    if incident.open {
        incident
            .unknown
            .push("It reaches the start or end of the records: it may have lasted longer.".to_string());
    }
    if incident.confidence == Confidence::Weak {
        incident
            .unknown
            .push("The records of most proxies are missing here: the conclusion may be wrong.".to_string());
    }
}

/// States how the incident was found: from a report of discovery or of a proxy, or by inference.
fn explain_cause(incident: &mut Incident) {
    let members = join_names(&incident.members);
    let subject = &incident.subject;
    let length = format_seconds(incident.to - incident.from);
    match incident.kind {
        Kind::SlowApply => incident.inferred.push(format!(
            "The log positions of {members} advanced by less than 60% of the elapsed time, for {length}."
        )),
        Kind::SlowMember => incident.inferred.push(format!(
            "Answers of {members} took at least twice as long as those of other members in the same classes, for {length}."
        )),
        Kind::NoPrimary => incident
            .inferred
            .push(format!("Most proxies knew no usable primary of {subject} for {length}.")),
        Kind::Cut => incident.inferred.push(format!(
            "Proxies in other zones suspected most members of zone {subject} for {length}, but not those of other zones."
        )),
        Kind::RestartWave => incident
            .reported
            .push(format!("The proxies {subject} stopped and started again within {length}.")),
        Kind::Drain => incident.reported.push(format!("Discovery listed {members} as leaving.")),
        Kind::Surge => incident.reported.push(format!(
            "At least 10% of the answers, and at least five per second, were rejections or failures for {length}."
        )),
    }
}

/// States which proxies' records of the incident are missing.
fn explain_missing_records(evidence: &Evidence, incident: &mut Incident) {
    let from = incident.from;
    let to = incident.to;
    for (name, proxy) in &evidence.proxies {
        for gap in proxy.gaps.iter().filter(|gap| gap.from < to && from < gap.to) {
            incident.unknown.push(describe_gap(name, gap, from, to));
        }
        if proxy.alive.iter().all(|(start, end)| *end < from || to < *start) {
            incident.unknown.push(format!("{name}: no records of this span."));
        }
    }
}

/// Describes the part of a gap that lies within a span.
fn describe_gap(proxy: &str, gap: &Gap, from: Micros, to: Micros) -> String {
    let missing = match gap.count {
        Some(count) => format!("{count} records"),
        None => "an unknown number of records".to_string(),
    };
    let length = format_seconds(gap.to.min(to) - gap.from.max(from));
    format!("{proxy}: {}, a gap of {length}; {missing} missing.", gap.cause.name())
}

fn format_seconds(span: Micros) -> String {
    format!("{:.1} s", span as f64 / 1e6)
}

fn join_names(names: &[String]) -> String {
    match names {
        [] => "no member".to_string(),
        [one] => one.clone(),
        [others @ .., last] => format!("{} and {last}", others.join(", ")),
    }
}
