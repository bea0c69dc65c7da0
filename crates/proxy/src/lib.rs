//! The proxy program: its configuration, its start, the broker that owns the routing state, and the log.

mod broker;
mod budgets;
pub mod clock;
pub mod config;
mod counts;
pub mod error;
mod fleet;
mod journal;
pub mod log;
mod missing;
mod release;
mod startup;
mod talk;

pub use broker::shutdown_timing;
pub use error::StartError;
pub use startup::run;
