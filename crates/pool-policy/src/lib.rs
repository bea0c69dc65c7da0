//! The policy of the connection pools: how many spare connections to keep to a member, and which member a
//! starting proxy connects to first.
//!
//! Opening a connection costs the member work, and an open connection occupies one of the few slots that many
//! proxies share. The number of spare connections therefore depends on how often this proxy uses the member,
//! not on the number of members. The crate does no I/O: uses and the current time are passed in.
//!
//! - [`ConnectionDemand`]: the rate at which one member's connections are used, and the resulting number of
//!   spare ones.
//! - [`StartupConnectOrder`]: the order in which a starting proxy connects to members.
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
