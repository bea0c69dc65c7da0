//! One run of the rig: the stand-ins and relays, the proxies as processes, the load, the schedule's faults carried out
//! at their times, and the checker at the end. Every process that it starts it ends by its id, whatever happens.

mod counted;
mod faults;
mod script;

use crate::agent;
use crate::check::{check, differing, Report};
use crate::cluster::Cluster;
use crate::goodput;
use crate::ground_truth::GroundTruth;
use crate::proxies::Plan;
use crate::relay::{Links, Mesh};
use crate::schedule::{Fault, Schedule};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use script::timeline;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::clock::now;
use wharfplank_lab::load::{Load, LoadProfile, WriteRetries};
use wharfplank_lab::member_model::{ClassMix, MemberModel, Micros};
use wharfplank_lab::stand_ins::StandIns;

/// How long proxies may take to start, and the time before the load in which they find each other.
const START_MOST: Duration = Duration::from_secs(30);
const SETTLE: Micros = 4_000_000;
/// An answer that comes this long after its request's time earns nothing; later, or never, the request is lost: the
/// platform's rule on its days, kept here so that a machine that is busy for a moment breaks no rule.
const GRACE: Micros = 500_000;
/// Clients whose write was answered as failed send it again so much later, at another proxy on their side of a cut.
const AGAIN_AFTER: Duration = Duration::from_millis(300);
/// How long proxies may take after the load to hold the same.
const CONVERGE_MOST: Micros = 15_000_000;
const END_MOST: Duration = Duration::from_secs(8);

/// The program under test and where a run keeps its files.
#[derive(Clone, Debug)]
pub struct Place {
    /// The program.
    pub program: PathBuf,
    /// A directory for configurations, logs, the schedule and the report.
    pub directory: PathBuf,
}

/// Plays a schedule; writes it, the logs and the report into the place's directory.
pub fn play(schedule: &Schedule, place: &Place) -> Result<Report, String> {
    std::fs::create_dir_all(&place.directory).map_err(|e| format!("{}: {e}", place.directory.display()))?;
    for n in 0..schedule.proxies {
        let _ = std::fs::remove_file(Plan::log(&place.directory, n));
    }
    let text = serde_json::to_string_pretty(schedule).map_err(|e| e.to_string())?;
    std::fs::write(place.directory.join("schedule.json"), text).map_err(|e| e.to_string())?;
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let report = async_io::block_on(executor.run(playing(schedule, place, &executor)))?;
    let json = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
    std::fs::write(place.directory.join("report.json"), json).map_err(|e| e.to_string())?;
    Ok(report)
}

/// Everything that a run holds, shared by the tasks that carry faults out.
struct Rig {
    place: Place,
    cluster: Cluster,
    links: Rc<Links>,
    load: Rc<Load>,
    crashed: RefCell<u64>,
    old_snapshot: bool,
    /// The members as they truly were.
    truth: RefCell<GroundTruth>,
    /// The most that the rig itself was late: a machine that has no time for the rig has none for the proxies.
    late: std::cell::Cell<Micros>,
}

impl Rig {
    /// Takes over the addresses that proxies have logged since the last call.
    fn register_addresses(&self) {
        self.cluster.register_addresses(|n, addr| self.load.proxy_addresses[n].set(Some(addr)));
    }

    /// Kills a proxy, and tells the load.
    fn kill(&self, n: usize) {
        self.load.remove_proxy(n);
        self.cluster.kill(n);
    }

    /// Counts each proxy that ended on its own as a crash, and starts it again so that the run goes on.
    fn restart_crashed(&self) -> Result<(), String> {
        for n in self.cluster.crashed() {
            *self.crashed.borrow_mut() += 1;
            self.kill(n);
            self.cluster.start(n)?;
        }
        Ok(())
    }
}

