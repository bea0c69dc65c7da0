//! A single run of a schedule: starts the stand-in members, the relays and the proxy processes, generates
//! load, injects the faults at their times, and checks the result. Every process that it starts is ended by
//! its id, also on failure.

mod counters;
mod faults;
mod member_timeline;

use crate::check::{check, count_diverged, Report};
use crate::cluster::Cluster;
use crate::discovery_agent;
use crate::goodput;
use crate::ground_truth::GroundTruth;
use crate::proxies::ProxyConfig;
use crate::relay::{Links, Mesh};
use crate::schedule::{Fault, Schedule};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use member_timeline::timeline;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::clock::now;
use wharfplank_lab::load::{Load, LoadProfile, WriteRetries};
use wharfplank_lab::member_model::{ClassMix, MemberModel, Micros};
use wharfplank_lab::stand_ins::StandIns;

/// The maximum time for the proxies to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// The time before the load in which the proxies discover each other.
const SETTLE_TIME: Micros = 4_000_000;
/// An answer up to this long after its request's timeout has no value, and one after that counts as lost. The
/// platform has the same rule; here it also keeps a machine that is busy for a moment from causing rule
/// violations.
const ANSWER_GRACE: Micros = 500_000;
/// The delay after which a client retries a failed write, at another proxy on its side of a partition.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The maximum time after the load for the replicated state of all proxies to become equal.
const CONVERGENCE_TIMEOUT: Micros = 15_000_000;
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);

/// The paths of the program under test and of a run's files.
#[derive(Clone, Debug)]
pub struct RunPaths {
    /// The executable.
    pub program: PathBuf,
    /// The directory for configurations, logs, the schedule and the report.
    pub directory: PathBuf,
}

/// Runs a schedule, and writes the schedule, the logs and the report to the run's directory.
pub fn play(schedule: &Schedule, paths: &RunPaths) -> Result<Report, String> {
    std::fs::create_dir_all(&paths.directory).map_err(|e| format!("{}: {e}", paths.directory.display()))?;
    for n in 0..schedule.proxies {
        let _ = std::fs::remove_file(ProxyConfig::log_path(&paths.directory, n));
    }
    let text = serde_json::to_string_pretty(schedule).map_err(|e| e.to_string())?;
    std::fs::write(paths.directory.join("schedule.json"), text).map_err(|e| e.to_string())?;
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let report = async_io::block_on(executor.run(run_schedule(schedule, paths, &executor)))?;
    let json = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
    std::fs::write(paths.directory.join("report.json"), json).map_err(|e| e.to_string())?;
    Ok(report)
}

/// The state of a run, shared by the tasks that inject faults.
struct Harness {
    paths: RunPaths,
    cluster: Cluster,
    links: Rc<Links>,
    load: Rc<Load>,
    crashed: RefCell<u64>,
    old_snapshot: bool,
    /// The actual state of the members.
    truth: RefCell<GroundTruth>,
    /// The greatest delay of the harness's own timers. If the machine delays the harness, it delays the
    /// proxies too.
    max_delay: std::cell::Cell<Micros>,
}

impl Harness {
    /// Registers the addresses that proxies have logged since the last call.
    fn register_addresses(&self) {
        self.cluster.register_addresses(|n, addr| self.load.proxy_addresses[n].set(Some(addr)));
    }

    /// Kills a proxy, and removes it from the load generator.
    fn kill(&self, n: usize) {
        self.load.remove_proxy(n);
        self.cluster.kill(n);
    }

    /// Counts each proxy that exited on its own as a crash, and restarts it so that the run continues.
    fn restart_crashed(&self) -> Result<(), String> {
        for n in self.cluster.crashed() {
            *self.crashed.borrow_mut() += 1;
            self.kill(n);
            self.cluster.start(n)?;
        }
        Ok(())
    }
}

