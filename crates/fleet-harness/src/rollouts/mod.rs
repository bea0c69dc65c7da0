//! Rollouts by processes: proxies with `<release>`, the laboratory's members with stand-in agents that follow orders, and
//! faults between them. A checker reads what the members' agents and the proxies logged.
//!
//! - [`Case`], [`Scenario`]: the hard cases, drawn from a seed.
//! - [`MemberEvent`]: what members did, as their agents logged it.
//! - [`checker`]: counts the violations of the disruption budget and the groups' roles.
//! - [`play`]: one run, and its [`Report`].

mod case;
pub mod checker;
mod event;
mod faults;
mod member_agents;
mod report;
mod rig;
mod run;
mod settings;

pub use case::{Case, FaultTrigger, Scenario, NEW_VERSION, OLD_VERSION, OTHER_VERSION};
pub use event::{MemberEvent, MemberEventKind, OutageCause};
pub use report::Report;
pub use run::play;
