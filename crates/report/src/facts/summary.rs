//! The summary of a report, in sentences.

use super::answers::AnswerTotals;
use super::proxies::{GapFacts, ProxyFacts};
use super::Facts;
use wharfplank_incidents::{Confidence, Incident, Kind};

/// Returns the sentences of the summary: all answers, each incident, each gap, and the stale reads.
pub(super) fn summarise(facts: &Facts) -> Vec<String> {
    let mut sentences = vec![describe_answers(facts)];
    sentences.extend(facts.incidents.iter().map(|incident| describe_incident(facts, incident)));
    if facts.incidents.is_empty() {
        sentences.push("No incident was found in the records.".to_string());
    }
    for proxy in &facts.proxies {
        sentences.extend(proxy.gaps.iter().map(|gap| describe_gap(facts, proxy, gap)));
    }
    if facts.stale_read_count > 0 {
        sentences.push(describe_stale_reads(facts));
    }
    sentences
}

/// Returns the title of an incident.
pub fn incident_title(incident: &Incident) -> String {
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

fn describe_answers(facts: &Facts) -> String {
    let total: u64 = facts.classes.values().map(AnswerTotals::total).sum();
    let unsuccessful: u64 = facts.classes.values().map(AnswerTotals::unsuccessful).sum();
    let late: u64 = facts.classes.values().map(|answers| answers.late).sum();
    let percent = |count: u64| if total == 0 { 0.0 } else { count as f64 * 100.0 / total as f64 };
    format!(
        "{} proxies recorded {total} answers in {:.0} s: {:.1}% in time, {:.1}% late, {:.1}% rejected or failed.",
        facts.proxies.len(),
        facts.seconds_since_start(facts.to),
        percent(total - late - unsuccessful),
        percent(late),
        percent(unsuccessful)
    )
}

fn describe_incident(facts: &Facts, incident: &Incident) -> String {
    let rejections: u64 = incident.rejections.values().sum();
    let confidence = match incident.confidence {
        Confidence::Clear => "",
        Confidence::Likely => " Some records of it are missing.",
        Confidence::Weak => " Most records of it are missing: the conclusion may be wrong.",
    };
    format!(
        "{} from second {:.0} to {:.0}{}; {rejections} rejections or failures and {} late answers are attributed to it.{confidence}",
        incident_title(incident),
        facts.seconds_since_start(incident.from),
        facts.seconds_since_start(incident.to),
        if incident.open { ", at the start or end of the records" } else { "" },
        incident.late
    )
}

fn describe_gap(facts: &Facts, proxy: &ProxyFacts, gap: &GapFacts) -> String {
    let missing = match gap.count {
        Some(count) => format!("{count} records are missing"),
        None => "the number of missing records is unknown".to_string(),
    };
    format!(
        "The records of {} have a gap from second {:.1} to {:.1} ({}): {missing}.",
        proxy.name,
        facts.seconds_since_start(gap.from),
        facts.seconds_since_start(gap.to),
        gap.cause
    )
}

fn describe_stale_reads(facts: &Facts) -> String {
    let count = facts.stale_read_count;
    let listed = facts.stale_reads.len() as u64;
    let note = if listed < count { format!(" The first {listed} are listed.") } else { String::new() };
    format!("{count} reads were rejected as too stale.{note}")
}
