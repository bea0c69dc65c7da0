//! Starts proxy processes and runs a timeline against them.
//!
//! - `configure`: the configuration and settings files of a proxy.
//! - `process`: the process of a proxy.

mod configure;
mod process;

pub use process::ProcessUsage;

use crate::clock::now;
use crate::load::{Load, LoadProfile, RequestRecord};
use crate::member_model::{ClassMix, MemberModel, Micros};
use crate::stand_ins::StandIns;
use crate::timeline::{FaultKind, Timeline};
use async_executor::LocalExecutor;
use async_io::Timer;
use configure::{free_addresses, write_configuration};
use process::ProxyProcess;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// The program under test, and where a run keeps its files.
#[derive(Clone, Debug)]
pub struct RunSetup {
    /// The path of the program.
    pub program: PathBuf,
    /// The directory for configurations, logs and records.
    pub directory: PathBuf,
    /// Whether the proxy with this number keeps records.
    pub keeps_records: fn(usize) -> bool,
    /// If set, all proxies but the first gossip with each other, proxy 1 runs this program instead of
    /// `program`, and the load goes to the first three proxies only.
    pub gossip_program: Option<PathBuf>,
}

impl RunSetup {
    fn program(&self, number: usize) -> &Path {
        self.gossip_program.as_deref().filter(|_| number == 1).unwrap_or(&self.program)
    }

    fn has_settings(&self, number: usize) -> bool {
        (self.keeps_records)(number) || (self.gossip_program.is_some() && number > 0)
    }
}

/// The results of a run.
pub struct RunResults {
    /// The time at which the load started.
    pub start: Micros,
    /// The load, with each request as its client observed it.
    pub load: Rc<Load>,
    /// The kills of proxies: the proxy's number, when it was killed, and when it accepted connections again.
    pub kills: Vec<(usize, Micros, Micros)>,
    /// The number of writes that members executed.
    pub writes: u64,
    /// The most work that was sent to each member while it warmed up, as a fraction of what makes it
    /// collapse, by member name.
    pub slow_start_peaks: Vec<(String, f64)>,
    /// The resources that each proxy had used at the end.
    pub process_usage: Vec<ProcessUsage>,
}

/// Runs a timeline. `on_progress` receives the fraction of the load that has been sent.
///
/// # Errors
///
/// If files cannot be written, a socket cannot be bound, or a proxy does not start or end as expected.
pub fn run_timeline(
    timeline: &Timeline,
    setup: &RunSetup,
    on_progress: impl Fn(f64),
) -> Result<RunResults, String> {
    let records = setup.directory.join("records");
    let _ = std::fs::remove_dir_all(&records);
    std::fs::create_dir_all(&records).map_err(|e| format!("{}: {e}", records.display()))?;
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let work = run_with(timeline, setup, &executor, on_progress);
    async_io::block_on(executor.run(work))
}

async fn run_with(
    timeline: &Timeline,
    setup: &RunSetup,
    executor: &Rc<LocalExecutor<'static>>,
    on_progress: impl Fn(f64),
) -> Result<RunResults, String> {
    let to_text = |e: std::io::Error| e.to_string();
    // The script starts together with the load, so that both count the same seconds. The proxies have until
    // then to start.
    let load_start = now() + 3_000_000;
    let stand_ins = StandIns::start(executor, MemberModel::new(timeline, load_start)).map_err(to_text)?;
    let loaded_proxies = setup.gossip_program.as_ref().map_or(timeline.proxies, |_| timeline.proxies.min(3));
    let load = Load::new(executor, loaded_proxies);
    let addresses = free_addresses(timeline.proxies).map_err(to_text)?;
    let mut proxies = Vec::new();
    for number in 0..timeline.proxies {
        let discovery = stand_ins.start_discovery().map_err(to_text)?;
        write_configuration(setup, number, discovery, &stand_ins.endpoint_list(), &addresses)
            .map_err(to_text)?;
        proxies.push(ProxyProcess::start(setup, number)?);
    }
    for (number, proxy) in proxies.iter_mut().enumerate().take(loaded_proxies) {
        load.proxy_addresses[number].set(Some(proxy.wait_until_listening().await?));
        while !load.is_ready(number).await {
            Timer::after(Duration::from_millis(10)).await;
        }
    }
    Timer::after(Duration::from_micros((load_start - now()).max(0) as u64)).await;
    let proxies: Vec<Option<ProxyProcess>> = proxies.into_iter().map(Some).collect();
    let proxies = Rc::new(RefCell::new(proxies));
    let kills = Rc::new(RefCell::new(Vec::new()));
    let mut tasks = Vec::new();
    for fault in timeline.scripted_faults.iter().filter(|t| t.kind == FaultKind::KillProxy) {
        let number: usize = fault
            .targets
            .trim_start_matches('n')
            .parse()
            .map_err(|_| "kill-proxy needs one proxy as target")?;
        let (at, downtime) =
            (load_start + fault.at as Micros * 1_000_000, fault.duration as Micros * 1_000_000);
        let (load, proxies, kills, setup) =
            (Rc::clone(&load), Rc::clone(&proxies), Rc::clone(&kills), setup.clone());
        tasks.push(executor.spawn(async move {
            Timer::after(Duration::from_micros((at - now()).max(0) as u64)).await;
            // Dropped, the process gets SIGKILL: it flushes no records and sends its clients nothing.
            let killed: Option<ProxyProcess> = proxies.borrow_mut().get_mut(number).and_then(Option::take);
            drop(killed);
            load.remove_proxy(number);
            Timer::after(Duration::from_micros((at + downtime - now()).max(0) as u64)).await;
            let mut proxy = ProxyProcess::start(&setup, number)?;
            load.proxy_addresses[number].set(Some(proxy.wait_until_listening().await?));
            kills.borrow_mut().push((number, at, now()));
            proxies.borrow_mut()[number] = Some(proxy);
            Ok::<(), String>(())
        }));
    }
    let profile = LoadProfile {
        requests_per_second: timeline.rate,
        seconds: timeline.seconds,
        groups: timeline.groups,
        mix: ClassMix::with_reports(timeline.reports),
        seed: timeline.seed,
    };
    load.run(profile, on_progress).await;
    for task in tasks {
        task.await?;
    }
    let mut process_usage = Vec::new();
    let all: Vec<ProxyProcess> = proxies.borrow_mut().iter_mut().filter_map(Option::take).collect();
    for proxy in &all {
        process_usage.extend(proxy.usage());
        proxy.terminate()?;
    }
    for proxy in all {
        proxy.wait_for_exit().await?;
    }
    let kills = kills.borrow().clone();
    let members = stand_ins.model();
    let peaks = members.members.iter().map(|member| (member.name.clone(), member.peak_overload));
    let slow_start_peaks = peaks.collect();
    Ok(RunResults {
        start: load_start,
        load,
        kills,
        writes: stand_ins.writes(),
        slow_start_peaks,
        process_usage,
    })
}

/// Returns the requests to a proxy that ended for their clients within a span.
pub fn finished_within(
    requests: &[RequestRecord],
    proxy: usize,
    span: (Micros, Micros),
) -> impl Iterator<Item = &RequestRecord> {
    requests
        .iter()
        .filter(move |request| request.proxy == proxy && (span.0..span.1).contains(&request.finished_at))
}

/// Returns the directory of a run's record stores.
pub fn records_directory(directory: &Path) -> PathBuf {
    directory.join("records")
}
