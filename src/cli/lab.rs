//! `lab`: the scripted incident and the demonstration.

use super::error::CommandError;
use super::records::Span;
use indicatif::{ProgressBar, ProgressStyle};
use std::path::{Path, PathBuf};
use wharfplank::fleet_harness::schedule::{Scenario, Schedule};
use wharfplank::incidents::{Incident, Kind};
use wharfplank::lab::fleet::CLASSES;
use wharfplank::lab::load::Seen;
use wharfplank::lab::run::{play, within, Place, Ran};
use wharfplank::lab::timeline::{self, Timeline};
use wharfplank::lab::trials;
use wharfplank::records::Micros;
use wharfplank::report::Facts;

const SECOND: Micros = 1_000_000;
/// How far a found start and end may lie from the script's. An end shows late where proxies avoid a member, or early
/// where nothing is sent to it any more.
const STARTS: Micros = 4 * SECOND;
const ENDS: Micros = 6 * SECOND;

pub(super) fn timeline(path: Option<&Path>, own: &str) -> Result<Timeline, CommandError> {
    let text = match path {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|e| CommandError::unusable_settings([format!("{}: {e}", path.display())]))?,
        None => own.to_string(),
    };
    timeline::parse(&text).map_err(CommandError::unusable_settings)
}

fn played(timeline: &Timeline, directory: &Path, records: fn(usize) -> bool) -> Result<Ran, CommandError> {
    played_with(timeline, directory, records, None)
}

pub(super) fn played_with(
    timeline: &Timeline,
    directory: &Path,
    records: fn(usize) -> bool,
    talk: Option<PathBuf>,
) -> Result<Ran, CommandError> {
    std::fs::create_dir_all(directory)
        .map_err(|e| CommandError::failed(format!("{}: {e}", directory.display())))?;
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let directory = directory.canonicalize().map_err(CommandError::failed)?;
    let bar = ProgressBar::new(1000);
    let style =
        ProgressStyle::with_template("{bar:40} {percent}% of {msg} s").map_err(CommandError::failed)?;
    bar.set_style(style);
    bar.set_message(timeline.seconds.to_string());
    let ran = play(timeline, &Place { program, directory, records, talk }, |part| {
        bar.set_position((part * 1000.0) as u64)
    });
    bar.finish_and_clear();
    ran.map_err(CommandError::failed)
}

fn table(ran: &Ran) {
    println!(
        "{:<14} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} {:>8}",
        "class", "served", "refused", "failed", "none", "p50 ms", "p99 ms", "max ms"
    );
    for (i, class) in CLASSES.iter().enumerate() {
        let count = |seen| ran.load.count(i, seen);
        let none = count(Seen::Unreachable) + count(Seen::Broken) + count(Seen::Nothing);
        let times = ran.load.times(i);
        let ms = |value: u64| value as f64 / 1000.0;
        println!(
            "{:<14} {:>7} {:>7} {:>7} {none:>7} {:>8.1} {:>8.1} {:>8.1}",
            class.name,
            count(Seen::Served),
            count(Seen::Refused),
            count(Seen::Failed),
            ms(times.value_at_quantile(0.5)),
            ms(times.value_at_quantile(0.99)),
            ms(times.max())
        );
    }
    if ran.load.held_back.get() > 0 {
        println!(
            "{} requests were held back: the load was more than could be kept open",
            ran.load.held_back.get()
        );
    }
}

/// Plays a calm while and shows what came back.
pub fn demo(directory: &Path) -> Result<(), CommandError> {
    let timeline = timeline(None, timeline::DEMO)?;
    println!(
        "{} stand-in members, {} proxies, {} requests/s for {} s, on loopback",
        timeline.groups * timeline.members,
        timeline.proxies,
        timeline.rate,
        timeline.seconds
    );
    let ran = played(&timeline, directory, |_| true)?;
    table(&ran);
    let served: usize = (0..CLASSES.len()).map(|i| ran.load.count(i, Seen::Served)).sum();
    let all = ran.load.done.borrow().len();
    println!(
        "{served} of {all} requests served; logs, records and configurations are in {}",
        directory.display()
    );
    match served * 10 >= all * 9 {
        true => Ok(()),
        false => Err(CommandError::failed("less than nine tenths of a calm while were served")),
    }
}

