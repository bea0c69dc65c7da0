//! One run: the proxies as processes, the load, the rollout and its fault, and the checker at the end. Every process that
//! it starts ends, whatever happens.

use super::case::{Scenario, NEW_VERSION};
use super::events::{MemberEvent, MemberEventKind};
use super::member_agents::MemberState;
use super::report::{halts, Report};
use super::rig::Rig;
use super::rules::check;
use super::settings::{ledger_file, permit_servers, LIMITS};
use crate::proxies::Plan;
use crate::run::Place;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use serde::Serialize;
use std::collections::BTreeSet;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::clock::now;
use wharfplank_lab::load::LoadProfile;
use wharfplank_lab::member_model::{ClassMix, Micros};

const START_TIMEOUT: Micros = 30_000_000;
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);
const WATCH_INTERVAL: Duration = Duration::from_millis(5);
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time before the rollout: a proxy leads once it could have heard from those of lesser rank.
const SETTLE: Duration = Duration::from_secs(5);
/// A rollout that takes longer does not finish.
const ROLLOUT_TIMEOUT: Micros = 150_000_000;
const END_TIMEOUT: Duration = Duration::from_secs(8);
const MAX_LOAD_SECONDS: u64 = 200;
const MICROS_PER_SECOND: Micros = 1_000_000;
const MICROS_PER_MS: Micros = 1_000;

/// The span of time that a run's report is about.
struct Span {
    began_at: Micros,
    finished_at: Micros,
}

/// Plays a run; its files are in the place's directory.
///
/// # Errors
///
/// If the run can't be played, as a text for people.
pub fn play(scenario: &Scenario, place: &Place) -> Result<Report, String> {
    std::fs::create_dir_all(&place.directory).map_err(|e| format!("{}: {e}", place.directory.display()))?;
    create_ledgers(scenario, &place.directory).map_err(|e| format!("{}: {e}", place.directory.display()))?;
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let report = async_io::block_on(executor.run(run(scenario, place, &executor)))?;
    write_json(&place.directory.join("outcome.json"), &report)?;
    Ok(report)
}

/// Creates empty ledgers, as an operator does for the first start of a permit server.
fn create_ledgers(scenario: &Scenario, directory: &Path) -> std::io::Result<()> {
    (0..permit_servers(scenario.proxies))
        .try_for_each(|proxy| std::fs::write(ledger_file(directory, proxy), ""))
}

fn write_json(path: &Path, value: &impl Serialize) -> Result<(), String> {
    let text = serde_json::to_string_pretty(value).map_err(|e| e.to_string())?;
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

async fn run(
    scenario: &Scenario,
    place: &Place,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<Report, String> {
    let rig = Rig::prepare(scenario, place, MAX_LOAD_SECONDS, executor).map_err(|e| e.to_string())?;
    (0..scenario.proxies).try_for_each(|proxy| rig.cluster.start(proxy))?;
    let _watcher = executor.spawn(watch_logs(Rc::clone(&rig)));
    wait_until_ready(&rig).await?;
    let load = start_load(&rig, executor);
    Timer::after(SETTLE).await;
    let began_at = now();
    rig.start_rollouts().await?;
    let fault = executor.spawn(Rc::clone(&rig).inject_fault());
    wait_until_finished(&rig, began_at).await;
    let is_finished = rig.is_finished();
    let finished_at = now();
    fault.cancel().await.transpose()?;
    end_load(scenario, load).await;
    let report = report(&rig, is_finished, &Span { began_at, finished_at });
    write_json(&place.directory.join("diary.json"), &*rig.agents.events.borrow())?;
    rig.cluster.take_all().into_iter().try_for_each(|proxy| proxy.end(END_TIMEOUT))?;
    Ok(report)
}

/// Follows what the proxies' logs say of their addresses, until it is cancelled.
async fn watch_logs(rig: Rc<Rig>) {
    loop {
        rig.register_addresses();
        Timer::after(WATCH_INTERVAL).await;
    }
}

async fn wait_until_ready(rig: &Rig) -> Result<(), String> {
    let deadline = now() + START_TIMEOUT;
    for proxy in 0..rig.scenario.proxies {
        while rig.load.proxy_addresses[proxy].get().is_none() || !rig.load.is_ready(proxy).await {
            if now() > deadline {
                let log = Plan::log(&rig.place.directory, proxy);
                return Err(format!("proxy n{proxy} does not start; see {}", log.display()));
            }
            Timer::after(START_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn wait_until_finished(rig: &Rig, began_at: Micros) {
    while !rig.is_finished() && now() - began_at < ROLLOUT_TIMEOUT {
        Timer::after(FINISH_POLL_INTERVAL).await;
    }
}

fn start_load(rig: &Rig, executor: &Rc<LocalExecutor<'static>>) -> Task<()> {
    let load = Rc::clone(&rig.load);
    let Scenario { request_rate, groups, seed, load_seconds, .. } = rig.scenario;
    let seconds = if load_seconds > 0 { load_seconds } else { MAX_LOAD_SECONDS };
    let seconds = seconds + SETTLE.as_secs();
    let profile =
        LoadProfile { requests_per_second: request_rate, seconds, groups, mix: ClassMix::usual(), seed };
    executor.spawn(async move {
        load.run(profile, |_| {}).await;
    })
}

/// Waits for the end of a load with a duration; another one ends with the rollout.
async fn end_load(scenario: &Scenario, load: Task<()>) {
    if scenario.load_seconds > 0 {
        load.await;
    } else {
        load.cancel().await;
    }
}

fn report(rig: &Rig, is_finished: bool, span: &Span) -> Report {
    let events = rig.agents.events.borrow();
    let mut report = Report {
        case: rig.scenario.case.name().to_string(),
        seed: rig.scenario.seed,
        violations: check(&events, &rig.sites(), LIMITS),
        is_finished,
        had_fault: rig.had_fault.get(),
        final_version: common_version(&rig.agents.states.borrow()),
        followed_orders: rig.followed_orders(),
        touched_members: touched_members(&events),
        stale_orders: rig.agents.stale_orders.get(),
        duration_ms: (span.finished_at - span.began_at) / MICROS_PER_MS,
        halts: all_halts(rig),
        ..Report::default()
    };
    let load_seconds = rig.scenario.load_seconds as Micros;
    let until =
        if load_seconds > 0 { span.began_at + load_seconds * MICROS_PER_SECOND } else { span.finished_at };
    report.add_requests(&rig.load.finished.borrow(), span.began_at, until);
    report
}

/// The version that all members serve with; none if they differ or some do not serve.
fn common_version(states: &[MemberState]) -> Option<u64> {
    let version = states.first()?.version;
    states.iter().all(|state| state.ready && state.version == version).then_some(version)
}

/// The number of members that ran the new version at any time.
fn touched_members(events: &[MemberEvent]) -> usize {
    let is_upgrade =
        |event: &&MemberEvent| matches!(event.kind, MemberEventKind::Started { version: NEW_VERSION, .. });
    events.iter().filter(is_upgrade).map(|event| event.member).collect::<BTreeSet<_>>().len()
}

/// The halts and rollbacks in all proxies' logs, each once.
fn all_halts(rig: &Rig) -> Vec<String> {
    let logs = (0..rig.scenario.proxies).map(|proxy| Plan::log(&rig.place.directory, proxy));
    let distinct: BTreeSet<String> = logs.flat_map(|log| halts(&log)).collect();
    distinct.into_iter().collect()
}
