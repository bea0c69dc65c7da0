//! The proxy program: its configuration, startup, the broker that owns the routing state, and the log.

mod activity_counts;
mod broker;
mod budgets;
pub mod clock;
pub mod config;
pub mod error;
mod gossip;
mod gossip_client;
pub mod log;
mod negative_cache_client;
mod recording;
pub mod rollout;
mod startup;

pub use broker::shutdown_timing;
pub use error::StartError;
pub use startup::run;
