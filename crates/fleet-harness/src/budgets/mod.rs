//! Runs whose proxies share budgets. The proxies are processes, each with a load of its own. They are killed,
//! paused or partitioned, or run with clock skew or on a lossy network. A checker totals the logs of all
//! proxies. Every process is ended.
//!
//! - [`Case`]: the fault of a run.
//! - [`play`]: a single run, with its [`Report`].
//! - [`check`]: the checker.

mod case;
pub mod check;
mod faults;
mod harness;
mod log;
mod report;

pub use case::Case;
pub use log::LevelChange;
pub use report::Report;

use crate::proxies::{Proxy, ProxyConfig};
use crate::run::RunPaths;
use async_executor::LocalExecutor;
use async_io::Timer;
use harness::Harness;
use report::FinishedRun;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::clock::now;
use wharfplank_lab::load::LoadProfile;
use wharfplank_lab::member_model::{ClassMix, Micros};

/// The percentage of each limit that is divided into static quotas.
const STATIC_PERCENT: u64 = 10;
const ALLOCATORS: usize = 3;
/// The time from the start of the proxies to the load, after which allocators grant leases and their quotas
/// may be spent.
const SETTLE: Duration = Duration::from_millis(5_000);
/// The duration of the load.
const LOAD_SECONDS: u64 = 14;
/// The number of groups over which the load is spread.
const GROUPS: usize = 3;
const START_TIMEOUT: Micros = 30_000_000;
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);
const END_TIMEOUT: Duration = Duration::from_secs(8);
const WATCH_INTERVAL: Duration = Duration::from_millis(5);
/// The factor that separates the seeds of the second half of the load from those of the first.
const SECOND_HALF_SEED_FACTOR: u64 = 7;

/// Runs a case with this number of proxies, and writes the logs and the report to the run's directory.
pub fn play(case: Case, proxies: usize, seed: u64, paths: &RunPaths) -> Result<Report, String> {
    std::fs::create_dir_all(&paths.directory).map_err(|e| format!("{}: {e}", paths.directory.display()))?;
    for proxy in 0..proxies {
        let _ = std::fs::remove_file(ProxyConfig::log_path(&paths.directory, proxy));
    }
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let run = run(case, proxies.max(ALLOCATORS), seed, paths, &executor);
    let report = async_io::block_on(executor.run(run))?.report(&paths.directory);
    let json = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
    std::fs::write(paths.directory.join("budgets.json"), json).map_err(|e| e.to_string())?;
    Ok(report)
}

async fn run(
    case: Case,
    proxies: usize,
    seed: u64,
    paths: &RunPaths,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<FinishedRun, String> {
    let harness = Harness::prepare(case, proxies, seed, paths, executor).map_err(|e| e.to_string())?;
    let started_at_first = if case == Case::Join { (proxies / 2).max(1) } else { proxies };
    (0..started_at_first).try_for_each(|proxy| harness.cluster.start(proxy))?;
    let watcher = executor.spawn(watch_logs(Rc::clone(&harness)));
    wait_until_ready(&harness, started_at_first, paths).await?;
    Timer::after(SETTLE).await;
    let load_began_at = now();
    let fault = executor.spawn(Rc::clone(&harness).inject_fault(case, seed));
    run_loads(&harness, case, seed, executor).await;
    fault.await?;
    let load_ended_at = now();
    watcher.cancel().await;
    let crashed = end_all(&harness);
    Ok(FinishedRun { case, seed, proxies, load_began_at, load_ended_at, crashed })
}

/// Registers the addresses that proxies log, until it is cancelled.
async fn watch_logs(harness: Rc<Harness>) {
    loop {
        harness.register_addresses();
        Timer::after(WATCH_INTERVAL).await;
    }
}

async fn wait_until_ready(harness: &Harness, proxies: usize, paths: &RunPaths) -> Result<(), String> {
    let deadline = now() + START_TIMEOUT;
    for (proxy, load) in harness.loads.iter().enumerate().take(proxies) {
        while !(load.proxy_addresses[0].get().is_some() && load.is_ready(0).await) {
            if now() > deadline {
                return Err(format!(
                    "proxy n{proxy} did not become ready in time; see {}",
                    paths.directory.display()
                ));
            }
            Timer::after(START_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Runs the load of each proxy to its end.
async fn run_loads(harness: &Harness, case: Case, seed: u64, executor: &Rc<LocalExecutor<'static>>) {
    let half = LOAD_SECONDS / 2;
    let loads: Vec<_> = harness
        .loads
        .iter()
        .enumerate()
        .map(|(proxy, load)| {
            let load = Rc::clone(load);
            let number = proxy as u64;
            executor.spawn(async move {
                let first_half = LoadProfile {
                    requests_per_second: case::demand(proxy),
                    mix: ClassMix::usual(),
                    seconds: half,
                    groups: GROUPS,
                    seed: seed + number,
                };
                load.run(first_half, |_| {}).await;
                let second_half = LoadProfile {
                    requests_per_second: case.demand_later(proxy),
                    mix: ClassMix::usual(),
                    seed: seed + SECOND_HALF_SEED_FACTOR * number,
                    ..first_half
                };
                load.run(second_half, |_| {}).await;
            })
        })
        .collect();
    for load in loads {
        load.await;
    }
}

/// Shuts all proxies down, and returns the number that had exited on their own or did not exit cleanly.
fn end_all(harness: &Harness) -> u64 {
    let has_crashed =
        |mut proxy: Proxy| proxy.exit_status().is_some() || proxy.shut_down(END_TIMEOUT).is_err();
    harness.cluster.take_all().into_iter().map(|proxy| u64::from(has_crashed(proxy))).sum()
}
