//! Canary analysis: counts of attempts at the upgraded members and the others, and a sequential test on them.

mod analysis;
mod counter;
mod counts;

pub use analysis::{CanaryAnalysis, CanaryVerdict};
pub use counter::AttemptCounter;
pub use counts::{AttemptCounts, CanaryCounts};
