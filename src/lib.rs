//! wharfplank: a proxy that routes payroll database reads and writes over replicated groups.
//!
//! Each concern is a separate crate, re-exported here. Crates depend only on crates further down the list in
//! README.md. `docs/architecture.md` describes the programs, the ownership of state, and the path of a
//! request through the crates.

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
