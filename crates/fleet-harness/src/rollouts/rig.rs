//! The processes of a run, the members' agents, and the network between them.

use super::case::{Case, Scenario};
use super::events::{MemberEvent, MemberEventKind, StopCause};
use super::member_agents::MemberAgents;
use super::report::are_rollouts_finished;
use super::rules::Site;
use super::settings::{release_element, sites, status_file};
use crate::agent;
use crate::cluster::Cluster;
use crate::proxies::Plan;
use crate::relay::{Links, Mesh};
use crate::run::Place;
use async_executor::LocalExecutor;
use std::cell::Cell;
use std::rc::Rc;
use wharfplank_lab::clock::now;
use wharfplank_lab::load::Load;
use wharfplank_lab::member_model::{MemberModel, USUAL_REPORTS_PER_MILLE};
use wharfplank_lab::stand_ins::StandIns;
use wharfplank_lab::timeline::Timeline;

/// The proxies of a run, the members' agents and the load.
pub(super) struct Rig {
    pub(super) place: Place,
    pub(super) scenario: Scenario,
    pub(super) agents: Rc<MemberAgents>,
    pub(super) cluster: Cluster,
    pub(super) load: Rc<Load>,
    /// Whether the fault was injected.
    pub(super) had_fault: Cell<bool>,
    stand_ins: Rc<StandIns>,
}

impl Rig {
    /// Starts the stand-ins, the agents and the network of a run; no proxy is started yet.
    pub(super) fn prepare(
        scenario: &Scenario,
        place: &Place,
        load_seconds: u64,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> std::io::Result<Rc<Rig>> {
        let stand_ins = start_stand_ins(scenario, load_seconds, executor)?;
        let agents = MemberAgents::start(executor, &stand_ins, scenario)?;
        let zones = (0..scenario.proxies).map(Plan::zone).collect();
        let links = Links::start(executor, &stand_ins, zones)?;
        let mesh = Mesh::start(executor, scenario.proxies, scenario.seed)?;
        let mut plans = Vec::new();
        for number in 0..scenario.proxies {
            let mut plan = Plan {
                program: place.program.clone(),
                directory: place.directory.clone(),
                number,
                discovery: agent::start(executor, &stand_ins, &links, number)?,
                known: agent::list(&stand_ins, &links, number),
                peers: None,
                proxies: scenario.proxies,
                replica_bytes: 0,
                skew_ms: 0,
                more: String::new(),
            };
            if scenario.case != Case::WithoutRollout {
                plan.more = release_element(scenario, &stand_ins, &agents, &mesh, &plan);
            }
            plans.push(plan);
        }
        Ok(Rc::new(Rig {
            place: place.clone(),
            scenario: scenario.clone(),
            agents,
            cluster: Cluster::new(plans, mesh),
            load: Load::new(executor, scenario.proxies),
            had_fault: Cell::new(false),
            stand_ins,
        }))
    }

    /// Kills a proxy, and tells the load.
    pub(super) fn kill(&self, proxy: usize) {
        self.load.remove_proxy(proxy);
        self.cluster.kill(proxy);
    }

    /// Takes over the addresses that proxies have logged since the last call.
    pub(super) fn register_addresses(&self) {
        self.cluster.register_addresses(|proxy, addr| self.load.proxy_addresses[proxy].set(Some(addr)));
    }

    /// Whether all rollouts have finished at all proxies, and all members serve.
    pub(super) fn is_finished(&self) -> bool {
        let is_finished_at = |proxy: usize| are_rollouts_finished(&status_file(&self.place.directory, proxy));
        let are_finished =
            self.scenario.case == Case::WithoutRollout || (0..self.cluster.len()).all(is_finished_at);
        are_finished && self.agents.states.borrow().iter().all(|state| state.ready)
    }

    /// The number of orders that were followed so far.
    pub(super) fn followed_orders(&self) -> usize {
        let is_order = |event: &&MemberEvent| {
            matches!(event.kind, MemberEventKind::Stopped { cause: StopCause::Ordered, .. })
        };
        self.agents.events.borrow().iter().filter(is_order).count()
    }

    /// The site of each member.
    pub(super) fn sites(&self) -> Vec<Site> {
        sites(&self.stand_ins)
    }
}

fn start_stand_ins(
    scenario: &Scenario,
    load_seconds: u64,
    executor: &Rc<LocalExecutor<'static>>,
) -> std::io::Result<Rc<StandIns>> {
    let timeline = Timeline {
        seconds: load_seconds,
        rate: scenario.request_rate,
        proxies: scenario.proxies,
        groups: scenario.groups,
        members: scenario.members_per_group,
        reports: USUAL_REPORTS_PER_MILLE,
        seed: scenario.seed,
        scripted_faults: Vec::new(),
    };
    StandIns::start(executor, MemberModel::new(&timeline, now()))
}
