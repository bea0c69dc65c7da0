//! The processes of a run, the members' agents, and the network between them.

use super::case::{Case, Scenario};
use super::events::{MemberEvent, MemberEventKind, StopCause};
use super::member_agents::MemberAgents;
use super::report::are_rollouts_finished;
use super::rules::Site;
use super::settings::{release_element, sites, status_file};
use crate::cluster::Cluster;
use crate::discovery_agent;
use crate::proxies::ProxyConfig;
use crate::relay::{Links, Mesh};
use crate::run::RunPaths;
use async_executor::LocalExecutor;
use std::cell::Cell;
use std::rc::Rc;
use wharfplank_lab::clock::now;
use wharfplank_lab::load::Load;
use wharfplank_lab::member_model::{MemberModel, USUAL_REPORTS_PER_MILLE};
use wharfplank_lab::stand_ins::StandIns;
use wharfplank_lab::timeline::Timeline;

/// The proxies of a run, the members' agents and the load.
pub(super) struct Harness {
    pub(super) paths: RunPaths,
    pub(super) scenario: Scenario,
    pub(super) agents: Rc<MemberAgents>,
    pub(super) cluster: Cluster,
    pub(super) load: Rc<Load>,
    /// Whether the fault was injected.
    pub(super) had_fault: Cell<bool>,
    stand_ins: Rc<StandIns>,
}

impl Harness {
    /// Starts the stand-in members, the agents and the network of a run. No proxy is started yet.
    pub(super) fn prepare(
        scenario: &Scenario,
        paths: &RunPaths,
        load_seconds: u64,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> std::io::Result<Rc<Harness>> {
        let stand_ins = start_stand_ins(scenario, load_seconds, executor)?;
        let agents = MemberAgents::start(executor, &stand_ins, scenario)?;
        let zones = (0..scenario.proxies).map(ProxyConfig::zone).collect();
        let links = Links::start(executor, &stand_ins, zones)?;
        let mesh = Mesh::start(executor, scenario.proxies, scenario.seed)?;
        let mut configs = Vec::new();
        for number in 0..scenario.proxies {
            let mut config = ProxyConfig {
                program: paths.program.clone(),
                directory: paths.directory.clone(),
                number,
                discovery: discovery_agent::start(executor, &stand_ins, &links, number)?,
                known_endpoints: discovery_agent::proxy_endpoint_list(&stand_ins, &links, number),
                peers: None,
                proxies: scenario.proxies,
                replica_bytes: 0,
                skew_ms: 0,
                extra_settings: String::new(),
            };
            if scenario.case != Case::WithoutRollout {
                config.extra_settings = release_element(scenario, &stand_ins, &agents, &mesh, &config);
            }
            configs.push(config);
        }
        Ok(Rc::new(Harness {
            paths: paths.clone(),
            scenario: scenario.clone(),
            agents,
            cluster: Cluster::new(configs, mesh),
            load: Load::new(executor, scenario.proxies),
            had_fault: Cell::new(false),
            stand_ins,
        }))
    }

    /// Kills a proxy, and removes it from the load generator.
    pub(super) fn kill(&self, proxy: usize) {
        self.load.remove_proxy(proxy);
        self.cluster.kill(proxy);
    }

    /// Registers the addresses that proxies have logged since the last call.
    pub(super) fn register_addresses(&self) {
        self.cluster.register_addresses(|proxy, addr| self.load.proxy_addresses[proxy].set(Some(addr)));
    }

    /// Returns whether all rollouts have finished at all proxies, and all members serve.
    pub(super) fn is_finished(&self) -> bool {
        let is_finished_at = |proxy: usize| are_rollouts_finished(&status_file(&self.paths.directory, proxy));
        let are_finished =
            self.scenario.case == Case::WithoutRollout || (0..self.cluster.len()).all(is_finished_at);
        are_finished && self.agents.states.borrow().iter().all(|state| state.ready)
    }

    /// Returns the number of orders that were followed so far.
    pub(super) fn followed_orders(&self) -> usize {
        let is_order = |event: &&MemberEvent| {
            matches!(event.kind, MemberEventKind::Stopped { cause: StopCause::Ordered, .. })
        };
        self.agents.events.borrow().iter().filter(is_order).count()
    }

    /// Returns the site of each member.
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
