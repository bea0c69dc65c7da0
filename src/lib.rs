//! wharfplank: a proxy that routes payroll database reads and writes over replicated groups.
//!
//! Each concern is a crate of its own, re-exported here. Dependencies point down the list of README.md only; see
//! `docs/architecture.md` for the programs, who owns which state, and the way of a request through the crates.

pub use wharfplank_console as console;
pub use wharfplank_discovery as discovery;
pub use wharfplank_failover as failover;
pub use wharfplank_fleet_harness as fleet_harness;
pub use wharfplank_gossip as gossip;
pub use wharfplank_incidents as incidents;
pub use wharfplank_lab as lab;
pub use wharfplank_protocol as protocol;
pub use wharfplank_proxy as proxy;
pub use wharfplank_records as records;
pub use wharfplank_report as report;
pub use wharfplank_routing as routing;
pub use wharfplank_settings as settings;
pub use wharfplank_transport as transport;