async fn playing(
    schedule: &Schedule,
    place: &Place,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<Report, String> {
    let fault = |e: std::io::Error| e.to_string();
    // The script waits for the load, the members' log does not: ahead of the clock no read could be stale.
    let mut fleet = MemberModel::new(&timeline(schedule), now());
    fleet.start_script(now() + 600_000_000);
    let stand_ins = StandIns::start(executor, fleet).map_err(fault)?;
    let proxy_zones = (0..schedule.proxies).map(Plan::zone).collect();
    let links = Links::start(executor, &stand_ins, proxy_zones).map_err(fault)?;
    let mesh = Mesh::start(executor, schedule.proxies, schedule.seed).map_err(fault)?;
    let load = Load::new(executor, schedule.proxies);
    load.grace.set(GRACE);
    *load.write_retries.borrow_mut() = WriteRetries {
        delay: AGAIN_AFTER,
        reachable_proxies: vec![(0..schedule.proxies).collect(); schedule.proxies],
    };
    let mut plans = Vec::new();
    for number in 0..schedule.proxies {
        let discovery = agent::start(executor, &stand_ins, &links, number).map_err(fault)?;
        let seeds: Vec<SocketAddrV4> =
            (0..schedule.proxies.min(4)).filter(|s| *s != number).map(|s| mesh.inbox[s]).collect();
        let peers = schedule.peers.then(|| (mesh.inbox[number], seeds));
        let program = place.program.clone();
        let (directory, known, proxies) =
            (place.directory.clone(), agent::list(&stand_ins, &links, number), schedule.proxies);
        let skew_ms = schedule.skew_ms.get(number).copied().unwrap_or(0);
        let more = if schedule.peers { schedule.scenario.more() } else { String::new() };
        plans.push(Plan {
            program,
            directory,
            number,
            discovery,
            known,
            peers,
            proxies,
            replica_bytes: schedule.replica_bytes,
            more,
            skew_ms,
        });
    }
    let rig = Rc::new(Rig {
        place: place.clone(),
        cluster: Cluster::new(plans, mesh),
        links,
        load: Rc::clone(&load),
        crashed: RefCell::new(0),
        old_snapshot: schedule.old_snapshot,
        truth: RefCell::default(),
        late: std::cell::Cell::new(0),
    });
    (0..schedule.proxies).try_for_each(|n| rig.cluster.start(n))?;
    let deadline = now() + START_MOST.as_micros() as Micros;
    for n in 0..schedule.proxies {
        loop {
            rig.register_addresses();
            if load.proxy_addresses[n].get().is_some() && load.is_ready(n).await {
                break;
            }
            if now() > deadline {
                return Err(format!(
                    "proxy n{n} does not start; see {}",
                    Plan::log(&rig.place.directory, n).display()
                ));
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }
    // The members' clock starts with the load; the proxies get a moment to find each other first.
    let begin = now() + SETTLE;
    stand_ins.start_script(begin);
    Timer::after(Duration::from_micros(SETTLE as u64)).await;
    let watcher: Task<Result<(), String>> = {
        let (rig, stand_ins) = (Rc::clone(&rig), Rc::clone(&stand_ins));
        executor.spawn(async move {
            loop {
                rig.register_addresses();
                rig.truth.borrow_mut().sample(now(), &stand_ins.model(), &rig.links);
                rig.restart_crashed()?;
                let due = now() + 5_000;
                Timer::after(Duration::from_millis(5)).await;
                rig.late.set(rig.late.get().max(now() - due));
            }
        })
    };
    let tasks: Vec<Task<Result<(), String>>> =
        schedule.faults.iter().map(|f| executor.spawn(Rc::clone(&rig).carry(f.clone(), begin))).collect();
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
    // Once nothing changes any more, all must come to hold the same.
    let quiet = now();
    let mut diverged = differing(&rig.place.directory, schedule);
    while diverged > 0 && now() - quiet < CONVERGE_MOST {
        Timer::after(Duration::from_millis(200)).await;
        diverged = differing(&rig.place.directory, schedule);
    }
    let converged_ms = (now() - quiet) / 1000;
    if let Some(Err(what)) = watcher.cancel().await {
        return Err(what);
    }
    let counted = rig.counted(schedule, &stand_ins, diverged, converged_ms);
    let ends: Vec<_> = rig.cluster.take_all().into_iter().map(|proxy| proxy.end(END_MOST)).collect();
    let requests = load.finished.borrow().clone();
    let retry_outcomes = load.retry_outcomes.borrow().clone();
    let mut report = check(schedule, begin, &requests, &retry_outcomes, &counted, &rig.place.directory);
    report.goodput = goodput::by_class(&rig.truth.borrow(), &requests, Plan::zone);
    let bad_ends = ends.iter().filter(|e| e.is_err()).count() as u64;
    report.crashed += bad_ends;
    report.broken += bad_ends;
    Ok(report)
}
