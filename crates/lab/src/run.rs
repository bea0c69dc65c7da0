//! Starts the real program as processes and plays a timeline against them.

mod configure;
mod process;

pub use process::Used;

use crate::clock::now;
use crate::load::{Load, LoadProfile, RequestRecord};
use crate::member_model::{ClassMix, MemberModel, Micros};
use crate::stand_ins::StandIns;
use crate::timeline::{Kind, Timeline};
use async_executor::LocalExecutor;
use async_io::Timer;
use configure::{configure, free};
use process::Proxy;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Where a run keeps its files, and the program under test.
#[derive(Clone, Debug)]
pub struct Place {
    /// The program.
    pub program: PathBuf,
    /// A directory for configurations, logs and records.
    pub directory: PathBuf,
    /// Which proxies keep records, by number; all others do not.
    pub records: fn(usize) -> bool,
    /// Where all but the first talk: what the second runs in the program's place. The load goes to the first three.
    pub talk: Option<PathBuf>,
}

impl Place {
    fn program(&self, number: usize) -> &Path {
        self.talk.as_deref().filter(|_| number == 1).unwrap_or(&self.program)
    }

    fn has_settings(&self, number: usize) -> bool {
        (self.records)(number) || (self.talk.is_some() && number > 0)
    }
}

/// What a run saw.
pub struct Ran {
    /// When the load began.
    pub start: Micros,
    /// Each request, as its client saw it.
    pub load: Rc<Load>,
    /// Proxies that were killed: number, when, and when they served again.
    pub kills: Vec<(usize, Micros, Micros)>,
    /// Writes that members ran.
    pub writes: u64,
    /// The most work that each member was sent while it warmed up, as a fraction of what makes it collapse.
    pub slow_start_peaks: Vec<(String, f64)>,
    /// What each proxy had used at the end.
    pub used: Vec<Used>,
}

/// Plays a timeline. `each` hears the share of the load that has been sent.
pub fn play(timeline: &Timeline, place: &Place, each: impl Fn(f64)) -> Result<Ran, String> {
    let records = place.directory.join("records");
    let _ = std::fs::remove_dir_all(&records);
    std::fs::create_dir_all(&records).map_err(|e| format!("{}: {e}", records.display()))?;
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let work = playing(timeline, place, &executor, each);
    async_io::block_on(executor.run(work))
}

async fn playing(
    timeline: &Timeline,
    place: &Place,
    executor: &Rc<LocalExecutor<'static>>,
    each: impl Fn(f64),
) -> Result<Ran, String> {
    let fault = |e: std::io::Error| e.to_string();
    // The fleet's clock starts with the load, so that the script's seconds are the load's.
    let begin = now() + 3_000_000;
    let stand_ins = StandIns::start(executor, MemberModel::new(timeline, begin)).map_err(fault)?;
    let loaded = place.talk.as_ref().map_or(timeline.proxies, |_| timeline.proxies.min(3));
    let load = Load::new(executor, loaded);
    let addresses = free(timeline.proxies).map_err(fault)?;
    let mut proxies = Vec::new();
    for number in 0..timeline.proxies {
        let discovery = stand_ins.start_discovery().map_err(fault)?;
        configure(place, number, discovery, &stand_ins.endpoint_list(), &addresses).map_err(fault)?;
        proxies.push(Proxy::start(place, number)?);
    }
    for (number, proxy) in proxies.iter_mut().enumerate().take(loaded) {
        load.proxy_addresses[number].set(Some(proxy.listens().await?));
        while !load.is_ready(number).await {
            Timer::after(Duration::from_millis(10)).await;
        }
    }
    Timer::after(Duration::from_micros((begin - now()).max(0) as u64)).await;
    let proxies: Vec<Option<Proxy>> = proxies.into_iter().map(Some).collect();
    let proxies = Rc::new(RefCell::new(proxies));
    let kills = Rc::new(RefCell::new(Vec::new()));
    let mut tasks = Vec::new();
    for trouble in timeline.troubles.iter().filter(|t| t.kind == Kind::KillProxy) {
        let number: usize =
            trouble.on.trim_start_matches('n').parse().map_err(|_| "kill-proxy names one proxy")?;
        let (at, back) = (begin + trouble.at as Micros * 1_000_000, trouble.lasts as Micros * 1_000_000);
        let (load, proxies, kills, place) =
            (Rc::clone(&load), Rc::clone(&proxies), Rc::clone(&kills), place.clone());
        tasks.push(executor.spawn(async move {
            Timer::after(Duration::from_micros((at - now()).max(0) as u64)).await;
            // SIGKILL: nothing is flushed, nothing is said.
            let killed: Option<Proxy> = proxies.borrow_mut().get_mut(number).and_then(Option::take);
            drop(killed);
            load.remove_proxy(number);
            Timer::after(Duration::from_micros((at + back - now()).max(0) as u64)).await;
            let mut proxy = Proxy::start(&place, number)?;
            load.proxy_addresses[number].set(Some(proxy.listens().await?));
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
    load.run(profile, each).await;
    for task in tasks {
        task.await?;
    }
    let mut used = Vec::new();
    let all: Vec<Proxy> = proxies.borrow_mut().iter_mut().filter_map(Option::take).collect();
    for proxy in &all {
        used.extend(proxy.used());
        proxy.ask_to_end()?;
    }
    for proxy in all {
        proxy.ended().await?;
    }
    let kills = kills.borrow().clone();
    let members = stand_ins.model();
    let peaks = members.members.iter().map(|member| (member.name.clone(), member.peak_overload));
    let slow_start_peaks = peaks.collect();
    Ok(Ran { start: begin, load, kills, writes: stand_ins.writes(), slow_start_peaks, used })
}

/// The requests of a proxy whose end was seen within a span.
pub fn within(
    done: &[RequestRecord],
    proxy: usize,
    span: (Micros, Micros),
) -> impl Iterator<Item = &RequestRecord> {
    done.iter().filter(move |d| d.proxy == proxy && (span.0..span.1).contains(&d.finished_at))
}

/// The directory of a run's records.
pub fn records(directory: &Path) -> PathBuf {
    directory.join("records")
}
