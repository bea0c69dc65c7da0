//! The proxy processes of a run and the network between them.

use crate::proxies::{LoggedAddress, Proxy, ProxyConfig};
use crate::relay::Mesh;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The proxies of a run, by number, and the network between them. Dropping it kills all processes.
pub(crate) struct Cluster {
    pub configs: Vec<ProxyConfig>,
    pub mesh: Rc<Mesh>,
    /// The running proxies; `None` if not started or killed.
    proxies: RefCell<Vec<Option<Proxy>>>,
}

impl Cluster {
    /// Creates a cluster in which no proxy is started yet.
    pub fn new(configs: Vec<ProxyConfig>, mesh: Rc<Mesh>) -> Cluster {
        let proxies = RefCell::new(configs.iter().map(|_| None).collect());
        Cluster { configs, mesh, proxies }
    }

    /// Returns the number of proxies, running or not.
    pub fn len(&self) -> usize {
        self.configs.len()
    }

    /// Starts a proxy with its own configuration.
    pub fn start(&self, index: usize) -> Result<(), String> {
        self.start_with(index, &self.configs[index])
    }

    /// Starts a proxy with another configuration than its own.
    pub fn start_with(&self, index: usize, config: &ProxyConfig) -> Result<(), String> {
        let proxy = Proxy::start(config)?;
        self.proxies.borrow_mut()[index] = Some(proxy);
        Ok(())
    }

    /// Kills a proxy's process.
    pub fn kill(&self, index: usize) {
        self.proxies.borrow_mut()[index] = None;
    }

    /// Suspends a proxy's process until it is resumed.
    pub fn pause(&self, index: usize) {
        if let Some(proxy) = &mut self.proxies.borrow_mut()[index] {
            proxy.pause();
        }
    }

    /// Resumes a paused proxy.
    pub fn resume(&self, index: usize) {
        if let Some(proxy) = &mut self.proxies.borrow_mut()[index] {
            proxy.resume();
        }
    }

    /// Blocks datagrams between these proxies and the others in both directions.
    pub fn cut_off(&self, side: &[usize]) {
        self.mesh.conditions.borrow_mut().blocked.extend(self.pairs_across(side));
    }

    /// Reverts [`Cluster::cut_off`].
    pub fn reconnect(&self, side: &[usize]) {
        let mut conditions = self.mesh.conditions.borrow_mut();
        for pair in self.pairs_across(side) {
            conditions.blocked.remove(&pair);
        }
    }

    /// Returns the (from, to) pairs of proxies of which exactly one is on this side.
    fn pairs_across(&self, side: &[usize]) -> Vec<(usize, usize)> {
        let others: Vec<usize> = (0..self.len()).filter(|proxy| !side.contains(proxy)).collect();
        let pairs = side.iter().flat_map(|a| others.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        pairs.collect()
    }

    /// Registers the addresses that proxies have logged since the last call: datagram addresses with the
    /// network, client addresses with `on_client_address`.
    pub fn register_addresses(&self, on_client_address: impl Fn(usize, SocketAddr)) {
        for (index, proxy) in self.proxies.borrow_mut().iter_mut().enumerate() {
            let Some(proxy) = proxy.as_mut() else { continue };
            while let Ok(address) = proxy.logged_addresses.try_recv() {
                match address {
                    LoggedAddress::Tcp(addr) => on_client_address(index, addr),
                    LoggedAddress::Udp(addr) => self.mesh.register(index, addr),
                }
            }
        }
    }

    /// Returns the proxies whose processes have exited on their own.
    pub fn crashed(&self) -> Vec<usize> {
        let mut proxies = self.proxies.borrow_mut();
        let has_exited =
            |proxy: &mut Option<Proxy>| proxy.as_mut().is_some_and(|proxy| proxy.exit_status().is_some());
        let exited =
            proxies.iter_mut().enumerate().filter_map(|(index, proxy)| has_exited(proxy).then_some(index));
        exited.collect()
    }

    /// Removes and returns all running proxies, for the caller to shut down.
    pub fn take_all(&self) -> Vec<Proxy> {
        self.proxies.borrow_mut().iter_mut().filter_map(Option::take).collect()
    }
}
