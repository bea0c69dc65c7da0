//! The processes of a run, and the network between them.

use super::case::LIMIT_PER_PROXY;
use super::{Case, ALLOCATORS, STATIC_PERCENT};
use crate::agent;
use crate::cluster::Cluster;
use crate::proxies::Plan;
use crate::relay::{Links, Mesh};
use crate::run::Place;
use async_executor::LocalExecutor;
use std::net::SocketAddrV4;
use std::rc::Rc;
use wharfplank_lab::clock::now;
use wharfplank_lab::load::Load;
use wharfplank_lab::member_model::{MemberModel, USUAL_REPORTS_PER_MILLE};
use wharfplank_lab::stand_ins::StandIns;
use wharfplank_lab::timeline::Timeline;

/// What the clocks of the proxies are ahead in [`Case::Skew`], by turn, in milliseconds.
const SKEWS_MS: [i64; 3] = [0, 500, -500];

/// What the network does to datagrams in [`Case::Lossy`].
const LOSS: f64 = 0.2;
const DUPLICATES: f64 = 0.1;
const JITTER_MICROS: i64 = 100_000;

/// The proxies of a run and the load of each.
pub(super) struct Rig {
    pub(super) cluster: Cluster,
    /// The load of each proxy.
    pub(super) loads: Vec<Rc<Load>>,
}

impl Rig {
    /// The stand-ins, the network and the plans of a run; no proxy is started yet.
    pub(super) fn prepare(
        case: Case,
        proxies: usize,
        seed: u64,
        place: &Place,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> std::io::Result<Rc<Rig>> {
        let stand_ins = start_stand_ins(proxies, seed, executor)?;
        let links = Links::start(executor, &stand_ins, (0..proxies).map(Plan::zone).collect())?;
        let mesh = Mesh::start(executor, proxies, seed)?;
        if case == Case::Lossy {
            make_lossy(&mesh);
        }
        let mut plans = Vec::new();
        for number in 0..proxies {
            let skew_ms = if case == Case::Skew { SKEWS_MS[number % SKEWS_MS.len()] } else { 0 };
            plans.push(Plan {
                program: place.program.clone(),
                directory: place.directory.clone(),
                number,
                discovery: agent::start(executor, &stand_ins, &links, number)?,
                known: agent::list(&stand_ins, &links, number),
                peers: None,
                proxies,
                replica_bytes: 0,
                skew_ms: 0,
                more: settings(&mesh.inbox[..ALLOCATORS], mesh.inbox[number], proxies, skew_ms),
            });
        }
        Ok(Rc::new(Rig {
            cluster: Cluster::new(plans, mesh),
            loads: (0..proxies).map(|_| Load::new(executor, 1)).collect(),
        }))
    }

    /// Takes over the addresses that proxies have logged since the last call.
    pub(super) fn register_addresses(&self) {
        self.cluster.register_addresses(|index, addr| self.loads[index].proxy_addresses[0].set(Some(addr)));
    }

    /// Kills a proxy, and tells its load.
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
    let mut wire = mesh.wire.borrow_mut();
    wire.loss = LOSS;
    wire.duplicate = DUPLICATES;
    wire.jitter = JITTER_MICROS;
}

/// The element of the settings that shares the budgets.
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
