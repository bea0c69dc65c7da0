//! The proxies of a run as a whole: their processes and the network between them.

use crate::proxies::{Heard, Plan, Proxy};
use crate::relay::Mesh;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The proxies of a run, by number, and the network between them. All processes end when it is dropped.
pub(crate) struct Cluster {
    pub plans: Vec<Plan>,
    pub mesh: Rc<Mesh>,
    /// The running proxies; `None`: not started, or killed.
    proxies: RefCell<Vec<Option<Proxy>>>,
}

impl Cluster {
    /// Proxies of which none is started yet.
    pub fn new(plans: Vec<Plan>, mesh: Rc<Mesh>) -> Cluster {
        let proxies = RefCell::new(plans.iter().map(|_| None).collect());
        Cluster { plans, mesh, proxies }
    }

    /// How many proxies there are, running or not.
    pub fn len(&self) -> usize {
        self.plans.len()
    }

    /// Starts a proxy by its plan.
    pub fn start(&self, index: usize) -> Result<(), String> {
        self.start_by(index, &self.plans[index])
    }

    /// Starts a proxy by another plan than its own.
    pub fn start_by(&self, index: usize, plan: &Plan) -> Result<(), String> {
        let proxy = Proxy::start(plan)?;
        self.proxies.borrow_mut()[index] = Some(proxy);
        Ok(())
    }

    /// Kills a proxy's process.
    pub fn kill(&self, index: usize) {
        self.proxies.borrow_mut()[index] = None;
    }

    /// Stops a proxy's process until it is resumed.
    pub fn pause(&self, index: usize) {
        if let Some(proxy) = &mut self.proxies.borrow_mut()[index] {
            proxy.pause();
        }
    }

    /// Lets a paused proxy go on.
    pub fn resume(&self, index: usize) {
        if let Some(proxy) = &mut self.proxies.borrow_mut()[index] {
            proxy.resume();
        }
    }

    /// Blocks the datagrams between these proxies and the others, both ways.
    pub fn cut_off(&self, side: &[usize]) {
        self.mesh.wire.borrow_mut().blocked.extend(self.pairs_across(side));
    }

    /// Undoes [`Cluster::cut_off`].
    pub fn reconnect(&self, side: &[usize]) {
        let mut wire = self.mesh.wire.borrow_mut();
        for pair in self.pairs_across(side) {
            wire.blocked.remove(&pair);
        }
    }

    /// The pairs (from, to) of proxies with one of them on this side, and the other not.
    fn pairs_across(&self, side: &[usize]) -> Vec<(usize, usize)> {
        let others: Vec<usize> = (0..self.len()).filter(|proxy| !side.contains(proxy)).collect();
        let pairs = side.iter().flat_map(|a| others.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        pairs.collect()
    }

    /// Takes over the addresses that proxies have logged since the last call. Those for datagrams go to the network,
    /// those for clients to `on_client_address`.
    pub fn register_addresses(&self, on_client_address: impl Fn(usize, SocketAddr)) {
        for (index, proxy) in self.proxies.borrow_mut().iter_mut().enumerate() {
            let Some(proxy) = proxy.as_mut() else { continue };
            while let Ok(heard) = proxy.heard.try_recv() {
                match heard {
                    Heard::Listens(addr) => on_client_address(index, addr),
                    Heard::Peers(addr) => self.mesh.register(index, addr),
                }
            }
        }
    }

    /// The proxies whose processes have ended on their own.
    pub fn crashed(&self) -> Vec<usize> {
        let mut proxies = self.proxies.borrow_mut();
        let has_ended =
            |proxy: &mut Option<Proxy>| proxy.as_mut().is_some_and(|proxy| proxy.ended().is_some());
        let ended =
            proxies.iter_mut().enumerate().filter_map(|(index, proxy)| has_ended(proxy).then_some(index));
        ended.collect()
    }

    /// Takes all running proxies out, to be ended.
    pub fn take_all(&self) -> Vec<Proxy> {
        self.proxies.borrow_mut().iter_mut().filter_map(Option::take).collect()
    }
}
