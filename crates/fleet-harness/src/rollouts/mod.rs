//! Rollouts by processes: proxies with `<release>`, the laboratory's members with stand-in agents that follow orders, and
//! faults between them. A checker reads what the members' agents and the proxies logged.
//!
//! - [`Case`], [`Scenario`]: the hard cases, drawn from a seed.
//! - [`events`]: what members did, as their agents recorded it.
//! - [`rules`]: the rules of a rollout, and the checker that counts their violations.
//! - [`play`]: one run, and its [`Report`].

mod case;
pub mod events;
mod faults;
mod member_agents;
mod report;
mod rig;
pub mod rules;
mod run;
mod settings;

pub use case::{Case, FaultTrigger, Scenario, NEW_VERSION, OLD_VERSION, OTHER_VERSION};
pub use report::Report;
pub use run::play;
