//! The settings of fleet-wide budgets (`<budgets>`).

use crate::{empty_list, no_advertised_address, parse_address, parse_addresses, parse_advertised_address};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Fleet-wide budgets, divided among the proxies. A value of 0 disables a budget.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetSettings {
    /// The address at which datagrams are received.
    #[serde(rename = "@listen")]
    pub listen: String,
    /// The address that other proxies send to; `0.0.0.0:0` stands for the listening address.
    #[serde(default = "no_advertised_address", rename = "@advertise")]
    pub advertise: String,
    /// The addresses of the lease allocators, separated by spaces, in the same order at all proxies; `none`
    /// if budgets are divided evenly without leases.
    #[serde(default = "empty_list", rename = "@banks")]
    pub allocators: String,
    /// The allocators that an operator declared permanently removed, a subset of `allocators`.
    #[serde(default = "empty_list", rename = "@gone")]
    pub removed_allocators: String,
    /// The version of the set of allocators. It must be increased by one with each change of `allocators` or
    /// `removed_allocators`.
    #[serde(default = "default_allocator_set_version", rename = "@set")]
    pub allocator_set_version: u64,
    /// The maximum number of proxies that run at the same time.
    #[serde(default = "default_max_proxies", rename = "@proxies")]
    pub max_proxies: u64,
    /// The percentage of each budget that is divided evenly among `max_proxies`, without leases.
    #[serde(default = "default_even_percent", rename = "@even")]
    pub even_percent: u64,
    /// Requests per second in total.
    #[serde(default, rename = "@requests")]
    pub requests: u64,
    /// Requests per second by tenant: pairs of a group and its budget, such as `3=200`, separated by spaces.
    #[serde(default = "empty_list", rename = "@tenants")]
    pub tenants: String,
    /// Retries per second.
    #[serde(default, rename = "@retries")]
    pub retries: u64,
    /// Health checks of each member per second.
    #[serde(default, rename = "@probes")]
    pub health_checks: u64,
    /// New connections to each member per second.
    #[serde(default, rename = "@connects")]
    pub new_connections: u64,
    /// Concurrent connections to each member.
    #[serde(default, rename = "@held")]
    pub open_connections: u64,
    /// Polls of service discovery per second.
    #[serde(default, rename = "@discovery")]
    pub discovery_polls: u64,
    /// Milliseconds added to the clock of the budgets, for tests with clock skew.
    #[serde(default, rename = "@clock-skew-ms")]
    pub clock_skew_ms: i64,
}

/// The request budget of one tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantBudget {
    /// The replicated group of the tenant.
    pub group: u64,
    /// Requests per second.
    pub requests: u64,
}

impl TenantBudget {
    fn parse(text: &str) -> Option<Self> {
        let (group, requests) = text.split_once('=')?;
        Some(TenantBudget { group: group.parse().ok()?, requests: requests.parse().ok()? })
    }
}

impl BudgetSettings {
    /// Returns the address to listen on.
    pub fn listen(&self) -> SocketAddrV4 {
        parse_address(&self.listen)
    }

    /// Returns the address that other proxies send to, if it is not the listening address.
    pub fn advertise(&self) -> Option<SocketAddrV4> {
        parse_advertised_address(&self.advertise)
    }

    /// Returns the lease allocators.
    pub fn allocators(&self) -> Vec<SocketAddrV4> {
        parse_addresses(&self.allocators)
    }

    /// Returns the allocators that are permanently removed.
    pub fn removed_allocators(&self) -> Vec<SocketAddrV4> {
        parse_addresses(&self.removed_allocators)
    }

    /// Returns the tenants that have a budget of their own.
    pub fn tenants(&self) -> Vec<TenantBudget> {
        self.tenants.split(' ').filter_map(TenantBudget::parse).collect()
    }

    /// Returns the first fault that the schema cannot express.
    pub(crate) fn consistency_fault(&self) -> Option<String> {
        let allocators = self.allocators();
        let removed = self.removed_allocators();
        if let Some(unknown) = removed.iter().find(|address| !allocators.contains(address)) {
            return Some(format!(
                "'{unknown}' in @gone is not listed in @banks; expected one of: {}",
                self.allocators
            ));
        }
        if !allocators.is_empty() && removed.len() == allocators.len() {
            let message = "@gone lists all allocators of @banks; keep at least one, or set banks='none'";
            return Some(message.to_string());
        }
        let is_repeated =
            |address: &&SocketAddrV4| allocators.iter().filter(|other| other == address).count() > 1;
        let repeated = allocators.iter().find(is_repeated)?;
        Some(format!("'{repeated}' is listed more than once in @banks"))
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
