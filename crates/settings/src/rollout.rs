//! The settings of disruption budgets and rollouts (`<release>`).

use crate::load::SettingsFault;
use crate::xml_tree::Element;
use crate::{no_file, parse_address, NO_FILE};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// The maximum number of members of a rollout, whose state must fit into one datagram.
pub const MAX_ROLLOUT_MEMBERS: usize = 1500;

/// Rollouts and drains within a disruption budget.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSettings {
    /// The address at which datagrams from other proxies and responses of agents are received.
    #[serde(rename = "@listen")]
    pub listen: String,
    /// The rank of this proxy in `proxies`, starting at 1.
    #[serde(rename = "@rank")]
    pub rank: u32,
    /// The number of proxies that grant permits: those with the lowest ranks.
    #[serde(default = "default_permit_servers", rename = "@banks")]
    pub permit_servers: u32,
    /// The maximum number of members of a group that may be out of service at once.
    #[serde(default = "default_max_out_per_group", rename = "@group")]
    pub max_out_per_group: u32,
    /// The maximum number of members of a zone that may be out of service at once.
    #[serde(default = "default_max_out_per_zone", rename = "@zone")]
    pub max_out_per_zone: u32,
    /// The maximum number of members of the fleet that may be out of service at once.
    #[serde(default = "default_max_out_per_fleet", rename = "@fleet")]
    pub max_out_per_fleet: u32,
    /// The file in which a permit server stores its grants; `no` for none.
    #[serde(default = "no_file", rename = "@ledger")]
    pub ledger: String,
    /// The file through which operators control rollouts; `no` for none.
    #[serde(default = "no_file", rename = "@signal")]
    pub signal: String,
    /// Seconds after its order within which a member must be in service and healthy again.
    #[serde(default = "default_ready_within_s", rename = "@ready-within-s")]
    pub ready_within_s: i64,
    /// The maximum number of seconds for which a wave is observed before the next one.
    #[serde(default = "default_soak_s", rename = "@watch-s")]
    pub soak_s: i64,
    /// Whether a rollout that is halted by its health evidence is rolled back automatically.
    #[serde(default, rename = "@undo")]
    pub automatic_rollback: AutomaticRollback,
    /// The maximum number of times that a member is ordered to leave.
    #[serde(default = "default_max_attempts", rename = "@tries")]
    pub max_attempts: u32,
    /// The proxies, ordered by rank.
    #[serde(default, rename = "proxy")]
    pub proxies: Vec<RolloutProxy>,
    /// The members, the same at all proxies.
    #[serde(default, rename = "member")]
    pub members: Vec<RolloutMember>,
}

/// A proxy that takes part in rollouts.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutProxy {
    /// The address that other proxies send to.
    #[serde(rename = "@address")]
    pub address: String,
}

/// A member that counts against the disruption budget.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutMember {
    /// The name of the member in service discovery.
    #[serde(rename = "@name")]
    pub name: String,
    /// The group of the member.
    #[serde(rename = "@group")]
    pub group: u32,
    /// The zone of the member.
    #[serde(rename = "@zone")]
    pub zone: String,
    /// The address at which its agent accepts orders.
    #[serde(rename = "@agent")]
    pub agent: String,
}

/// Whether a rollout that is halted by its health evidence is rolled back automatically.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AutomaticRollback {
    /// The rollout is rolled back automatically.
    #[default]
    Yes,
    /// The rollout waits for an operator.
    No,
}

impl RolloutSettings {
    /// Returns the address to listen on.
    pub fn listen(&self) -> SocketAddrV4 {
        parse_address(&self.listen)
    }

    /// Returns the addresses of the proxies, ordered by rank.
    pub fn proxies(&self) -> Vec<SocketAddrV4> {
        self.proxies.iter().map(|proxy| parse_address(&proxy.address)).collect()
    }

    /// Returns the index of this proxy among the permit servers, if it is one.
    pub fn permit_server_index(&self) -> Option<u32> {
        (self.rank <= self.permit_servers).then(|| self.rank.saturating_sub(1))
    }

    /// Returns the faults that the schema cannot express.
    pub(crate) fn consistency_faults(&self, element: &Element) -> Vec<SettingsFault> {
        let mut faults = Vec::new();
        self.check_ranks(element, &mut faults);
        self.check_ledger(element, &mut faults);
        self.check_member_count(element, &mut faults);
        self.check_members_are_distinct(element, &mut faults);
        faults
    }

    fn check_ranks(&self, element: &Element, faults: &mut Vec<SettingsFault>) {
        let proxies = self.proxies.len();
        for (place, value) in [("/@rank", self.rank), ("/@banks", self.permit_servers)] {
            if value as usize > proxies {
                let message =
                    format!("'{value}' is invalid; expected 1 to {proxies}, the number of <proxy> elements");
                faults.push(rollout_fault(element.line, place, message));
            }
        }
    }

    /// Checks that a permit server has a ledger; without one it would lose its grants at a restart.
    fn check_ledger(&self, element: &Element, faults: &mut Vec<SettingsFault>) {
        if self.permit_server_index().is_some() && self.ledger == NO_FILE {
            let message = format!(
                "'no' is invalid: the proxy of rank {} is a permit server; expected a file path",
                self.rank
            );
            faults.push(rollout_fault(element.line, "/@ledger", message));
        }
    }

    fn check_member_count(&self, element: &Element, faults: &mut Vec<SettingsFault>) {
        let members = self.members.len();
        if members == 0 || members > MAX_ROLLOUT_MEMBERS {
            let message = format!("{members} elements; expected 1 to {MAX_ROLLOUT_MEMBERS}");
            faults.push(rollout_fault(element.line, "/member", message));
        }
    }

    fn check_members_are_distinct(&self, element: &Element, faults: &mut Vec<SettingsFault>) {
        let mut names = BTreeSet::new();
        let mut agents = BTreeSet::new();
        let elements = element.children.iter().filter(|child| child.name == "member");
        for (member, member_element) in self.members.iter().zip(elements) {
            let line = member_element.line;
            if !names.insert(&member.name) {
                let message = format!("'{}' is a duplicate name", member.name);
                faults.push(rollout_fault(line, "/member/@name", message));
            }
            let is_proxy = self.proxies.iter().any(|proxy| proxy.address == member.agent);
            if !agents.insert(&member.agent) || is_proxy {
                let message = format!("'{}' is already used by another member or a proxy", member.agent);
                faults.push(rollout_fault(line, "/member/@agent", message));
            }
        }
    }
}

fn rollout_fault(line: usize, place: &str, message: String) -> SettingsFault {
    SettingsFault { line, place: format!("wharfplank/release{place}"), message }
}

fn default_permit_servers() -> u32 {
    3
}

fn default_max_out_per_group() -> u32 {
    1
}

fn default_max_out_per_zone() -> u32 {
    3
}

fn default_max_out_per_fleet() -> u32 {
    6
}

fn default_ready_within_s() -> i64 {
    60
}

fn default_soak_s() -> i64 {
    5
}

fn default_max_attempts() -> u32 {
    3
}
