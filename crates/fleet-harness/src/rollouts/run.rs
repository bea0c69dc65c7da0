//! A single run: starts the proxy processes and the load, starts the rollouts, injects the fault, and checks
//! the result. Every process that it starts is ended, also on failure.

use super::case::{Scenario, NEW_VERSION};
use super::events::{MemberEvent, MemberEventKind};
use super::harness::Harness;
use super::member_agents::MemberState;
use super::report::{halts, Report};
use super::rules::check;
use super::settings::{ledger_file, permit_servers, LIMITS};
use crate::proxies::ProxyConfig;
use crate::run::RunPaths;
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
/// The time before the rollout, after which a proxy may lead because it would have heard from proxies of
/// lower rank.
const SETTLE: Duration = Duration::from_secs(5);
/// The time after which a rollout counts as not finished.
const ROLLOUT_TIMEOUT: Micros = 150_000_000;
const END_TIMEOUT: Duration = Duration::from_secs(8);
const MAX_LOAD_SECONDS: u64 = 200;
const MICROS_PER_SECOND: Micros = 1_000_000;
const MICROS_PER_MS: Micros = 1_000;

/// The span of time that a report covers.
struct Span {
    began_at: Micros,
    finished_at: Micros,
}

/// Runs a scenario; its files are in the run's directory.
///
/// # Errors
///
/// Returns a message if the run can't be completed.
pub fn play(scenario: &Scenario, paths: &RunPaths) -> Result<Report, String> {
    std::fs::create_dir_all(&paths.directory).map_err(|e| format!("{}: {e}", paths.directory.display()))?;
    create_ledgers(scenario, &paths.directory).map_err(|e| format!("{}: {e}", paths.directory.display()))?;
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let report = async_io::block_on(executor.run(run(scenario, paths, &executor)))?;
    write_json(&paths.directory.join("outcome.json"), &report)?;
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
    paths: &RunPaths,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<Report, String> {
    let harness = Harness::prepare(scenario, paths, MAX_LOAD_SECONDS, executor).map_err(|e| e.to_string())?;
    (0..scenario.proxies).try_for_each(|proxy| harness.cluster.start(proxy))?;
    let _watcher = executor.spawn(watch_logs(Rc::clone(&harness)));
    wait_until_ready(&harness).await?;
    let load = start_load(&harness, executor);
    Timer::after(SETTLE).await;
    let began_at = now();
    harness.start_rollouts().await?;
    let fault = executor.spawn(Rc::clone(&harness).inject_fault());
    wait_until_finished(&harness, began_at).await;
    let is_finished = harness.is_finished();
    let finished_at = now();
    fault.cancel().await.transpose()?;
    end_load(scenario, load).await;
    let report = report(&harness, is_finished, &Span { began_at, finished_at });
    write_json(&paths.directory.join("diary.json"), &*harness.agents.events.borrow())?;
    harness.cluster.take_all().into_iter().try_for_each(|proxy| proxy.shut_down(END_TIMEOUT))?;
    Ok(report)
}

/// Registers the addresses that proxies log, until it is cancelled.
async fn watch_logs(harness: Rc<Harness>) {
    loop {
        harness.register_addresses();
        Timer::after(WATCH_INTERVAL).await;
    }
}

async fn wait_until_ready(harness: &Harness) -> Result<(), String> {
    let deadline = now() + START_TIMEOUT;
    for proxy in 0..harness.scenario.proxies {
        while harness.load.proxy_addresses[proxy].get().is_none() || !harness.load.is_ready(proxy).await {
            if now() > deadline {
                let log = ProxyConfig::log_path(&harness.paths.directory, proxy);
                return Err(format!("proxy n{proxy} did not become ready in time; see {}", log.display()));
            }
            Timer::after(START_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn wait_until_finished(harness: &Harness, began_at: Micros) {
    while !harness.is_finished() && now() - began_at < ROLLOUT_TIMEOUT {
        Timer::after(FINISH_POLL_INTERVAL).await;
    }
}

fn start_load(harness: &Harness, executor: &Rc<LocalExecutor<'static>>) -> Task<()> {
    let load = Rc::clone(&harness.load);
    let Scenario { request_rate, groups, seed, load_seconds, .. } = harness.scenario;
    let seconds = if load_seconds > 0 { load_seconds } else { MAX_LOAD_SECONDS };
    let seconds = seconds + SETTLE.as_secs();
    let profile =
        LoadProfile { requests_per_second: request_rate, seconds, groups, mix: ClassMix::usual(), seed };
    executor.spawn(async move {
        load.run(profile, |_| {}).await;
    })
}

/// Waits for the end of the load if it has a duration, and cancels it otherwise.
async fn end_load(scenario: &Scenario, load: Task<()>) {
    if scenario.load_seconds > 0 {
        load.await;
    } else {
        load.cancel().await;
    }
}

fn report(harness: &Harness, is_finished: bool, span: &Span) -> Report {
    let events = harness.agents.events.borrow();
    let mut report = Report {
        case: harness.scenario.case.name().to_string(),
        seed: harness.scenario.seed,
        violations: check(&events, &harness.sites(), LIMITS),
        is_finished,
        had_fault: harness.had_fault.get(),
        final_version: common_version(&harness.agents.states.borrow()),
        followed_orders: harness.followed_orders(),
        touched_members: touched_members(&events),
        stale_orders: harness.agents.stale_orders.get(),
        duration_ms: (span.finished_at - span.began_at) / MICROS_PER_MS,
        halts: all_halts(harness),
        ..Report::default()
    };
    let load_seconds = harness.scenario.load_seconds as Micros;
    let until =
        if load_seconds > 0 { span.began_at + load_seconds * MICROS_PER_SECOND } else { span.finished_at };
    report.add_requests(&harness.load.finished.borrow(), span.began_at, until);
    report
}

/// Returns the version with which all members serve, or `None` if they differ or some do not serve.
fn common_version(states: &[MemberState]) -> Option<u64> {
    let version = states.first()?.version;
    states.iter().all(|state| state.ready && state.version == version).then_some(version)
}

/// Returns the number of members that ran the new version at any time.
fn touched_members(events: &[MemberEvent]) -> usize {
    let is_upgrade =
        |event: &&MemberEvent| matches!(event.kind, MemberEventKind::Started { version: NEW_VERSION, .. });
    events.iter().filter(is_upgrade).map(|event| event.member).collect::<BTreeSet<_>>().len()
}

/// Returns the distinct halts and rollbacks in all proxies' logs.
fn all_halts(harness: &Harness) -> Vec<String> {
    let logs =
        (0..harness.scenario.proxies).map(|proxy| ProxyConfig::log_path(&harness.paths.directory, proxy));
    let distinct: BTreeSet<String> = logs.flat_map(|log| halts(&log)).collect();
    distinct.into_iter().collect()
}
