//! The processes of a run, the wire between them, and its fault.

use super::{Case, BANKS, EACH, EVEN, FAULT};
use crate::agent;
use crate::proxies::{Heard, Plan, Proxy};
use crate::relay::{Links, Mesh};
use crate::run::Place;
use crate::schedule::ZONES;
use async_executor::LocalExecutor;
use async_io::Timer;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::fleet::Fleet;
use wharfplank_lab::load::Load;
use wharfplank_lab::stand::{now, Stand};
use wharfplank_lab::timeline::Timeline;

/// A run.
pub(super) struct Rig {
    plans: Vec<Plan>,
    pub(super) proxies: RefCell<Vec<Option<Proxy>>>,
    mesh: Rc<Mesh>,
    pub(super) loads: Vec<Rc<Load>>,
}

impl Rig {
    pub(super) fn hear(&self) {
        for (n, proxy) in self.proxies.borrow_mut().iter_mut().enumerate() {
            let Some(proxy) = proxy.as_mut() else { continue };
            while let Ok(heard) = proxy.heard.try_recv() {
                match heard {
                    Heard::Listens(at) => self.loads[n].proxies[0].set(Some(at)),
                    Heard::Peers(at) => self.mesh.register(n, at),
                }
            }
        }
    }

    pub(super) fn start(&self, n: usize) -> Result<(), String> {
        self.proxies.borrow_mut()[n] = Some(Proxy::start(&self.plans[n])?);
        Ok(())
    }

    fn kill(&self, n: usize) {
        self.loads[n].down(0);
        drop(self.proxies.borrow_mut()[n].take());
    }

    fn pause(&self, n: usize, pause: bool) {
        self.proxies.borrow_mut()[n].iter_mut().for_each(|proxy| proxy.pause(pause));
    }

    fn cut(&self, side: &[usize], cut: bool) {
        let mut wire = self.mesh.wire.borrow_mut();
        for a in side {
            for b in (0..self.plans.len()).filter(|b| !side.contains(b)) {
                for pair in [(*a, b), (b, *a)] {
                    if cut {
                        wire.blocked.insert(pair);
                    } else {
                        wire.blocked.remove(&pair);
                    }
                }
            }
        }
    }

    /// Carries a case's fault out.
    pub(super) async fn fault(self: Rc<Self>, case: Case, seed: u64) -> Result<(), String> {
        let n = self.plans.len();
        let mut rng = SmallRng::seed_from_u64(seed);
        let pause = |ms: u64| Timer::after(Duration::from_millis(ms));
        pause(FAULT + rng.random_range(0..1_000)).await;
        match case {
            Case::Kill70 => {
                let mut all: Vec<usize> = (0..n).collect();
                (1..n).rev().for_each(|i| all.swap(i, rng.random_range(0..=i)));
                all.truncate((n * 7).div_ceil(10).min(n - 1));
                all.iter().for_each(|n| self.kill(*n));
                pause(1_000).await;
                all.into_iter().try_for_each(|n| self.start(n))?;
            }
            Case::Join => {
                for joins in n / 2..n {
                    self.start(joins)?;
                    pause(2_000 / (n - n / 2) as u64).await;
                }
            }
            Case::Cut => {
                let side: Vec<usize> = (0..n).filter(|p| p % 3 == 0).collect();
                self.cut(&side, true);
                pause(6_000).await;
                self.cut(&side, false);
            }
            Case::Pause => {
                let paused = rng.random_range(0..n);
                self.pause(paused, true);
                pause(6_000).await;
                self.pause(paused, false);
            }
            Case::Gone => {
                let gone = BANKS - 1;
                self.kill(gone);
                pause(1_000).await;
                let told = format!("<budgets gone=\"{}\" set=\"2\"", self.mesh.inbox[gone]);
                for n in (0..n).filter(|n| *n != gone) {
                    self.kill(n);
                    let mut plan = self.plans[n].clone();
                    plan.more = plan.more.replace("<budgets", &told);
                    self.proxies.borrow_mut()[n] = Some(Proxy::start(&plan)?);
                }
            }
            Case::Calm | Case::Skew | Case::Shift | Case::Lossy => {}
        }
        Ok(())
    }
}

fn settings(banks: &[SocketAddrV4], me: SocketAddrV4, proxies: usize, skew_ms: i64) -> String {
    let banks: Vec<String> = banks.iter().map(ToString::to_string).collect();
    let all = EACH * proxies as u64;
    format!(
        "  <budgets listen=\"127.0.0.1:0\" advertise=\"{me}\" banks=\"{}\" proxies=\"{proxies}\" even=\"{EVEN}\" \
         requests=\"{all}\" tenants=\"1={all}\" retries=\"{all}\" probes=\"{all}\" connects=\"{all}\" held=\"{all}\" \
         discovery=\"{all}\" clock-skew-ms=\"{skew_ms}\"/>\n",
        banks.join(" ")
    )
}

pub(super) fn prepare(
    case: Case,
    proxies: usize,
    seed: u64,
    place: &Place,
    executor: &Rc<LocalExecutor<'static>>,
) -> std::io::Result<Rc<Rig>> {
    let timeline =
        Timeline { seconds: 600, rate: 100, proxies, groups: 3, members: 4, seed, troubles: Vec::new() };
    let stand = Stand::start(executor, Fleet::new(&timeline, now()))?;
    let list = stand.list();
    let hosts = list.get("hosts").and_then(serde_json::Value::as_array).cloned().unwrap_or_default();
    let zone_of = |site: &str| ZONES.into_iter().find(|z| *z == site).unwrap_or(ZONES[0]);
    let members: Vec<(SocketAddr, &'static str)> = hosts
        .iter()
        .filter_map(|h| Some((h.get("dial")?.as_str()?.parse().ok()?, zone_of(h.get("site")?.as_str()?))))
        .collect();
    let links = Links::start(executor, &stand, &members, (0..proxies).map(Plan::zone).collect())?;
    let mesh = Mesh::start(executor, proxies, seed)?;
    if case == Case::Lossy {
        let mut wire = mesh.wire.borrow_mut();
        (wire.loss, wire.duplicate, wire.jitter) = (0.2, 0.1, 100_000);
    }
    let mut plans = Vec::new();
    for number in 0..proxies {
        let skew_ms = if case == Case::Skew { [0, 500, -500][number % 3] } else { 0 };
        plans.push(Plan {
            program: place.program.clone(),
            directory: place.directory.clone(),
            number,
            discovery: agent::start(executor, &stand, &links, number)?,
            known: agent::list(&stand, &links, number),
            peers: None,
            proxies,
            replica_bytes: 0,
            skew_ms: 0,
            more: settings(&mesh.inbox[..BANKS], mesh.inbox[number], proxies, skew_ms),
        });
    }
    let loads = (0..proxies).map(|_| Load::new(executor, 1)).collect();
    let proxies = RefCell::new((0..proxies).map(|_| None).collect());
    Ok(Rc::new(Rig { plans, proxies, mesh, loads }))
}
