//! `lab incident`: a scripted incident, whose report is compared with the script.

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
/// How far the start and the end of a found incident may lie from the script's. An end shows late where proxies avoid
/// a member, or early where nothing is sent to it any more.
const MAX_START_OFFSET: Micros = 4 * SECOND;
const MAX_END_OFFSET: Micros = 6 * SECOND;

/// Plays a timeline, writes the report, and holds it against the script and what the load counted.
pub fn incident(path: Option<&Path>, directory: &Path) -> Result<(), CommandError> {
    let timeline = load_timeline(path, timeline::INCIDENT)?;
    let ran = play_timeline(&timeline, directory, |_| true)?;
    print_results(&ran);
    let stores = [wharfplank::lab::run::records_directory(directory)];
    let facts = records::facts(&stores, &Span::default())?;
    let (page, json) = (directory.join("report.html"), directory.join("report.json"));
    records::report(&stores, &Span::default(), Some(&page), Some(&json))?;
    println!();
    let mut faults = compare_events(&timeline, &ran, &facts);
    faults.extend(compare_answers(&ran, &facts));
    println!("{} and {} are written", page.display(), json.display());
    match faults.is_empty() {
        true => Ok(()),
        false => Err(CommandError::failed_for(faults)),
    }
}

/// Each scripted trouble must be found, nothing may be invented, and each kill must be a gap.
fn compare_events(timeline: &Timeline, ran: &RunResults, facts: &Facts) -> Vec<String> {
    let mut faults = Vec::new();
    let mut found: Vec<&Incident> = facts.incidents.iter().collect();
    for trouble in &timeline.scripted_faults {
        let (from, to) = (trouble.at as Micros, (trouble.at + trouble.duration) as Micros);
        let (from, to) = (ran.start + from * SECOND, ran.start + to * SECOND);
        let kind = match trouble.kind {
            timeline::FaultKind::SlowApply => Kind::SlowApply,
            timeline::FaultKind::SlowMember => Kind::SlowMember,
            timeline::FaultKind::Partition | timeline::FaultKind::ZoneLoss => Kind::Cut,
            timeline::FaultKind::Failover => Kind::NoPrimary,
            timeline::FaultKind::Drain => Kind::Drain,
            timeline::FaultKind::KillProxy => continue,
        };
        let same = |i: &&Incident| {
            let subject = i.subject.is_empty()
                || i.subject
                    .split([' ', ','])
                    .any(|s| s.trim_start_matches('g') == trouble.targets.trim_start_matches('g'));
            i.kind == kind
                && subject
                && (i.from - from).abs() <= MAX_START_OFFSET
                && (i.to - to).abs() <= MAX_END_OFFSET
        };
        match found.iter().position(same) {
            Some(at) => {
                let i = found.remove(at);
                let off = |a: Micros, b: Micros| (a - b) as f64 / 1e6;
                println!(
                    "found    {kind:?} {}: starts {:+.1} s, ends {:+.1} s off the script",
                    trouble.targets,
                    off(i.from, from),
                    off(i.to, to)
                );
            }
            None => faults.push(format!(
                "missed {kind:?} on {} from second {} for {} s",
                trouble.targets, trouble.at, trouble.duration
            )),
        }
    }
    // Refusals follow from the others: a surge is no event of its own where one of them is on.
    let follows = |i: &&Incident| {
        i.kind == Kind::Surge
            && timeline.scripted_faults.iter().any(|t| (ran.start + t.at as Micros * SECOND) <= i.to)
    };
    for i in found.iter().filter(|i| !follows(i)) {
        faults.push(format!(
            "invented {:?} {} from {:.0} to {:.0}",
            i.kind,
            i.subject,
            facts.seconds_since_start(i.from),
            facts.seconds_since_start(i.to)
        ));
    }
    for (number, at, back) in &ran.kills {
        let proxy = facts.proxies.iter().find(|p| p.name == format!("n{number}"));
        let gap = proxy
            .into_iter()
            .flat_map(|p| &p.gaps)
            .find(|g| g.from <= *at + SECOND / 2 && g.to >= *at && g.to <= *back + SECOND);
        match gap {
            Some(gap) => println!(
                "gap      n{number}: {:.1} to {:.1} ({})",
                facts.seconds_since_start(gap.from),
                facts.seconds_since_start(gap.to),
                gap.cause
            ),
            None => faults.push(format!("the kill of n{number} is no gap")),
        }
    }
    faults
}

/// Answers by proxy and class must be what the load counted, but for those in a gap, which are unknown.
fn compare_answers(ran: &RunResults, facts: &Facts) -> Vec<String> {
    let mut faults = Vec::new();
    let done = ran.load.finished.borrow();
    for (number, _) in ran.load.proxy_addresses.iter().enumerate() {
        let name = format!("n{number}");
        let Some(proxy) = facts.proxies.iter().find(|p| p.name == name) else {
            faults.push(format!("no records of {name}"));
            continue;
        };
        for (i, class) in CLASSES.iter().enumerate() {
            let recorded = proxy.classes.get(class.name).cloned().unwrap_or_default();
            let count = |span: (Micros, Micros), outcome: ClientOutcome| {
                finished_within(&done, number, span).filter(|d| d.class == i && d.outcome == outcome).count()
                    as u64
            };
            let ever = (0, Micros::MAX);
            let kinds = [
                (ClientOutcome::Served, recorded.served + recorded.late),
                (ClientOutcome::Rejected, recorded.rejected.values().sum()),
                (ClientOutcome::Failed, recorded.failed.values().sum()),
            ];
            for (outcome, recorded) in kinds {
                let counted = count(ever, outcome);
                // An answer may be on its way to its client, or back, at a gap's edge.
                let unknown: u64 = proxy
                    .gaps
                    .iter()
                    .map(|g| count((g.from - SECOND / 20, g.to + SECOND / 20), outcome))
                    .sum();
                let edge = proxy.gaps.len() as u64;
                // What a client gave up on may have been answered all the same.
                let late = count(ever, ClientOutcome::TimedOut) + count(ever, ClientOutcome::ConnectionLost);
                if counted > recorded + unknown || recorded > counted + late + edge {
                    faults.push(format!("{name} {} {outcome}: the load counted {counted}, recorded are {recorded}, unknown {unknown}", class.name));
                }
                if unknown > 0 {
                    println!("answers  {name} {} {outcome}: {counted} counted, {recorded} recorded, {unknown} in a gap", class.name);
                }
            }
        }
    }
    if faults.is_empty() {
        println!("answers  by proxy and class are what the load counted, apart from the gaps");
    }
    faults
}
