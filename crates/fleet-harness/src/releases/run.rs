//! One run: the stand-ins, the proxies as processes, the load, the release and its fault, and the checker at the end.
//! Every process that it starts it ends by its id, whatever happens.

use super::agents::Agents;
use super::case::{Case, Played, NEW};
use super::events::{MemberEvent, MemberEventKind, StopCause};
use super::outcome::{is_over, turned, Outcome};
use super::rules::check;
use super::settings::{banks, element, ledger, signal, sites, LIMITS};
use crate::agent;
use crate::cluster::Cluster;
use crate::proxies::Plan;
use crate::relay::{Links, Mesh};
use crate::run::Place;
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::fleet::{Fleet, Micros};
use wharfplank_lab::load::Load;
use wharfplank_lab::stand::{now, Stand};
use wharfplank_lab::timeline::Timeline;

const START_MOST: Micros = 30_000_000;
/// Before the release: a proxy drives once it could have heard of lesser ones.
const SETTLE: Duration = Duration::from_secs(5);
/// A release that is not over by then does not end.
const RELEASE_MOST: Micros = 150_000_000;
const END_MOST: Duration = Duration::from_secs(8);
const LOAD_MOST_S: u64 = 200;

/// Everything that a run holds.
pub(super) struct Rig {
    pub(super) place: Place,
    pub(super) played: Played,
    pub(super) agents: Rc<Agents>,
    pub(super) cluster: Cluster,
    /// Whether the fault came.
    pub(super) faulted: Cell<bool>,
    load: Rc<Load>,
}

impl Rig {
    /// Kills a proxy, and tells the load.
    pub(super) fn kill(&self, n: usize) {
        self.load.down(n);
        self.cluster.kill(n);
    }

    /// Orders that were followed so far.
    pub(super) fn followed(&self) -> usize {
        let is_order = |event: &&MemberEvent| {
            matches!(event.kind, MemberEventKind::Stopped { cause: StopCause::Ordered, .. })
        };
        self.agents.events.borrow().iter().filter(is_order).count()
    }

    /// Takes over the addresses that proxies have logged since the last call.
    fn register_addresses(&self) {
        self.cluster.register_addresses(|n, addr| self.load.proxies[n].set(Some(addr)));
    }

    /// Whether all is over, and all members serve.
    fn over(&self) -> bool {
        let status = |n: usize| signal(&self.place.directory, n).with_extension("signal.status");
        let releases =
            self.played.case == Case::ByThemselves || (0..self.played.proxies).all(|n| is_over(&status(n)));
        releases && self.agents.states.borrow().iter().all(|state| state.ready)
    }
}

/// Plays a run; its files are in the place's directory.
pub fn play(played: &Played, place: &Place) -> Result<Outcome, String> {
    let fault = |e: std::io::Error| format!("{}: {e}", place.directory.display());
    std::fs::create_dir_all(&place.directory).map_err(fault)?;
    // An empty ledger, as an operator makes for a bank's first start.
    (0..banks(played.proxies))
        .try_for_each(|n| std::fs::write(ledger(&place.directory, n), ""))
        .map_err(fault)?;
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let outcome = async_io::block_on(executor.run(playing(played, place, &executor)))?;
    let json = serde_json::to_string_pretty(&outcome).map_err(|e| e.to_string())?;
    std::fs::write(place.directory.join("outcome.json"), json).map_err(fault)?;
    Ok(outcome)
}

