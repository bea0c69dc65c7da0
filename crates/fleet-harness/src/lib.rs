//! A fault rig for many processes of the program: N proxies on loopback with ephemeral ports, the laboratory's
//! stand-in members behind relays of the rig's own, discovery as an agent for each proxy, and between every pair of
//! proxies a relay that loses, delays, duplicates, reorders and cuts datagrams. Proxies are paused and killed by their
//! process ids. What goes wrong follows a schedule drawn from a seed and written out, so that a run can be played
//! again; every run is bounded in proxies and time, and ends every process that it started. A checker reads all
//! proxies' logs, what the load saw and what the members counted, and counts the broken rules.
//!
//! - [`schedule`], [`scenario`]: the hard cases, drawn from a seed, written and read.
//! - [`relay`]: the datagrams between proxies, and the connections to members.
//! - [`agent`]: discovery on each proxy's machine.
//! - [`proxies`]: the processes.
//! - [`check`], [`health`], [`report`]: what a run showed.
//! - [`budgets`]: runs whose proxies share budgets, and the checker of these.
//! - [`run`]: one run.
//! - [`goodput`], [`ground_truth`]: what was served, weighted by priority, and what could have been.
//! - [`sweep`]: many runs, some beside each other, added up by scenario.

pub mod agent;
pub mod budgets;
pub mod check;
mod cluster;
pub mod goodput;
pub mod ground_truth;
pub mod health;
pub mod proxies;
pub mod relay;
pub mod releases;
pub mod report;
pub mod run;
pub mod scenario;
pub mod schedule;
pub mod sweep;
