//! A fault-injection harness that runs many processes of the program on loopback with ephemeral ports. The
//! proxies reach the lab crate's stand-in members through relays of the harness, and each proxy has its own
//! discovery agent. Datagrams between proxies pass through a relay that loses, delays, duplicates, reorders
//! and blocks them. Proxies are paused and killed by their process ids.
//!
//! Faults follow a schedule that is generated from a seed and written to a file, so that a run can be
//! replayed. Every run is bounded in proxies and time, and ends every process that it started. A checker
//! reads the logs of all proxies, the outcomes that the load generator saw and the counters of the members,
//! and counts rule violations.
//!
//! - [`schedule`], [`scenario`]: fault scenarios, and schedules generated from a seed, written and read.
//! - [`relay`]: relays for datagrams between proxies and for connections to members.
//! - [`discovery_agent`]: the discovery endpoint of each proxy.
//! - [`proxies`]: the proxy processes.
//! - [`check`], [`health`], [`report`]: the checks of a run and its report.
//! - [`budgets`]: runs whose proxies share budgets, and their checker.
//! - [`rollouts`]: runs with rollouts under a disruption budget, and their checker.
//! - [`run`]: a single run of a schedule.
//! - [`goodput`], [`ground_truth`]: goodput weighted by priority, and its upper bound.
//! - [`sweep`]: many runs, some in parallel, totalled by scenario.

pub mod budgets;
pub mod check;
mod cluster;
pub mod discovery_agent;
mod fault_plan;
pub mod goodput;
pub mod ground_truth;
pub mod health;
pub mod proxies;
pub mod relay;
pub mod report;
pub mod rollouts;
pub mod run;
pub mod scenario;
pub mod schedule;
pub mod sweep;
