//! The state of rollouts, which proxies replicate to each other: any proxy that has a copy can lead it, and copies that
//! differ merge to one.

mod phase;
mod progress;
mod rollout;
mod table;
mod waves;

pub use phase::{HaltReason, Phase, PhaseRevision};
pub use progress::UpgradeState;
pub use rollout::{Rollout, RolloutId};
pub use table::{RolloutTable, TableFull, MAX_ROLLOUTS};