async fn run_schedule(
    schedule: &Schedule,
    paths: &RunPaths,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<Report, String> {
    let to_message = |e: std::io::Error| e.to_string();
    // The timeline starts with the load, but the members' log must start now: if it started in the future, no
    // read could be stale.
    let mut member_model = MemberModel::new(&timeline(schedule), now());
    member_model.start_script(now() + 600_000_000);
    let stand_ins = StandIns::start(executor, member_model).map_err(to_message)?;
    let proxy_zones = (0..schedule.proxies).map(ProxyConfig::zone).collect();
    let links = Links::start(executor, &stand_ins, proxy_zones).map_err(to_message)?;
    let mesh = Mesh::start(executor, schedule.proxies, schedule.seed).map_err(to_message)?;
    let load = Load::new(executor, schedule.proxies);
    load.grace.set(ANSWER_GRACE);
    *load.write_retries.borrow_mut() = WriteRetries {
        delay: WRITE_RETRY_DELAY,
        reachable_proxies: vec![(0..schedule.proxies).collect(); schedule.proxies],
    };
    let mut configs = Vec::new();
    for number in 0..schedule.proxies {
        let discovery = discovery_agent::start(executor, &stand_ins, &links, number).map_err(to_message)?;
        let seeds: Vec<SocketAddrV4> =
            (0..schedule.proxies.min(4)).filter(|s| *s != number).map(|s| mesh.inbox_addresses[s]).collect();
        let peers = schedule.peers.then(|| (mesh.inbox_addresses[number], seeds));
        let program = paths.program.clone();
        let (directory, known_endpoints, proxies) = (
            paths.directory.clone(),
            discovery_agent::proxy_endpoint_list(&stand_ins, &links, number),
            schedule.proxies,
        );
        let skew_ms = schedule.skew_ms.get(number).copied().unwrap_or(0);
        let extra_settings = if schedule.peers { schedule.scenario.extra_settings() } else { String::new() };
        configs.push(ProxyConfig {
            program,
            directory,
            number,
            discovery,
            known_endpoints,
            peers,
            proxies,
            replica_bytes: schedule.replica_bytes,
            extra_settings,
            skew_ms,
        });
    }
    let harness = Rc::new(Harness {
        paths: paths.clone(),
        cluster: Cluster::new(configs, mesh),
        links,
        load: Rc::clone(&load),
        crashed: RefCell::new(0),
        old_snapshot: schedule.old_snapshot,
        truth: RefCell::default(),
        max_delay: std::cell::Cell::new(0),
    });
    (0..schedule.proxies).try_for_each(|n| harness.cluster.start(n))?;
    let deadline = now() + START_TIMEOUT.as_micros() as Micros;
    for n in 0..schedule.proxies {
        loop {
            harness.register_addresses();
            if load.proxy_addresses[n].get().is_some() && load.is_ready(n).await {
                break;
            }
            if now() > deadline {
                return Err(format!(
                    "proxy n{n} did not become ready in time; see {}",
                    ProxyConfig::log_path(&harness.paths.directory, n).display()
                ));
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }
    // The timeline of the stand-in members starts with the load, after the proxies have discovered each
    // other.
    let load_start = now() + SETTLE_TIME;
    stand_ins.start_script(load_start);
    Timer::after(Duration::from_micros(SETTLE_TIME as u64)).await;
    let watcher: Task<Result<(), String>> = {
        let (harness, stand_ins) = (Rc::clone(&harness), Rc::clone(&stand_ins));
        executor.spawn(async move {
            loop {
                harness.register_addresses();
                harness.truth.borrow_mut().sample(now(), &stand_ins.model(), &harness.links);
                harness.restart_crashed()?;
                let due = now() + 5_000;
                Timer::after(Duration::from_millis(5)).await;
                harness.max_delay.set(harness.max_delay.get().max(now() - due));
            }
        })
    };
    let tasks: Vec<Task<Result<(), String>>> = schedule
        .faults
        .iter()
        .map(|f| executor.spawn(Rc::clone(&harness).inject(f.clone(), load_start)))
        .collect();
    let profile = LoadProfile {
        requests_per_second: schedule.rate,
        mix: ClassMix::usual(),
        seconds: schedule.seconds,
        groups: schedule.groups,
        seed: schedule.seed,
    };
    load.run(profile, |_| {}).await;
    for task in tasks {
        task.await?;
    }
    // Once nothing changes any more, the replicated state of all proxies must converge.
    let load_end = now();
    let mut diverged = count_diverged(&harness.paths.directory, schedule);
    while diverged > 0 && now() - load_end < CONVERGENCE_TIMEOUT {
        Timer::after(Duration::from_millis(200)).await;
        diverged = count_diverged(&harness.paths.directory, schedule);
    }
    let converged_ms = (now() - load_end) / 1000;
    if let Some(Err(error)) = watcher.cancel().await {
        return Err(error);
    }
    let counters = harness.counters(schedule, &stand_ins, diverged, converged_ms);
    let exits: Vec<_> =
        harness.cluster.take_all().into_iter().map(|proxy| proxy.shut_down(SHUTDOWN_TIMEOUT)).collect();
    let requests = load.finished.borrow().clone();
    let retry_outcomes = load.retry_outcomes.borrow().clone();
    let mut report =
        check(schedule, load_start, &requests, &retry_outcomes, &counters, &harness.paths.directory);
    report.goodput = goodput::by_class(&harness.truth.borrow(), &requests, ProxyConfig::zone);
    let failed_exits = exits.iter().filter(|e| e.is_err()).count() as u64;
    report.crashed += failed_exits;
    report.violations += failed_exits;
    Ok(report)
}