/// Plays a timeline, writes the report, and holds it against the script and what the load counted.
pub fn incident(path: Option<&Path>, directory: &Path) -> Result<(), CommandError> {
    let timeline = timeline(path, timeline::INCIDENT)?;
    let ran = played(&timeline, directory, |_| true)?;
    table(&ran);
    let stores = [wharfplank::lab::run::records(directory)];
    let facts = super::records::facts(&stores, &Span::default())?;
    let (page, json) = (directory.join("report.html"), directory.join("report.json"));
    super::records::report(&stores, &Span::default(), Some(&page), Some(&json))?;
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
fn compare_events(timeline: &Timeline, ran: &Ran, facts: &Facts) -> Vec<String> {
    let mut faults = Vec::new();
    let mut found: Vec<&Incident> = facts.incidents.iter().collect();
    for trouble in &timeline.troubles {
        let (from, to) = (trouble.at as Micros, (trouble.at + trouble.lasts) as Micros);
        let (from, to) = (ran.start + from * SECOND, ran.start + to * SECOND);
        let kind = match trouble.kind {
            timeline::Kind::SlowApply => Kind::SlowApply,
            timeline::Kind::SlowMember => Kind::SlowMember,
            timeline::Kind::Cut | timeline::Kind::Lose => Kind::Cut,
            timeline::Kind::Failover => Kind::NoPrimary,
            timeline::Kind::Drain => Kind::Drain,
            timeline::Kind::KillProxy => continue,
        };
        let same = |i: &&Incident| {
            let subject = i.subject.is_empty()
                || i.subject
                    .split([' ', ','])
                    .any(|s| s.trim_start_matches('g') == trouble.on.trim_start_matches('g'));
            i.kind == kind && subject && (i.from - from).abs() <= STARTS && (i.to - to).abs() <= ENDS
        };
        match found.iter().position(same) {
            Some(at) => {
                let i = found.remove(at);
                let off = |a: Micros, b: Micros| (a - b) as f64 / 1e6;
                println!(
                    "found    {kind:?} {}: starts {:+.1} s, ends {:+.1} s off the script",
                    trouble.on,
                    off(i.from, from),
                    off(i.to, to)
                );
            }
            None => faults.push(format!(
                "missed {kind:?} on {} from second {} for {} s",
                trouble.on, trouble.at, trouble.lasts
            )),
        }
    }
    // Refusals follow from the others: a surge is no event of its own where one of them is on.
    let follows = |i: &&Incident| {
        i.kind == Kind::Surge
            && timeline.troubles.iter().any(|t| (ran.start + t.at as Micros * SECOND) <= i.to)
    };
    for i in found.iter().filter(|i| !follows(i)) {
        faults.push(format!(
            "invented {:?} {} from {:.0} to {:.0}",
            i.kind,
            i.subject,
            facts.second(i.from),
            facts.second(i.to)
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
                facts.second(gap.from),
                facts.second(gap.to),
                gap.cause
            ),
            None => faults.push(format!("the kill of n{number} is no gap")),
        }
    }
    faults
}

/// Answers by proxy and class must be what the load counted, but for those in a gap, which are unknown.
fn compare_answers(ran: &Ran, facts: &Facts) -> Vec<String> {
    let mut faults = Vec::new();
    let done = ran.load.done.borrow();
    for (number, _) in ran.load.proxies.iter().enumerate() {
        let name = format!("n{number}");
        let Some(proxy) = facts.proxies.iter().find(|p| p.name == name) else {
            faults.push(format!("no records of {name}"));
            continue;
        };
        for (i, class) in CLASSES.iter().enumerate() {
            let recorded = proxy.classes.get(class.name).cloned().unwrap_or_default();
            let count = |span: (Micros, Micros), seen: Seen| {
                within(&done, number, span).filter(|d| d.class == i && d.seen == seen).count() as u64
            };
            let ever = (0, Micros::MAX);
            let kinds = [
                (Seen::Served, recorded.served + recorded.late),
                (Seen::Refused, recorded.refused.values().sum()),
                (Seen::Failed, recorded.failed.values().sum()),
            ];
            for (seen, recorded) in kinds {
                let counted = count(ever, seen);
                // An answer may be on its way to its client, or back, at a gap's edge.
                let unknown: u64 =
                    proxy.gaps.iter().map(|g| count((g.from - SECOND / 20, g.to + SECOND / 20), seen)).sum();
                let edge = proxy.gaps.len() as u64;
                // What a client gave up on may have been answered all the same.
                let late = count(ever, Seen::Nothing) + count(ever, Seen::Broken);
                if counted > recorded + unknown || recorded > counted + late + edge {
                    faults.push(format!("{name} {} {seen:?}: the load counted {counted}, recorded are {recorded}, unknown {unknown}", class.name));
                }
                if unknown > 0 {
                    println!("answers  {name} {} {seen:?}: {counted} counted, {recorded} recorded, {unknown} in a gap", class.name);
                }
            }
        }
    }
    if faults.is_empty() {
        println!("answers  by proxy and class are what the load counted, apart from the gaps");
    }
    faults
}

/// Where a run keeps its files unless told otherwise.
pub fn output_directory(directory: Option<PathBuf>, name: &str) -> PathBuf {
    directory.unwrap_or_else(|| PathBuf::from("target").join(name))
}

/// One proxy records and one does not, side by side under the same load.
pub fn recording(directory: &Path) -> Result<(), CommandError> {
    let mut timeline = timeline(None, timeline::DEMO)?;
    (timeline.rate, timeline.seconds) = (1200, 20);
    let ran = played(&timeline, directory, |number| number == 0)?;
    let done = ran.load.done.borrow();
    let mut each = Vec::new();
    for (number, name) in ["recording", "not recording"].iter().enumerate() {
        let own: Vec<_> = done.iter().filter(|d| d.proxy == number).collect();
        let served = own.iter().filter(|d| d.seen == Seen::Served).count();
        let used =
            ran.used.get(number).ok_or_else(|| CommandError::failed("the system tells no CPU time"))?;
        let (memory, micros) = (used.memory, used.cpu * 1e6 / own.len().max(1) as f64);
        println!(
            "{name:<14} {served} of {} served, {micros:.0} us of CPU a request, {memory:.1} MB",
            own.len()
        );
        each.push(micros);
    }
    println!("recording takes {:+.1}% of CPU", (each[0] / each[1] - 1.0) * 100.0);
    Ok(())
}

/// A day of records of three proxies, and what its report takes.
pub fn day(directory: &Path, seconds: u32) -> Result<(), CommandError> {
    std::fs::create_dir_all(directory).map_err(CommandError::failed)?;
    for old in std::fs::read_dir(directory).map_err(CommandError::failed)?.flatten() {
        if old.path().to_string_lossy().contains(".wharfplank") {
            std::fs::remove_file(old.path()).map_err(CommandError::failed)?;
        }
    }
    let written =
        trials::synthetic(directory, i64::from(seconds), 3, 320, 7).map_err(CommandError::failed)?;
    let bytes: u64 = std::fs::read_dir(directory)
        .map_err(CommandError::failed)?
        .flatten()
        .filter_map(|e| Some(e.metadata().ok()?.len()))
        .sum();
    println!("{written} answers of 3 proxies in {seconds} s: {:.0} MB of store", bytes as f64 / 1e6);
    let start = std::time::Instant::now();
    super::records::report(
        &[directory.to_path_buf()],
        &Span::default(),
        Some(&directory.join("report.html")),
        None,
    )?;
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or(" not told").trim();
    println!(
        "the report took {:.1} s; the most memory of this process was {peak}",
        start.elapsed().as_secs_f64()
    );
    Ok(())
}

/// Kills a recording process again and again.
pub fn kills(directory: &Path, times: u64) -> Result<(), CommandError> {
    let _ = std::fs::remove_dir_all(directory);
    std::fs::create_dir_all(directory).map_err(CommandError::failed)?;
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let seen = trials::kills(&program, directory, times, 7).map_err(CommandError::failed)?;
    println!(
        "{} kills: {} records acknowledged, {} of them found, {} stores damaged",
        seen.kills, seen.acknowledged, seen.found, seen.damaged
    );
    match seen.found == seen.acknowledged && seen.damaged == 0 {
        true => Ok(()),
        false => Err(CommandError::failed("a record that was acknowledged is gone, or a store is damaged")),
    }
}

/// Adds up the logs of many proxies.
pub fn tally(paths: &[PathBuf], by_second: &[String]) -> Result<(), CommandError> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            let entries = std::fs::read_dir(path)
                .map_err(|e| CommandError::failed(format!("{}: {e}", path.display())))?;
            let mut logs: Vec<PathBuf> = entries
                .filter_map(|e| e.ok().map(|e| e.path()))
                .filter(|p| p.extension().is_some_and(|e| e == "log"))
                .collect();
            logs.sort();
            files.extend(logs);
        } else {
            files.push(path.clone());
        }
    }
    let mut tally = wharfplank::lab::tally::Tally::default();
    for file in &files {
        let bytes =
            std::fs::read(file).map_err(|e| CommandError::failed(format!("{}: {e}", file.display())))?;
        tally.add_log(&String::from_utf8_lossy(&bytes));
    }
    print!("{}", tally.render(by_second));
    Ok(())
}

