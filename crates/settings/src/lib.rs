//! The settings of the program: an XML file that is validated against `deploy/settings.xsd` and parsed into
//! [`Settings`].
//!
//! The schema is embedded in the program, so that validation and documentation cannot diverge. All faults of
//! a file are reported together, each with its line, its element and the allowed values. Elements and
//! attributes are named by the file format, independent of the names of types and fields.

mod budgets;
mod gossip;
mod load;
mod log;
mod negative_cache;
mod records;
mod rollout;
pub mod schema;
mod shared_state;
pub mod xml_tree;

pub use budgets::{BudgetSettings, TenantBudget};
pub use gossip::{GossipSettings, MinorityBehavior};
pub use load::{check, consistency_faults, load, parse, LoadError, SettingsFault};
pub use log::{LogFormat, LogLevel, LogSettings};
pub use negative_cache::NegativeCacheSettings;
pub use records::RecordSettings;
pub use rollout::{AutomaticRollback, RolloutMember, RolloutProxy, RolloutSettings, MAX_ROLLOUT_MEMBERS};
pub use shared_state::{HealthSettings, SharedStateSettings};

use serde::Deserialize;
use std::net::SocketAddrV4;

/// The text of the schema.
pub const SCHEMA: &str = include_str!("../../../deploy/settings.xsd");

/// The settings. A feature whose element is absent is disabled.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename = "wharfplank", deny_unknown_fields)]
pub struct Settings {
    /// The log on standard error (`<log>`).
    #[serde(default)]
    pub log: LogSettings,
    /// Records of decisions and observations (`<records>`).
    pub records: Option<RecordSettings>,
    /// Gossip between proxies and zone failover (`<peers>`).
    #[serde(rename = "peers")]
    pub gossip: Option<GossipSettings>,
    /// State shared by the proxies (`<replica>`); needs gossip.
    #[serde(rename = "replica")]
    pub shared_state: Option<SharedStateSettings>,
    /// The negative cache (`<missing>`).
    #[serde(rename = "missing")]
    pub negative_cache: Option<NegativeCacheSettings>,
    /// Fleet-wide outlier detection (`<health>`); needs shared state.
    pub health: Option<HealthSettings>,
    /// Disruption budgets and rollouts (`<release>`).
    #[serde(rename = "release")]
    pub rollout: Option<RolloutSettings>,
    /// Budgets of the whole fleet, divided among its proxies (`<budgets>`).
    pub budgets: Option<BudgetSettings>,
}

/// Parses an address. The schema has validated it already, so the fallback is never used.
fn parse_address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap_or(SocketAddrV4::new([127, 0, 0, 1].into(), 0))
}

/// Parses addresses separated by spaces. Other words, such as `none`, are ignored.
fn parse_addresses(text: &str) -> Vec<SocketAddrV4> {
    text.split(' ').filter_map(|address| address.parse().ok()).collect()
}

/// Parses an address to advertise. Port 0 means that there is none.
fn parse_advertised_address(text: &str) -> Option<SocketAddrV4> {
    text.parse().ok().filter(|address: &SocketAddrV4| address.port() != 0)
}

/// Returns the value of `@advertise` that stands for the listening address.
fn no_advertised_address() -> String {
    "0.0.0.0:0".to_string()
}

/// The value of a file attribute that means that there is no file.
const NO_FILE: &str = "no";

fn no_file() -> String {
    NO_FILE.to_string()
}

/// Returns the value of an attribute that means an empty list.
fn empty_list() -> String {
    "none".to_string()
}
