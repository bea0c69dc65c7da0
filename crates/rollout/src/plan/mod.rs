//! The replicated state of rollouts. Any proxy that has a copy can lead a rollout, and copies that differ
//! can be merged.

mod phase;
mod progress;
mod rollout;
mod table;
mod waves;

pub use phase::{HaltReason, Phase, PhaseRevision};
pub use progress::UpgradeState;
pub use rollout::{Rollout, RolloutId};
pub use table::{RolloutTable, TableFull, MAX_ROLLOUTS};