/// The scenario of a name; a name that there is not is a fault of usage.
fn named(scenario: &str) -> Result<Scenario, CommandError> {
    let names: Vec<&str> = Scenario::ALL.iter().map(|s| s.name()).collect();
    Scenario::named(scenario).ok_or_else(|| {
        CommandError::usage(format!("no scenario '{scenario}'; there are {}", names.join(", ")))
    })
}

/// Plays many seeded runs and adds them up; fails where a rule was broken or a run could not be played.
pub fn sweep(
    scenarios: &[String],
    seeds: std::ops::Range<u64>,
    proxies: usize,
    beside: usize,
    peers: bool,
    directory: &Path,
) -> Result<(), CommandError> {
    use wharfplank::fleet_harness::sweep::{play_all, sums};
    let chosen = match scenarios {
        [] => Scenario::ALL.to_vec(),
        names => names.iter().map(|name| named(name)).collect::<Result<Vec<_>, _>>()?,
    };
    std::fs::create_dir_all(directory)
        .map_err(|e| CommandError::failed(format!("{}: {e}", directory.display())))?;
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let directory = directory.canonicalize().map_err(CommandError::failed)?;
    let mut all = Vec::new();
    for scenario in chosen {
        let schedules = seeds.clone().map(|seed| Schedule::draw(scenario, proxies, seed, peers)).collect();
        let played = play_all(schedules, &program, &directory, beside);
        let summed = sums(&played);
        summed.iter().for_each(|sum| println!("{}", sum.render()));
        all.extend(summed);
        // Written after each scenario, so that a long sweep that is stopped leaves what it has.
        let text = serde_json::to_string_pretty(&all).map_err(CommandError::failed)?;
        std::fs::write(directory.join("sums.json"), text).map_err(CommandError::failed)?;
    }
    let (broken, failed) = all.iter().fold((0, 0), |(b, f), sum| (b + sum.broken, f + sum.failed.len()));
    if broken > 0 || failed > 0 {
        return Err(CommandError::failed(format!("{broken} broken rules, {failed} runs not played")));
    }
    Ok(())
}

/// Plays many proxies with faults between them; fails where a rule was broken.
pub fn fleet(
    scenario: &str,
    proxies: usize,
    seed: u64,
    peers: bool,
    replay: Option<&Path>,
    directory: &Path,
) -> Result<(), CommandError> {
    let schedule = match replay {
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .map_err(|e| CommandError::unusable_settings([format!("{}: {e}", path.display())]))?;
            Schedule::read(&text)
                .map_err(|what| CommandError::unusable_settings([format!("{}: {what}", path.display())]))?
        }
        None => Schedule::draw(named(scenario)?, proxies, seed, peers),
    };
    std::fs::create_dir_all(directory)
        .map_err(|e| CommandError::failed(format!("{}: {e}", directory.display())))?;
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let directory = directory.canonicalize().map_err(CommandError::failed)?;
    let place = wharfplank::fleet_harness::run::Place { program, directory: directory.clone() };
    let report = wharfplank::fleet_harness::run::play(&schedule, &place).map_err(CommandError::failed)?;
    print!("{}", report.render());
    println!("schedule, logs and report.json in {}", directory.display());
    if report.broken > 0 {
        return Err(CommandError::failed(format!("{} broken rules", report.broken)));
    }
    Ok(())
}
