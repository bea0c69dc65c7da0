//! wharfplank: a proxy that routes payroll database reads and writes over replicated groups.
//!
//! One crate for each concern, under the name that it has in the pages; they depend downwards only: `program` on
//! `transport`, `transport` on `discovery`, `protocol` and `routing`; `discovery` takes the endpoint list from
//! `protocol`, and those two depend on nothing else; `transport` also drives `gossip` (membership between proxies)
//! and `failover` (which zones reads may use), where settings ask for talk between proxies. `fleetrig` plays many
//! processes of the program with faults between them. `docs/architecture.md` follows a request through them.

pub use wharfplank_console as console;
pub use wharfplank_discovery as discovery;
pub use wharfplank_failover as failover;
pub use wharfplank_fleet_harness as fleetrig;
pub use wharfplank_gossip as gossip;
pub use wharfplank_incidents as incidents;
pub use wharfplank_lab as lab;
pub use wharfplank_protocol as protocol;
pub use wharfplank_proxy as program;
pub use wharfplank_records as records;
pub use wharfplank_report as report;
pub use wharfplank_routing as routing;
pub use wharfplank_settings as settings;
pub use wharfplank_transport as transport;
