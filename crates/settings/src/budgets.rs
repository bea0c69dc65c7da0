//! The settings of fleet-wide budgets (`<budgets>`).

use crate::{empty_list, no_advertised_address, parse_address, parse_addresses, parse_advertised_address};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Budgets of the whole fleet, divided among its proxies. A figure of 0 states that there is no such budget.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSettings {
    /// The address at which datagrams are received.
    #[serde(rename = "@listen")]
    pub listen: String,
    /// The address that other proxies send to; `0.0.0.0:0` stands for the listening address.
    #[serde(default = "no_advertised_address", rename = "@advertise")]
    pub advertise: String,
    /// The lease allocators, separated by spaces, in the same order at all proxies; `none` if budgets are divided
    /// evenly without leases.
    #[serde(default = "empty_list", rename = "@banks")]
    pub allocators: String,
    /// Those of `allocators` that an operator declared permanently removed.
    #[serde(default = "empty_list", rename = "@gone")]
    pub removed_allocators: String,
    /// The version of the set of allocators: one more each time that `allocators` or `removed_allocators` change.
    #[serde(default = "default_allocator_set_version", rename = "@set")]
    pub allocator_set_version: u64,
    /// The most proxies that ever run at a time.
    #[serde(default = "default_max_proxies", rename = "@proxies")]
    pub max_proxies: u64,
    /// The per cent of each budget that is divided evenly among `max_proxies`, without leases.
    #[serde(default = "default_even_percent", rename = "@even")]
    pub even_percent: u64,
    /// Requests a second in total.
    #[serde(default, rename = "@requests")]
    pub requests: u64,
    /// Requests a second by tenant: a group and its figure, as `3=200`, separated by spaces.
    #[serde(default = "empty_list", rename = "@tenants")]
    pub tenants: String,
    /// Retries a second.
    #[serde(default, rename = "@retries")]
    pub retries: u64,
    /// Health checks a second of each member.
    #[serde(default, rename = "@probes")]
    pub health_checks: u64,
    /// New connections a second to each member.
    #[serde(default, rename = "@connects")]
    pub new_connections: u64,
    /// Open connections to each member.
    #[serde(default, rename = "@held")]
    pub open_connections: u64,
    /// Polls of service discovery a second.
    #[serde(default, rename = "@discovery")]
    pub discovery_polls: u64,
    /// Milliseconds added to the clock of the budgets, for tests of clocks that differ.
    #[serde(default, rename = "@clock-skew-ms")]
    pub clock_skew_ms: i64,
}

/// The request budget of one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantBudget {
    /// The replicated group of the tenant.
    pub group: u64,
    /// Requests a second.
    pub requests: u64,
}

impl TenantBudget {
    fn parse(text: &str) -> Option<Self> {
        let (group, requests) = text.split_once('=')?;
        Some(TenantBudget { group: group.parse().ok()?, requests: requests.parse().ok()? })
    }
}

impl BudgetSettings {
    /// The address to listen on.
    pub fn listen(&self) -> SocketAddrV4 {
        parse_address(&self.listen)
    }

    /// The address that other proxies send to, if it is not the listening address.
    pub fn advertise(&self) -> Option<SocketAddrV4> {
        parse_advertised_address(&self.advertise)
    }

    /// The lease allocators.
    pub fn allocators(&self) -> Vec<SocketAddrV4> {
        parse_addresses(&self.allocators)
    }

    /// The allocators that are permanently removed.
    pub fn removed_allocators(&self) -> Vec<SocketAddrV4> {
        parse_addresses(&self.removed_allocators)
    }

    /// The tenants with a budget of their own.
    pub fn tenants(&self) -> Vec<TenantBudget> {
        self.tenants.split(' ').filter_map(TenantBudget::parse).collect()
    }

    /// The first fault that the schema cannot express.
    pub(crate) fn consistency_fault(&self) -> Option<String> {
        let allocators = self.allocators();
        let removed = self.removed_allocators();
        if let Some(unknown) = removed.iter().find(|address| !allocators.contains(address)) {
            return Some(format!(
                "'{unknown}' cannot be gone; allowed is one of the banks: {}",
                self.allocators
            ));
        }
        if !allocators.is_empty() && removed.len() == allocators.len() {
            let message = "all banks are gone; allowed is at least one that is not, or banks='none'";
            return Some(message.to_string());
        }
        let is_repeated =
            |address: &&SocketAddrV4| allocators.iter().filter(|other| other == address).count() > 1;
        let repeated = allocators.iter().find(is_repeated)?;
        Some(format!("the bank '{repeated}' is named twice; allowed is each bank once"))
    }
}

fn default_allocator_set_version() -> u64 {
    1
}

fn default_max_proxies() -> u64 {
    100
}

fn default_even_percent() -> u64 {
    20
}