fn rig(
    played: &Played,
    place: &Place,
    executor: &Rc<LocalExecutor<'static>>,
) -> std::io::Result<(Rig, Rc<Stand>)> {
    let timeline = Timeline {
        seconds: LOAD_MOST_S,
        rate: played.rate,
        proxies: played.proxies,
        groups: played.groups,
        members: played.each,
        seed: played.seed,
        troubles: Vec::new(),
    };
    let stand = Stand::start(executor, Fleet::new(&timeline, now()))?;
    let agents = Agents::start(executor, &stand, played)?;
    let links = Links::start(executor, &stand, (0..played.proxies).map(Plan::zone).collect())?;
    let mesh = Mesh::start(executor, played.proxies, played.seed)?;
    let mut plans = Vec::new();
    for number in 0..played.proxies {
        let mut plan = Plan {
            program: place.program.clone(),
            directory: place.directory.clone(),
            number,
            discovery: agent::start(executor, &stand, &links, number)?,
            known: agent::list(&stand, &links, number),
            peers: None,
            proxies: played.proxies,
            replica_bytes: 0,
            skew_ms: 0,
            more: String::new(),
        };
        if played.case != Case::ByThemselves {
            plan.more = element(played, &stand, &agents, &mesh, &plan);
        }
        plans.push(plan);
    }
    let load = Load::new(executor, played.proxies);
    Ok((
        Rig {
            place: place.clone(),
            played: played.clone(),
            agents,
            cluster: Cluster::new(plans, mesh),
            faulted: Cell::new(false),
            load,
        },
        stand,
    ))
}

async fn playing(
    played: &Played,
    place: &Place,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<Outcome, String> {
    let (rig, stand) = rig(played, place, executor).map_err(|e| e.to_string())?;
    let rig = Rc::new(rig);
    (0..played.proxies).try_for_each(|n| rig.cluster.start(n))?;
    let at = Rc::clone(&rig);
    let _hears: Task<()> = executor.spawn(async move {
        loop {
            at.register_addresses();
            Timer::after(Duration::from_millis(5)).await;
        }
    });
    let deadline = now() + START_MOST;
    for n in 0..played.proxies {
        while rig.load.proxies[n].get().is_none() || !rig.load.ready(n).await {
            if now() > deadline {
                return Err(format!(
                    "proxy n{n} does not start; see {}",
                    Plan::log(&place.directory, n).display()
                ));
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }
    let (load, seconds) = (Rc::clone(&rig.load), if played.load_s > 0 { played.load_s } else { LOAD_MOST_S });
    let (rate, groups, seed) = (played.rate, played.groups, played.seed);
    let settle = SETTLE.as_secs();
    let loaded = executor.spawn(async move { load.run(rate, seconds + settle, groups, seed, |_| {}).await });
    Timer::after(SETTLE).await;
    let begin = now();
    rig.begin().await?;
    let fault = executor.spawn(Rc::clone(&rig).fault());
    while !rig.over() && now() - begin < RELEASE_MOST {
        Timer::after(Duration::from_millis(50)).await;
    }
    let (ended, end) = (rig.over(), now());
    fault.cancel().await.transpose()?;
    if played.load_s > 0 {
        loaded.await;
    } else {
        loaded.cancel().await;
    }
    let states = rig.agents.states.borrow().clone();
    let events = rig.agents.events.borrow().clone();
    let same = states.iter().all(|state| state.ready && state.version == states[0].version);
    let runs_new = |event: &&MemberEvent| matches!(event.kind, MemberEventKind::Started { version: NEW, .. });
    let logs = (0..played.proxies).map(|n| Plan::log(&place.directory, n));
    let all_turned: BTreeSet<String> = logs.flat_map(|log| turned(&log)).collect();
    let mut outcome = Outcome {
        case: played.case.name().to_string(),
        seed: played.seed,
        violations: check(&events, &sites(&stand), LIMITS),
        ended,
        faulted: rig.faulted.get(),
        version: same.then_some(states[0].version),
        followed: rig.followed(),
        touched: events.iter().filter(runs_new).map(|event| event.member).collect::<BTreeSet<_>>().len(),
        void: rig.agents.void.get(),
        took_ms: (end - begin) / 1000,
        turned: all_turned.into_iter().collect(),
        ..Outcome::default()
    };
    let until = begin + if played.load_s > 0 { played.load_s as Micros * 1_000_000 } else { end - begin };
    outcome.clients(&rig.load.done.borrow(), begin, until);
    let text = serde_json::to_string_pretty(&events).map_err(|e| e.to_string())?;
    std::fs::write(place.directory.join("diary.json"), text).map_err(|e| e.to_string())?;
    for proxy in rig.cluster.take_all() {
        proxy.end(END_MOST)?;
    }
    Ok(outcome)
}
