//! The lifecycle of the process: startup, readiness and configuration reloads.

use super::shutdown::Shutdown;
use super::Broker;
use crate::config::Config;
use crate::log;
use wharfplank_admin::ReloadResult;
use wharfplank_pool_policy::StartupConnectOrder;
use wharfplank_routing::Micros;

/// The maximum time for which readiness waits for discovery to confirm the endpoint list. A proxy that cannot
/// reach discovery serves from the list that it has.
const DISCOVERY_WAIT: Micros = 500_000;
/// The maximum time for which readiness waits for an endpoint list and a connection to a member. A proxy that
/// has neither still answers requests.
const READY_WAIT: Micros = 3_000_000;
/// The interval of readiness checks until the process is ready.
const READINESS_CHECK_INTERVAL: Micros = 10_000;

/// The lifecycle stage of the process.
pub(super) struct Lifecycle {
    started_at: Micros,
    /// Whether discovery has sent an endpoint list or confirmed the known one.
    list_confirmed: bool,
    is_ready: bool,
    /// Selects the members to which a starting proxy connects.
    connect_order: StartupConnectOrder,
    /// Present once SIGTERM has been received.
    pub(super) shutdown: Option<Shutdown>,
}

impl Lifecycle {
    /// Creates the state of a process that starts at `now`. `seed` varies the order in which proxies connect
    /// to members.
    pub(super) fn new(now: Micros, seed: u64, connect_timeout: Micros) -> Self {
        Lifecycle {
            started_at: now,
            list_confirmed: false,
            is_ready: false,
            connect_order: StartupConnectOrder::new(seed, connect_timeout),
            shutdown: None,
        }
    }

    pub(super) fn confirm_list(&mut self) {
        self.list_confirmed = true;
    }

    /// Whether the process can serve queries.
    pub(super) fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Whether SIGTERM has been received.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Whether a shutdown has aborted the open requests.
    pub(super) fn has_aborted_requests(&self) -> bool {
        self.shutdown.as_ref().is_some_and(|shutdown| shutdown.has_aborted_requests)
    }

    /// Returns the time of the next readiness check, or `None` if the process is ready.
    pub(super) fn next_readiness_check(&self, now: Micros) -> Option<Micros> {
        (!self.is_ready).then_some(now + READINESS_CHECK_INTERVAL)
    }
}

impl Broker {
    /// Reloads the configuration file and applies the discovery address. An invalid file changes nothing.
    pub(super) fn reload_configuration(&mut self) {
        let config = Config::reload();
        self.pools.metrics.record_reload(match config {
            Ok(_) => ReloadResult::Applied,
            Err(_) => ReloadResult::Failed,
        });
        self.recorder.record_reload(config.is_ok());
        match config {
            Ok(config) => {
                self.discovery.set_address(config.discovery);
                log::configuration_reloaded(config.discovery);
            }
            Err(error) => log::configuration_reload_failed(&error.to_string()),
        }
    }

    /// Opens a first connection to a member. Declares the process ready once discovery has confirmed the list
    /// and a member is connected, or the maximum wait times have passed.
    pub(super) fn check_readiness(&mut self, now: Micros) {
        if self.lifecycle.is_ready {
            return;
        }
        let age = now - self.lifecycle.started_at;
        let is_list_confirmed = self.lifecycle.list_confirmed || age >= DISCOVERY_WAIT;
        let is_overdue = age >= READY_WAIT;
        let is_connected =
            is_overdue || self.endpoints.members.values().any(|member| member.has_idle_connection());
        self.open_first_connection(now, is_connected);
        let has_list = is_overdue || !self.endpoints.records.is_empty();
        if is_list_confirmed && is_connected && has_list {
            self.lifecycle.is_ready = true;
            self.clients.set_ready();
        }
    }

    /// Connects to the next member in order. Once a member is connected there are no candidates, which resets
    /// the order.
    fn open_first_connection(&mut self, now: Micros, is_connected: bool) {
        let members = self.endpoints.members.iter();
        let candidates = members.filter(|(_, member)| !is_connected && member.is_active());
        let next = self.lifecycle.connect_order.next_member(now, candidates.map(|(host, _)| *host));
        if let Some(member) = next.and_then(|host| self.endpoints.members.get(&host)) {
            member.connect_if_unused();
        }
    }
}
