//! The log on standard error: one line for each event, as text or as JSON.
//!
//! Each function writes one line, or the lines of one component. The names of events and fields are described
//! in the README under "The log".

mod budgets;
mod format;
mod gossip;
mod negative_cache;
mod process;
mod requests;
mod rollout;
mod shutdown;
mod slow_start;
mod writer;

pub use budgets::{budget_event, budgets_started};
pub use gossip::{gossip_event, gossip_started, snapshot_event};
pub use negative_cache::negative_cache_stats;
pub use process::{
    admin_command, admin_listening, configuration_reload_failed, configuration_reloaded, delivery_unmeasured,
    endpoint_list_state, excluded_members, handover_step, listening, recorder_fault,
};
pub use requests::{activity_counts, connection_ended, request_unserved, UnservedRequest};
pub use rollout::{describe_action, rollout_event, rollout_started};
pub use shutdown::{shutdown_completion, shutdown_step, OpenWork, ShutdownStep};
pub use slow_start::{slow_start, SlowStartStage};
pub use writer::{start, LogError};

use std::time::SystemTime;

/// Returns the time of day in Unix milliseconds, by which lines of several machines are ordered.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
