//! Releases played by processes: proxies with `<release>`, the laboratory's members with stand-in agents that follow
//! orders, and faults between them. A checker reads what members' agents and proxies noted themselves.
//!
//! - [`case`]: the hard cases, drawn from a seed.
//! - [`agents`]: the agents on members' machines.
//! - [`diary`]: what members did, and the count of broken rules.
//! - [`run`]: one run.

pub mod agents;
pub mod case;
pub mod diary;
mod faults;
pub mod outcome;
pub mod run;
mod settings;
