//! `lab incident`: runs a scripted incident and compares its report with the script.

use super::super::error::CommandError;
use super::super::records::{self, Span};
use super::play::{load_timeline, play_timeline, print_results};
use std::path::Path;
use wharfplank::incidents::{Incident, Kind};
use wharfplank::lab::load::ClientOutcome;
use wharfplank::lab::member_model::CLASSES;
use wharfplank::lab::run::{finished_within, RunResults};
use wharfplank::lab::timeline::{self, Timeline};
use wharfplank::records::Micros;
use wharfplank::report::Facts;

const SECOND: Micros = 1_000_000;
/// The largest difference between the start of a reported incident and the script.
const MAX_START_OFFSET: Micros = 4 * SECOND;
/// The largest difference between the end of a reported incident and the script. An end is noticed late if
/// proxies avoid the member, or early if no more requests are sent to it.
const MAX_END_OFFSET: Micros = 6 * SECOND;

/// Runs a timeline, writes the report, and compares it with the script and with the counts of the load
/// generator.
pub fn incident(path: Option<&Path>, directory: &Path) -> Result<(), CommandError> {
    let timeline = load_timeline(path, timeline::INCIDENT)?;
    let ran = play_timeline(&timeline, directory, |_| true)?;
    print_results(&ran);
    let stores = [wharfplank::lab::run::records_directory(directory)];
    let facts = records::facts(&stores, &Span::default())?;
    let (html, json) = (directory.join("report.html"), directory.join("report.json"));
    records::report(&stores, &Span::default(), Some(&html), Some(&json))?;
    println!();
    let mut faults = compare_events(&timeline, &ran, &facts);
    faults.extend(compare_answers(&ran, &facts));
    println!("wrote {} and {}", html.display(), json.display());
    match faults.is_empty() {
        true => Ok(()),
        false => Err(CommandError::failed_for(faults)),
    }
}

/// Checks that each scripted fault is reported, that no other incident is reported, and that each kill is a
/// gap.
fn compare_events(timeline: &Timeline, ran: &RunResults, facts: &Facts) -> Vec<String> {
    let mut faults = Vec::new();
    let mut unmatched: Vec<&Incident> = facts.incidents.iter().collect();
    for scripted in &timeline.scripted_faults {
        let (from, to) = (scripted.at as Micros, (scripted.at + scripted.duration) as Micros);
        let (from, to) = (ran.start + from * SECOND, ran.start + to * SECOND);
        let kind = match scripted.kind {
            timeline::FaultKind::SlowApply => Kind::SlowApply,
            timeline::FaultKind::SlowMember => Kind::SlowMember,
            timeline::FaultKind::Partition | timeline::FaultKind::ZoneLoss => Kind::Cut,
            timeline::FaultKind::Failover => Kind::NoPrimary,
            timeline::FaultKind::Drain => Kind::Drain,
            timeline::FaultKind::KillProxy => continue,
        };
        let is_match = |i: &&Incident| {
            let subject = i.subject.is_empty()
                || i.subject
                    .split([' ', ','])
                    .any(|s| s.trim_start_matches('g') == scripted.targets.trim_start_matches('g'));
            i.kind == kind
                && subject
                && (i.from - from).abs() <= MAX_START_OFFSET
                && (i.to - to).abs() <= MAX_END_OFFSET
        };
        match unmatched.iter().position(is_match) {
            Some(at) => {
                let i = unmatched.remove(at);
                let offset_s = |a: Micros, b: Micros| (a - b) as f64 / 1e6;
                println!(
                    "found    {kind:?} {}: start differs by {:+.1} s, end by {:+.1} s from the script",
                    scripted.targets,
                    offset_s(i.from, from),
                    offset_s(i.to, to)
                );
            }
            None => faults.push(format!(
                "not reported: {kind:?} on {} from second {} for {} s",
                scripted.targets, scripted.at, scripted.duration
            )),
        }
    }
    // Scripted faults also cause rejections, so a surge that ends after the start of one is not a false
    // report.
    let is_expected_surge = |i: &&Incident| {
        i.kind == Kind::Surge
            && timeline.scripted_faults.iter().any(|t| (ran.start + t.at as Micros * SECOND) <= i.to)
    };
    for i in unmatched.iter().filter(|i| !is_expected_surge(i)) {
        faults.push(format!(
            "not in the script: {:?} {} from {:.0} to {:.0}",
            i.kind,
            i.subject,
            facts.seconds_since_start(i.from),
            facts.seconds_since_start(i.to)
        ));
    }
    for (number, at, back_at) in &ran.kills {
        let proxy = facts.proxies.iter().find(|p| p.name == format!("n{number}"));
        let gap = proxy
            .into_iter()
            .flat_map(|p| &p.gaps)
            .find(|g| g.from <= *at + SECOND / 2 && g.to >= *at && g.to <= *back_at + SECOND);
        match gap {
            Some(gap) => println!(
                "gap      n{number}: {:.1} to {:.1} ({})",
                facts.seconds_since_start(gap.from),
                facts.seconds_since_start(gap.to),
                gap.cause
            ),
            None => faults.push(format!("the kill of n{number} is not reported as a gap")),
        }
    }
    faults
}

/// Checks that the recorded answers by proxy and class match the counts of the load generator, except in
/// gaps.
fn compare_answers(ran: &RunResults, facts: &Facts) -> Vec<String> {
    let mut faults = Vec::new();
    let finished_requests = ran.load.finished.borrow();
    for (number, _) in ran.load.proxy_addresses.iter().enumerate() {
        let name = format!("n{number}");
        let Some(proxy) = facts.proxies.iter().find(|p| p.name == name) else {
            faults.push(format!("no records of {name}"));
            continue;
        };
        for (i, class) in CLASSES.iter().enumerate() {
            let recorded = proxy.classes.get(class.name).cloned().unwrap_or_default();
            let count = |span: (Micros, Micros), outcome: ClientOutcome| {
                finished_within(&finished_requests, number, span)
                    .filter(|d| d.class == i && d.outcome == outcome)
                    .count() as u64
            };
            let always = (0, Micros::MAX);
            let kinds = [
                (ClientOutcome::Served, recorded.served + recorded.late),
                (ClientOutcome::Rejected, recorded.rejected.values().sum()),
                (ClientOutcome::Failed, recorded.failed.values().sum()),
            ];
            for (outcome, recorded) in kinds {
                let counted = count(always, outcome);
                // At the edges of a gap, a request or its answer may be in transit.
                let unknown: u64 = proxy
                    .gaps
                    .iter()
                    .map(|g| count((g.from - SECOND / 20, g.to + SECOND / 20), outcome))
                    .sum();
                let edge = proxy.gaps.len() as u64;
                // The proxy may have answered a request after its client gave up.
                let late =
                    count(always, ClientOutcome::TimedOut) + count(always, ClientOutcome::ConnectionLost);
                if counted > recorded + unknown || recorded > counted + late + edge {
                    faults.push(format!("{name} {} {outcome}: {counted} counted by the load generator, {recorded} recorded, {unknown} in gaps", class.name));
                }
                if unknown > 0 {
                    println!("answers  {name} {} {outcome}: {counted} counted, {recorded} recorded, {unknown} in gaps", class.name);
                }
            }
        }
    }
    if faults.is_empty() {
        println!("answers  by proxy and class match the counts of the load generator, except in gaps");
    }
    faults
}
