//! Releases played by processes: proxies with `<release>`, the laboratory's members with stand-in agents that follow
//! orders, and faults between them. A checker reads what members' agents and proxies noted themselves.
//!
//! - [`case`]: the hard cases, drawn from a seed.
//! - [`agents`]: the agents on members' machines.
//! - [`events`]: what members did.
//! - [`rules`]: the rules of a release, and the count of broken ones.
//! - [`run`]: one run.

pub mod agents;
pub mod case;
pub mod events;
mod faults;
pub mod outcome;
pub mod rules;
pub mod run;
mod settings;
