//! Rollouts by proxy processes that have a `<release>` element in their settings. The lab crate's members
//! have agents that follow orders, and faults are injected. A checker reads the events of the members and the
//! logs of the proxies.
//!
//! - [`Case`], [`Scenario`]: the fault cases, and scenarios generated from a seed.
//! - [`events`]: the events of members, as their agents recorded them.
//! - [`rules`]: the rules of a rollout, and the checker that counts their violations.
//! - [`play`]: a single run, with its [`Report`].

mod case;
pub mod events;
mod faults;
mod harness;
mod member_agents;
mod report;
pub mod rules;
mod run;
mod settings;

pub use case::{Case, FaultTrigger, Scenario, NEW_VERSION, OLD_VERSION, OTHER_VERSION};
pub use report::Report;
pub use run::play;
