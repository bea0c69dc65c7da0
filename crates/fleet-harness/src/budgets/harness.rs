//! The proxy processes of a run, and the network between them.

use super::case::LIMIT_PER_PROXY;
use super::{Case, ALLOCATORS, STATIC_PERCENT};
use crate::cluster::Cluster;
use crate::discovery_agent;
use crate::proxies::ProxyConfig;
use crate::relay::{Links, Mesh};
use crate::run::RunPaths;
use async_executor::LocalExecutor;
use std::net::SocketAddrV4;
use std::rc::Rc;
use wharfplank_lab::clock::now;
use wharfplank_lab::load::Load;
use wharfplank_lab::member_model::{MemberModel, USUAL_REPORTS_PER_MILLE};
use wharfplank_lab::stand_ins::StandIns;
use wharfplank_lab::timeline::Timeline;

/// The clock offsets in [`Case::Skew`] in milliseconds, assigned to the proxies in turn.
const SKEWS_MS: [i64; 3] = [0, 500, -500];

/// The network conditions in [`Case::Lossy`].
const LOSS: f64 = 0.2;
const DUPLICATES: f64 = 0.1;
const JITTER_MICROS: i64 = 100_000;

/// The proxies of a run and the load of each.
pub(super) struct Harness {
    pub(super) cluster: Cluster,
    /// The load of each proxy.
    pub(super) loads: Vec<Rc<Load>>,
}

impl Harness {
    /// Prepares the stand-in members, the network and the proxy configurations of a run. No proxy is started
    /// yet.
    pub(super) fn prepare(
        case: Case,
        proxies: usize,
        seed: u64,
        paths: &RunPaths,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> std::io::Result<Rc<Harness>> {
        let stand_ins = start_stand_ins(proxies, seed, executor)?;
        let links = Links::start(executor, &stand_ins, (0..proxies).map(ProxyConfig::zone).collect())?;
        let mesh = Mesh::start(executor, proxies, seed)?;
        if case == Case::Lossy {
            make_lossy(&mesh);
        }
        let mut configs = Vec::new();
        for number in 0..proxies {
            let skew_ms = if case == Case::Skew { SKEWS_MS[number % SKEWS_MS.len()] } else { 0 };
            configs.push(ProxyConfig {
                program: paths.program.clone(),
                directory: paths.directory.clone(),
                number,
                discovery: discovery_agent::start(executor, &stand_ins, &links, number)?,
                known_endpoints: discovery_agent::proxy_endpoint_list(&stand_ins, &links, number),
                peers: None,
                proxies,
                replica_bytes: 0,
                skew_ms: 0,
                extra_settings: settings(
                    &mesh.inbox_addresses[..ALLOCATORS],
                    mesh.inbox_addresses[number],
                    proxies,
                    skew_ms,
                ),
            });
        }
        Ok(Rc::new(Harness {
            cluster: Cluster::new(configs, mesh),
            loads: (0..proxies).map(|_| Load::new(executor, 1)).collect(),
        }))
    }

    /// Registers the addresses that proxies have logged since the last call.
    pub(super) fn register_addresses(&self) {
        self.cluster.register_addresses(|index, addr| self.loads[index].proxy_addresses[0].set(Some(addr)));
    }

    /// Kills a proxy, and removes it from its load generator.
    pub(super) fn kill(&self, index: usize) {
        self.loads[index].remove_proxy(0);
        self.cluster.kill(index);
    }
}

fn start_stand_ins(
    proxies: usize,
    seed: u64,
    executor: &Rc<LocalExecutor<'static>>,
) -> std::io::Result<Rc<StandIns>> {
    let timeline = Timeline {
        seconds: 600,
        rate: 100,
        proxies,
        groups: 3,
        members: 4,
        reports: USUAL_REPORTS_PER_MILLE,
        seed,
        scripted_faults: Vec::new(),
    };
    StandIns::start(executor, MemberModel::new(&timeline, now()))
}

fn make_lossy(mesh: &Mesh) {
    let mut conditions = mesh.conditions.borrow_mut();
    conditions.loss = LOSS;
    conditions.duplicate = DUPLICATES;
    conditions.jitter = JITTER_MICROS;
}

/// Returns the `<budgets>` element of a proxy's settings.
fn settings(allocators: &[SocketAddrV4], own: SocketAddrV4, proxies: usize, skew_ms: i64) -> String {
    let allocators: Vec<String> = allocators.iter().map(ToString::to_string).collect();
    let limit = LIMIT_PER_PROXY * proxies as u64;
    format!(
        "  <budgets listen=\"127.0.0.1:0\" advertise=\"{own}\" banks=\"{}\" proxies=\"{proxies}\" \
         even=\"{STATIC_PERCENT}\" requests=\"{limit}\" tenants=\"1={limit}\" retries=\"{limit}\" probes=\"{limit}\" \
         connects=\"{limit}\" held=\"{limit}\" discovery=\"{limit}\" clock-skew-ms=\"{skew_ms}\"/>\n",
        allocators.join(" ")
    )
}
