//! The policy of the connection pools: how many connections are kept ready to a member, and which member a starting
//! proxy connects to first.
//!
//! A connection costs the member work when it is opened and a slot while it lasts, and members have few slots for many
//! proxies. What is kept ready follows from how often this proxy uses the member, not from how many members there are.
//! The crate does no I/O: uses and the current time are passed in.
//!
//! - [`ConnectionDemand`]: how often one member's connections are used, and the spare ones that this justifies.
//! - [`StartupConnectOrder`]: which member a starting proxy connects to first.
//!
//! ```
//! use wharfplank_pool_policy::ConnectionDemand;
//!
//! let mut demand = ConnectionDemand::default();
//! assert_eq!(demand.spare_connections(0), 0);
//! // Ten uses a second for five seconds.
//! (1..=50).for_each(|n| demand.record_use(n * 100_000));
//! assert_eq!(demand.spare_connections(5_000_000), 2);
//! // No use for half a minute.
//! assert_eq!(demand.spare_connections(35_000_000), 0);
//! ```

mod connection_demand;
mod startup_connect_order;

pub use connection_demand::{ConnectionDemand, MAX_SPARE_CONNECTIONS};
pub use startup_connect_order::StartupConnectOrder;
