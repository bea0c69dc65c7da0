//! Runs whose proxies share budgets: processes of the program, each with a load of its own, on a wire that loses,
//! doubles and cuts, killed, paused and with clocks apart; the checker adds all logs up. Every process is ended.

pub mod check;
mod rig;

use crate::proxies::{Plan, Proxy};
use crate::run::Place;
use async_executor::LocalExecutor;
use async_io::Timer;
use check::{check, Found};
use rig::prepare;
use serde::Serialize;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::fleet::Micros;
use wharfplank_lab::stand::now;

/// What a proxy may do on the mean of the fleet, a second: requests, and the figures of the other budgets.
const EACH: u64 = 20;
/// Demand against the whole, all together; one proxy in five has so many times the mean, the others the rest.
const DEMAND: f64 = 2.0;
const MUCH: f64 = 4.0;
const LITTLE: f64 = 0.25;
/// Per cent of each whole that is divided evenly.
const EVEN: u64 = 10;
const BANKS: usize = 3;
/// The load begins once banks lease and what is new may be spent; the fault comes so much later, and the load ends.
const SETTLE: u64 = 5_000;
const FAULT: u64 = 3_000;
const SECONDS: u64 = 14;
const START_MOST: Micros = 30_000_000;
const END_MOST: Duration = Duration::from_secs(8);

/// The cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Case {
    /// Nothing goes wrong.
    Calm,
    /// Seven in ten proxies are killed, and started again a second later.
    Kill70,
    /// The second half of the proxies joins within 2 s.
    Join,
    /// A third of the proxies hear none of the others for 6 s.
    Cut,
    /// A proxy is paused for 6 s, past its leases.
    Pause,
    /// Clocks are up to 500 ms apart.
    Skew,
    /// Demand moves to other proxies.
    Shift,
    /// A fifth of the datagrams are lost, a tenth come twice.
    Lossy,
    /// A bank is killed for good; a second later the others hear that it is gone, and are started again.
    Gone,
}

impl Case {
    /// All of them.
    pub const ALL: [Case; 9] = [
        Case::Calm,
        Case::Kill70,
        Case::Join,
        Case::Cut,
        Case::Pause,
        Case::Skew,
        Case::Shift,
        Case::Lossy,
        Case::Gone,
    ];
}

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The case, its seed and how many proxies there were.
    pub case: Case,
    /// See `case`.
    pub seed: u64,
    /// See `case`.
    pub proxies: usize,
    /// What the checker found.
    pub found: Found,
    /// The part of the whole that was spent while the load ran, and what an equal split for good could have spent.
    pub used: f64,
    /// See `used`.
    pub even: f64,
    /// The part of the whole spent in each second of the load.
    pub seconds: Vec<f64>,
    /// The part of what banks may lease out that was in force a second before the load's end.
    pub leased: f64,
    /// Proxies that ended on their own or did not end when asked.
    pub crashed: u64,
}

/// What each proxy is asked for a second.
fn demand(proxy: usize) -> u64 {
    (EACH as f64 * DEMAND * if proxy.is_multiple_of(5) { MUCH } else { LITTLE }) as u64
}

/// Plays a case with so many proxies; logs and the report go into the place's directory.
pub fn play(case: Case, proxies: usize, seed: u64, place: &Place) -> Result<Report, String> {
    std::fs::create_dir_all(&place.directory).map_err(|e| format!("{}: {e}", place.directory.display()))?;
    for n in 0..proxies {
        let _ = std::fs::remove_file(Plan::log(&place.directory, n));
    }
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let report = async_io::block_on(executor.run(playing(case, proxies.max(BANKS), seed, place, &executor)))?;
    let json = serde_json::to_string_pretty(&report).map_err(|e| e.to_string())?;
    std::fs::write(place.directory.join("budgets.json"), json).map_err(|e| e.to_string())?;
    Ok(report)
}

async fn playing(
    case: Case,
    proxies: usize,
    seed: u64,
    place: &Place,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<Report, String> {
    let rig = prepare(case, proxies, seed, place, executor).map_err(|e| e.to_string())?;
    let first = if case == Case::Join { (proxies / 2).max(1) } else { proxies };
    (0..first).try_for_each(|n| rig.start(n))?;
    let watcher = {
        let rig = Rc::clone(&rig);
        executor.spawn(async move {
            loop {
                rig.hear();
                Timer::after(Duration::from_millis(5)).await;
            }
        })
    };
    let deadline = now() + START_MOST;
    for n in 0..first {
        while !(rig.loads[n].proxies[0].get().is_some() && rig.loads[n].ready(0).await) {
            if now() > deadline {
                return Err(format!("proxy n{n} does not start; see {}", place.directory.display()));
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }
    Timer::after(Duration::from_millis(SETTLE)).await;
    let begin = now();
    let fault = executor.spawn(Rc::clone(&rig).fault(case, seed));
    let loads: Vec<_> = (0..proxies)
        .map(|n| {
            let load = Rc::clone(&rig.loads[n]);
            executor.spawn(async move {
                // Demand moves half-way, to the next proxy but one.
                let later = if case == Case::Shift { demand(n + 3) } else { demand(n) };
                load.run(demand(n), SECONDS / 2, 3, seed + n as u64, |_| {}).await;
                load.run(later, SECONDS / 2, 3, seed + 7 * n as u64, |_| {}).await;
            })
        })
        .collect();
    for load in loads {
        load.await;
    }
    fault.await?;
    let end = now();
    watcher.cancel().await;
    let mut crashed = 0;
    let all: Vec<Proxy> = rig.proxies.borrow_mut().iter_mut().filter_map(Option::take).collect();
    for mut proxy in all {
        crashed += u64::from(proxy.ended().is_some() || proxy.end(END_MOST).is_err());
    }
    Ok(judged(case, proxies, seed, place, (begin, end), crashed))
}

/// Reads the logs of a run whose load ran in that span.
fn judged(
    case: Case,
    proxies: usize,
    seed: u64,
    place: &Place,
    (begin, end): (Micros, Micros),
    crashed: u64,
) -> Report {
    let all = EACH * proxies as u64;
    let even = all * EVEN / 100 / proxies as u64 * proxies as u64;
    // The first kind is the requests in all.
    let found = check(&place.directory, proxies, 1 << 27, |_| (all - even, all));
    let whole = all as f64;
    let within = |from: i64, to: i64| found.times.iter().filter(|at| (from..to).contains(*at)).count() as f64;
    let seconds =
        (0..SECONDS as i64).map(|s| within(begin + s * 1_000_000, begin + (s + 1) * 1_000_000) / whole);
    let span = (end - begin) as f64 / 1e6;
    let split: u64 = (0..proxies).map(|n| demand(n).min(EACH)).sum();
    Report {
        case,
        seed,
        proxies,
        used: within(begin, end) / whole / span,
        even: split as f64 / whole,
        seconds: seconds.collect(),
        leased: found.leased(end - 1_000_000) as f64 / (all - even) as f64,
        found,
        crashed,
    }
}
