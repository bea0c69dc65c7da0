//! How many connections stand by to a member that no request needs yet. A connection costs the member work when it is
//! opened and a place while it lasts, and members have few places for many proxies: what is kept ready follows from
//! how often this proxy uses the member, not from how many members there are. No I/O: uses and the time go in.
//!
//! - [`Demand`]: the uses of one member's connections, and the spares that they justify.
//! - [`Opening`]: which member a proxy that has just started connects to first.
//!
//! ```
//! use wharfplank_pool_policy::Demand;
//!
//! let mut demand = Demand::default();
//! assert_eq!(demand.spares(0), 0);
//! // Ten uses a second for five seconds.
//! (1..=50).for_each(|n| demand.used(n * 100_000));
//! assert_eq!(demand.spares(5_000_000), 2);
//! // Nothing for half a minute.
//! assert_eq!(demand.spares(35_000_000), 0);
//! ```

mod demand;
mod opening;

pub use demand::Demand;
pub use opening::Opening;
